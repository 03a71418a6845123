"""Builds the tasks of the daemon and the streams between them."""

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
from sapphire_net import metrics
from sapphire_net.trust import client_context
from sapphire_node import claim_store_client
from sapphire_node import control
from sapphire_node import control_dispatcher
from sapphire_node import forwarder
from sapphire_node import instruments
from sapphire_node import lifecycle
from sapphire_node import messages
from sapphire_node import prober
from sapphire_node import settings_loader
from sapphire_node import slot_message_channel
from sapphire_node import udp_sockets
from sapphire_node.configuration import configuration_sync
from sapphire_node.requests import service as request_service
from sapphire_wire import settings as settings_lib

INBOX_MESSAGES = 4_096
HOST_ID_CHARACTERS = 12


@dataclasses.dataclass(frozen=True, slots=True)
class Components:
    """The tasks of one host and the streams between them.

    Attributes:
        own_address: The identity and addresses of the host.
        loaded: The settings.
        time: The monotonic clock.
        lifecycle: What the process says of its readiness.
        forwarder: Routes packets.
        control_plane: Owns the membership and the control socket.
        configuration_sync: Owns the configuration.
        requests: Owns the requests.
        prober: Probes upstreams.
        metrics: The metrics; whoever runs the components closes them.
        to_control: Takes messages for `control_plane`.
        control_inbox: What `control_plane` has to handle.
        to_forwarder: Takes messages for `forwarder`.
        forwarder_inbox: What `forwarder` has to handle.
    """

    own_address: records.HostAddress
    loaded: settings_loader.LoadedSettings
    time: clock.Clock
    lifecycle: lifecycle.Lifecycle
    forwarder: forwarder.Forwarder
    control_plane: control.ControlPlane
    configuration_sync: configuration_sync.ConfigurationSync
    requests: request_service.RequestService
    prober: prober.Prober
    metrics: metrics.Metrics
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
    own = _own_address(settings)
    to_control, control_inbox = anyio.create_memory_object_stream[
        messages.ToControl
    ](INBOX_MESSAGES)
    to_forwarder, forwarder_inbox = anyio.create_memory_object_stream[
        messages.ToForwarder
    ](INBOX_MESSAGES)
    packets = forwarder.Forwarder(
        own.host_id,
        flow_router.Router(own.host_id),
        forwarder.Sockets(sockets.fabric, sockets.relayed),
        to_control,
        time=time,
    )
    probes = prober.Prober(own.host_id, to_forwarder)
    peer_context = None
    if loaded.api_tls is not None:
        peer_context = client_context.create_client_context(
            loaded.api_tls.client
        )
    configuration = configuration_sync.ConfigurationSync(
        own,
        settings.store,
        to_control,
        time,
        peer_context=peer_context,
        record_newer_revision=_record_newer_revision(to_forwarder),
    )
    slots = slot_message_channel.SlotMessageChannel(to_control)
    requests = request_service.RequestService(
        own.host_id,
        claim_store_client.open_claim_store(settings.store, time),
        time,
        send_peer_message=slots.send,
        record_request_end=_record_request_end(packets.statistics.slo_counters),
    )
    control_plane = control.ControlPlane(
        own,
        _membership(own, settings),
        sockets.control,
        ring=loaded.ring,
        dispatcher=control_dispatcher.ControlDispatcher(
            to_forwarder,
            configuration.handle_notice,
            lambda received: slots.receive(
                received, requests.handle_peer_message
            ),
            (
                configuration.set_view,
                requests.set_view,
                probes.set_view,
                slots.set_view,
            ),
        ),
        time=time,
    )
    return Components(
        own_address=own,
        loaded=loaded,
        time=time,
        lifecycle=lifecycle.Lifecycle(),
        forwarder=packets,
        control_plane=control_plane,
        configuration_sync=configuration,
        requests=requests,
        prober=probes,
        metrics=instruments.create(
            own.host_id, packets, control_plane, requests, slots
        ),
        to_control=to_control,
        control_inbox=control_inbox,
        to_forwarder=to_forwarder,
        forwarder_inbox=forwarder_inbox,
    )


def _record_request_end(
    levels: slo_counters.SloCounters,
) -> request_service.RequestEndRecorder:
    """Returns what counts the end of a request."""

    def note(service: str, is_answered: bool) -> None:
        levels.record_requests(
            service, int(is_answered), 1, clock.wall_time_ms()
        )

    return note


def _record_newer_revision(
    to_forwarder: memory.MemoryObjectSendStream[messages.ToForwarder],
) -> Callable[[int], None]:
    """Returns what tells the router of a revision that is not fetched yet."""

    def tell(revision: int) -> None:
        # A full inbox means that the router is behind anyway; the revision
        # itself follows.
        with contextlib.suppress(anyio.WouldBlock):
            to_forwarder.send_nowait(messages.NewerRevisionKnown(revision))

    return tell


def _own_address(settings: settings_lib.Settings) -> records.HostAddress:
    """Returns the identity of this process, new at each start."""
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
    """Returns the membership of this host, with no state yet."""
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
