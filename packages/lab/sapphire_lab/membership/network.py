"""A discrete-event simulation of a network of membership cores."""

from collections.abc import Callable
import dataclasses
import heapq
import itertools
import random

from sapphire_core.membership import data
from sapphire_core.membership import membership
from sapphire_core.membership import message_size
from sapphire_data import records

TICK_MS = 50
_CONTROL_PORT = 7_000
_API_PORT = 7_001
FIRST_INCARNATION = 1_000_000

# Returns the delay in milliseconds of each delivered copy of a message, none if
# the message is lost. The arguments are the identities of the sender and the
# receiver, and the time in milliseconds.
Link = Callable[[str, str, int], tuple[int, ...]]

# Returns the message as the receiver gets it, for example encoded and decoded.
TransformMessage = Callable[[data.GossipMessage], data.GossipMessage]


@dataclasses.dataclass(slots=True)
class SimulatedHost:
    """A host with its membership core, and what was recorded of it.

    Attributes:
        core: The membership under test.
        address: The IP address of the host.
        is_running: Whether the host handles ticks and messages.
        sent_bytes: An upper bound of the bytes that the host sent, headers
            included.
        received_bytes: An upper bound of the bytes that it received, headers
            included.
        sent_messages: The number of messages that it sent.
        fact_changed_ms_by_key: When it received the newest version of each
            fact, in milliseconds.
        views: The views that it reported, with their times in milliseconds.
    """

    core: membership.Membership
    address: str
    is_running: bool = True
    sent_bytes: int = 0
    received_bytes: int = 0
    sent_messages: int = 0
    fact_changed_ms_by_key: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    views: list[tuple[int, records.MemberView]] = dataclasses.field(
        default_factory=list
    )


def host_address(
    host_id: str, data_centre: str, address: str
) -> records.HostAddress:
    """Returns the identity and addresses of a host, with the usual ports."""
    return records.HostAddress(
        host_id, data_centre, address, _CONTROL_PORT, _API_PORT
    )


class Network:
    """Hosts, the messages between them and a simulated clock.

    Attributes:
        now_ms: The simulated time in milliseconds.
        hosts_by_id: All hosts that were ever started.
        rng: The source of random choices.
        link: Determines loss, delay and duplication of messages; tests replace
            it to inject faults.
        records_views: Whether reported views are recorded.
        transform_message: Applied to each message on its way.
    """

    def __init__(self, seed: int, records_views: bool = True) -> None:
        self.now_ms = 0
        self.hosts_by_id: dict[str, SimulatedHost] = {}
        self.rng = random.Random(seed)
        self.link: Link = lambda source, target, now_ms: (1,)
        self.records_views = records_views
        self.transform_message: TransformMessage = lambda message: message
        self._ids_by_address: dict[str, str] = {}
        self._sequence = itertools.count()
        self._events: list[tuple[int, int, str, data.GossipMessage | None]] = []

    def start(
        self,
        host: records.HostAddress,
        seeds: tuple[data.Seed, ...] = (),
        settings: data.Settings | None = None,
    ) -> SimulatedHost:
        """Starts a host, which replaces an earlier one at the same address."""
        core = membership.Membership(
            self_address=host,
            first_incarnation=FIRST_INCARNATION + self.now_ms,
            seeds=seeds,
            rng_seed=self.rng.getrandbits(32),
            settings=settings,
        )
        simulated_host = SimulatedHost(core, host.address)
        self.hosts_by_id[host.host_id] = simulated_host
        self._ids_by_address[host.address] = host.host_id
        self._schedule(self.rng.randrange(TICK_MS), host.host_id, None)
        return simulated_host

    def stop(self, host_id: str) -> None:
        """Stops a host without leaving, as in a crash or a stall."""
        self.hosts_by_id[host_id].is_running = False

    def resume(self, host_id: str) -> None:
        """Resumes a stopped host with its former state, as after a stall."""
        self.hosts_by_id[host_id].is_running = True

    def apply_actions(
        self, host_id: str, actions: tuple[data.Action, ...]
    ) -> None:
        """Carries out the actions that the core of a host returned."""
        simulated_host = self.hosts_by_id[host_id]
        for action in actions:
            if isinstance(action, data.SendGossip):
                self._send(host_id, simulated_host, action)
                continue
            if isinstance(action, data.FactChanged):
                simulated_host.fact_changed_ms_by_key[action.key] = self.now_ms
                continue
            if isinstance(action, data.ViewChanged) and self.records_views:
                simulated_host.views.append((self.now_ms, action.view))

    def run(self, duration_ms: int) -> None:
        """Advances the clock and handles all events up to then."""
        end_ms = self.now_ms + duration_ms
        while self._events and self._events[0][0] <= end_ms:
            time_ms, _, host_id, message = heapq.heappop(self._events)
            self.now_ms = time_ms
            simulated_host = self.hosts_by_id[host_id]
            if message is None:
                self._schedule(TICK_MS, host_id, None)
            if not simulated_host.is_running:
                continue
            if message is None:
                self.apply_actions(host_id, simulated_host.core.tick(time_ms))
                continue
            size = message_size.message_bytes(message)
            simulated_host.received_bytes += (
                size + message_size.DATAGRAM_OVERHEAD_BYTES
            )
            sender = message.origin.host.host_id
            self.apply_actions(
                host_id, simulated_host.core.receive(message, sender, time_ms)
            )
        self.now_ms = end_ms

    def running_hosts(self) -> dict[str, SimulatedHost]:
        """Returns the running hosts by identity."""
        return {
            host_id: simulated_host
            for host_id, simulated_host in self.hosts_by_id.items()
            if simulated_host.is_running
        }

    def _send(
        self,
        host_id: str,
        simulated_host: SimulatedHost,
        action: data.SendGossip,
    ) -> None:
        """Schedules the deliveries of a message as the link determines."""
        size = message_size.message_bytes(action.message)
        simulated_host.sent_bytes += size + message_size.DATAGRAM_OVERHEAD_BYTES
        simulated_host.sent_messages += 1
        target_id = self._ids_by_address.get(action.address)
        if target_id is None:
            return
        for delay_ms in self.link(host_id, target_id, self.now_ms):
            message = self.transform_message(action.message)
            self._schedule(delay_ms, target_id, message)

    def _schedule(
        self, delay_ms: int, host_id: str, message: data.GossipMessage | None
    ) -> None:
        """Schedules a tick, if there is no message, or the arrival of one."""
        event = (self.now_ms + delay_ms, next(self._sequence), host_id, message)
        heapq.heappush(self._events, event)
