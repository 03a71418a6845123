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
from sapphire_node import control
from sapphire_node import forwarder
from sapphire_node import instruments
from sapphire_node import lifecycle
from sapphire_node import listeners
from sapphire_node import loading
from sapphire_node import messages
from sapphire_node import prober
from sapphire_node import slot_carrier
from sapphire_node import store_claims
from sapphire_node import subscribers
from sapphire_node.configuration import configuration_sync
from sapphire_node.requests import service as request_service
from sapphire_wire import settings as settings_lib

INBOX_MESSAGES = 4_096
HOST_ID_CHARACTERS = 12


@dataclasses.dataclass(frozen=True, slots=True)
class Parts:
    """The tasks of one host and the streams between them.

    Attributes:
        own: The identity and addresses of the host.
        loaded: The settings.
        time: The monotonic clock.
        state: What the process says of its readiness.
        packets: Routes packets.
        control: Owns the membership and the control socket.
        configuration: Owns the configuration.
        requests: Owns the requests.
        probes: Probes upstreams.
        meters: The metrics; whoever runs the parts closes them.
        to_control: Takes messages for `control`.
        control_inbox: What `control` has to handle.
        to_forwarder: Takes messages for `packets`.
        forwarder_inbox: What `packets` has to handle.
    """

    own: records.HostAddress
    loaded: loading.LoadedSettings
    time: clock.Clock
    state: lifecycle.Lifecycle
    packets: forwarder.Forwarder
    control: control.ControlPlane
    configuration: configuration_sync.ConfigurationSync
    requests: request_service.RequestService
    probes: prober.Prober
    meters: metrics.Metrics
    to_control: memory.MemoryObjectSendStream[messages.ToControl]
    control_inbox: memory.MemoryObjectReceiveStream[messages.ToControl]
    to_forwarder: memory.MemoryObjectSendStream[messages.ToForwarder]
    forwarder_inbox: memory.MemoryObjectReceiveStream[messages.ToForwarder]


def build(loaded: loading.LoadedSettings, sockets: listeners.Sockets) -> Parts:
    """Builds the tasks of a host; nothing runs yet.

    Args:
        loaded: The settings.
        sockets: The open sockets.

    Returns:
        The parts.
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
        note_newer=_note_newer(to_forwarder),
    )
    slots = slot_carrier.SlotCarrier(to_control)
    requests = request_service.RequestService(
        own.host_id,
        store_claims.open_claims(settings.store, time),
        time,
        tell_peer=slots.tell,
        note_end=_note_end(packets.seen.levels),
    )
    control_plane = control.ControlPlane(
        own,
        _membership(own, settings),
        sockets.control,
        ring=loaded.ring,
        listeners=subscribers.Subscribers(
            to_forwarder,
            configuration.take_notice,
            lambda received: slots.receive(received, requests.peer_told),
            (
                configuration.take_view,
                requests.set_view,
                probes.take_view,
                slots.take_view,
            ),
        ),
        time=time,
    )
    return Parts(
        own=own,
        loaded=loaded,
        time=time,
        state=lifecycle.Lifecycle(),
        packets=packets,
        control=control_plane,
        configuration=configuration,
        requests=requests,
        probes=probes,
        meters=instruments.create(
            own.host_id, packets, control_plane, requests, slots
        ),
        to_control=to_control,
        control_inbox=control_inbox,
        to_forwarder=to_forwarder,
        forwarder_inbox=forwarder_inbox,
    )


def _note_end(levels: slo_counters.SloCounters) -> request_service.NoteEnd:
    """Returns what counts the end of a request."""

    def note(service: str, is_answered: bool) -> None:
        levels.record_requests(
            service, int(is_answered), 1, clock.wall_time_ms()
        )

    return note


def _note_newer(
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
    own: records.HostAddress, settings: settings_lib.Settings
) -> membership.Membership:
    """Returns the membership of this host, with no state yet."""
    seeds = tuple(
        membership_data.Seed(str(peer.address), peer.control_port)
        for peer in settings.seeds
    )
    return membership.Membership(
        own,
        clock.wall_time_ms(),
        seeds,
        random.SystemRandom().getrandbits(32),
    )
