"""Builds the tasks of the daemon and the message streams between them."""

from collections.abc import Callable
import contextlib
import dataclasses
import random
import uuid

import anyio
from anyio.streams import memory

from sapphire_core.flows import router as flow_router
from sapphire_core.membership import data as membership_data
from sapphire_core.membership import membership
from sapphire_core.slo import counters as slo_counters
from sapphire_data import clock
from sapphire_data import records
from sapphire_net import metrics as metrics_lib
from sapphire_net.trust import client_context
from sapphire_node import claim_store_client
from sapphire_node import control
from sapphire_node import control_dispatcher
from sapphire_node import forwarder as forwarder_lib
from sapphire_node import instruments
from sapphire_node import lifecycle as lifecycle_lib
from sapphire_node import messages
from sapphire_node import prober as prober_lib
from sapphire_node import settings_loader
from sapphire_node import slot_message_channel
from sapphire_node import udp_sockets
from sapphire_node.configuration import (
    configuration_sync as configuration_sync_lib,
)
from sapphire_node.requests import service as request_service
from sapphire_wire import settings as settings_lib

INBOX_MESSAGES = 4_096
HOST_ID_CHARACTERS = 12


@dataclasses.dataclass(frozen=True, slots=True)
class Components:
    """The tasks of one host and the message streams between them.

    Attributes:
        own_address: The identity and addresses of the host.
        loaded: The settings with the files that they name.
        time: The monotonic clock.
        lifecycle: The phase and the readiness of the process.
        forwarder: Routes packets.
        control_plane: Owns the membership and the control socket.
        configuration_sync: Keeps the configuration up to date.
        requests: Owns the requests.
        prober: Probes upstreams.
        metrics: The metrics; whoever runs the components closes them.
        to_control: Sends messages to `control_plane`.
        control_inbox: Receives the messages for `control_plane`.
        to_forwarder: Sends messages to `forwarder`.
        forwarder_inbox: Receives the messages for `forwarder`.
    """

    own_address: records.HostAddress
    loaded: settings_loader.LoadedSettings
    time: clock.Clock
    lifecycle: lifecycle_lib.Lifecycle
    forwarder: forwarder_lib.Forwarder
    control_plane: control.ControlPlane
    configuration_sync: configuration_sync_lib.ConfigurationSync
    requests: request_service.RequestService
    prober: prober_lib.Prober
    metrics: metrics_lib.Metrics
    to_control: memory.MemoryObjectSendStream[messages.ToControl]
    control_inbox: memory.MemoryObjectReceiveStream[messages.ToControl]
    to_forwarder: memory.MemoryObjectSendStream[messages.ToForwarder]
    forwarder_inbox: memory.MemoryObjectReceiveStream[messages.ToForwarder]


def build(
    loaded: settings_loader.LoadedSettings, sockets: udp_sockets.Sockets
) -> Components:
    """Builds the tasks of a host; nothing runs yet.

    Args:
        loaded: The settings.
        sockets: The open sockets.

    Returns:
        The components.
    """
    settings = loaded.settings
    time = clock.MonotonicClock()
    own_address = _own_address(settings)
    to_control, control_inbox = anyio.create_memory_object_stream[
        messages.ToControl
    ](INBOX_MESSAGES)
    to_forwarder, forwarder_inbox = anyio.create_memory_object_stream[
        messages.ToForwarder
    ](INBOX_MESSAGES)
    forwarder = forwarder_lib.Forwarder(
        own_address.host_id,
        flow_router.Router(own_address.host_id),
        forwarder_lib.Sockets(sockets.fabric, sockets.relayed),
        to_control,
        time=time,
    )
    prober = prober_lib.Prober(own_address.host_id, to_forwarder)
    peer_context = None
    if loaded.api_tls is not None:
        peer_context = client_context.create_client_context(
            loaded.api_tls.client
        )
    configuration_sync = configuration_sync_lib.ConfigurationSync(
        own_address,
        settings.store,
        to_control,
        time,
        peer_context=peer_context,
        record_newer_revision=_record_newer_revision(to_forwarder),
    )
    slot_messages = slot_message_channel.SlotMessageChannel(to_control)
    requests = request_service.RequestService(
        own_address.host_id,
        claim_store_client.open_claim_store(settings.store, time),
        time,
        send_peer_message=slot_messages.send,
        record_request_end=_record_request_end(
            forwarder.statistics.slo_counters
        ),
    )
    control_plane = control.ControlPlane(
        own_address,
        _membership(own_address, settings),
        sockets.control,
        ring=loaded.ring,
        dispatcher=control_dispatcher.ControlDispatcher(
            to_forwarder,
            configuration_sync.handle_notice,
            lambda received: slot_messages.receive(
                received, requests.handle_peer_message
            ),
            (
                configuration_sync.set_view,
                requests.set_view,
                prober.set_view,
                slot_messages.set_view,
            ),
        ),
        time=time,
    )
    return Components(
        own_address=own_address,
        loaded=loaded,
        time=time,
        lifecycle=lifecycle_lib.Lifecycle(),
        forwarder=forwarder,
        control_plane=control_plane,
        configuration_sync=configuration_sync,
        requests=requests,
        prober=prober,
        metrics=instruments.create(
            own_address.host_id,
            forwarder,
            control_plane,
            requests,
            slot_messages,
        ),
        to_control=to_control,
        control_inbox=control_inbox,
        to_forwarder=to_forwarder,
        forwarder_inbox=forwarder_inbox,
    )


def _record_request_end(
    counters: slo_counters.SloCounters,
) -> request_service.RequestEndRecorder:
    """Returns a function that counts the end of a request."""

    def record(service: str, is_answered: bool) -> None:
        counters.record_requests(
            service, int(is_answered), 1, clock.wall_time_ms()
        )

    return record


def _record_newer_revision(
    to_forwarder: memory.MemoryObjectSendStream[messages.ToForwarder],
) -> Callable[[int], None]:
    """Returns a function that announces a known revision to the forwarder."""

    def announce(revision: int) -> None:
        # Dropping the message is harmless: a forwarder with a full inbox lags
        # behind anyway, and the revision itself follows once it is fetched.
        with contextlib.suppress(anyio.WouldBlock):
            to_forwarder.send_nowait(messages.NewerRevisionKnown(revision))

    return announce


def _own_address(settings: settings_lib.Settings) -> records.HostAddress:
    """Returns the addresses of this host and a new identity for the process."""
    suffix = uuid.uuid4().hex[:HOST_ID_CHARACTERS]
    return records.HostAddress(
        host_id=f"{settings.data_centre}-{suffix}",
        data_centre=settings.data_centre,
        address=str(settings.address),
        control_port=settings.ports.control,
        api_port=settings.ports.api,
    )


def _membership(
    own_address: records.HostAddress, settings: settings_lib.Settings
) -> membership.Membership:
    """Returns a membership with this host as its only member."""
    seeds = tuple(
        membership_data.Seed(str(peer.address), peer.control_port)
        for peer in settings.seeds
    )
    return membership.Membership(
        own_address,
        clock.wall_time_ms(),
        seeds,
        random.SystemRandom().getrandbits(32),
    )
