"""One plain loop that carries gossip between membership cores."""

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

# Returns the delays in milliseconds at which copies of a message arrive, by
# the identities of sender and receiver and the time.
Link = Callable[[str, str, int], tuple[int, ...]]

Carry = Callable[[data.GossipMessage], data.GossipMessage]


@dataclasses.dataclass(slots=True)
class Node:
    """A host with its core and what was seen of it.

    Attributes:
        core: The membership under test.
        address: Its IP number.
        is_running: Whether it takes events.
        sent_bytes: The bound of the bytes that it sent, headers included.
        received_bytes: The same for what it received.
        sent_messages: The messages that it sent.
        facts_ms: When it learned the newest version of each fact.
        views: The views that it reported, with their times.
    """

    core: membership.Membership
    address: str
    is_running: bool = True
    sent_bytes: int = 0
    received_bytes: int = 0
    sent_messages: int = 0
    facts_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    views: list[tuple[int, records.MemberView]] = dataclasses.field(
        default_factory=list
    )


def host_address(
    host_id: str, data_centre: str, address: str
) -> records.HostAddress:
    """Returns the addresses of a host of the network."""
    return records.HostAddress(
        host_id, data_centre, address, _CONTROL_PORT, _API_PORT
    )


class Network:
    """Hosts, the messages between them and a given clock.

    Attributes:
        now_ms: The time.
        nodes_by_id: All hosts that were ever started.
        link: The delays of messages; replaced to bring about faults.
        keeps_views: Whether reported views are kept.
        carry: What becomes of a message on its way, such as its encoding.
    """

    def __init__(self, seed: int, keeps_views: bool = True) -> None:
        self.now_ms = 0
        self.nodes_by_id: dict[str, Node] = {}
        self.rng = random.Random(seed)
        self.link: Link = lambda source, target, now_ms: (1,)
        self.keeps_views = keeps_views
        self.carry: Carry = lambda message: message
        self._ids_by_address: dict[str, str] = {}
        self._sequence = itertools.count()
        self._events: list[tuple[int, int, str, data.GossipMessage | None]] = []

    def start(
        self,
        host: records.HostAddress,
        seeds: tuple[data.Seed, ...] = (),
        settings: data.Settings | None = None,
    ) -> Node:
        """Starts a host, in place of the one that had its address."""
        core = membership.Membership(
            self_address=host,
            first_incarnation=FIRST_INCARNATION + self.now_ms,
            seeds=seeds,
            rng_seed=self.rng.getrandbits(32),
            settings=settings,
        )
        node = Node(core, host.address)
        self.nodes_by_id[host.host_id] = node
        self._ids_by_address[host.address] = host.host_id
        self._schedule(self.rng.randrange(TICK_MS), host.host_id, None)
        return node

    def stop(self, host_id: str) -> None:
        """Stops a host without notice."""
        self.nodes_by_id[host_id].is_running = False

    def resume(self, host_id: str) -> None:
        """Lets a stopped host go on with the state that it had."""
        self.nodes_by_id[host_id].is_running = True

    def perform(self, host_id: str, actions: tuple[data.Action, ...]) -> None:
        """Carries out the actions of a host."""
        node = self.nodes_by_id[host_id]
        for action in actions:
            if isinstance(action, data.SendGossip):
                self._send(host_id, node, action)
                continue
            if isinstance(action, data.FactChanged):
                node.facts_ms[action.key] = self.now_ms
                continue
            if isinstance(action, data.ViewChanged) and self.keeps_views:
                node.views.append((self.now_ms, action.view))

    def run(self, duration_ms: int) -> None:
        """Lets time pass."""
        end_ms = self.now_ms + duration_ms
        while self._events and self._events[0][0] <= end_ms:
            time_ms, _, host_id, message = heapq.heappop(self._events)
            self.now_ms = time_ms
            node = self.nodes_by_id[host_id]
            if message is None:
                self._schedule(TICK_MS, host_id, None)
            if not node.is_running:
                continue
            if message is None:
                self.perform(host_id, node.core.tick(time_ms))
                continue
            size = message_size.message_bytes(message)
            node.received_bytes += size + message_size.DATAGRAM_OVERHEAD_BYTES
            sender = message.origin.host.host_id
            self.perform(host_id, node.core.receive(message, sender, time_ms))
        self.now_ms = end_ms

    def running(self) -> dict[str, Node]:
        """Returns the hosts that take events."""
        return {
            host_id: node
            for host_id, node in self.nodes_by_id.items()
            if node.is_running
        }

    def _send(self, host_id: str, node: Node, action: data.SendGossip) -> None:
        """Hands a message to the link."""
        size = message_size.message_bytes(action.message)
        node.sent_bytes += size + message_size.DATAGRAM_OVERHEAD_BYTES
        node.sent_messages += 1
        target_id = self._ids_by_address.get(action.address)
        if target_id is None:
            return
        for delay_ms in self.link(host_id, target_id, self.now_ms):
            message = self.carry(action.message)
            self._schedule(delay_ms, target_id, message)

    def _schedule(
        self, delay_ms: int, host_id: str, message: data.GossipMessage | None
    ) -> None:
        """Plans a tick or the arrival of a message."""
        event = (self.now_ms + delay_ms, next(self._sequence), host_id, message)
        heapq.heappush(self._events, event)
