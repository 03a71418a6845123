import dataclasses
import random

import anyio
import anyio.abc
import testtools

from sapphire_core.peers import data as peer_data
from sapphire_core.peers import peer_table as peer_table_lib
from sapphire_core.replication import data
from sapphire_core.tagged_flows import data as flow_data
from sapphire_data import clock as clock_lib
from sapphire_lab.tagged_flows import builders
from sapphire_lab.tagged_flows import host_builders
from sapphire_net import http1
from sapphire_node.entry import messages
from sapphire_node.entry import peer_requests
from sapphire_node.entry import startup_exchange
from sapphire_wire import flow_pin_list
from sapphire_wire import peer_messages

LOOPBACK = "127.0.0.1"
CONTACT_MS = 4_000
ERA = 2


class Peer:
    """A peer that answers all requests with one status and batch."""

    def __init__(self, name: str, status: int = http1.OK) -> None:
        self.name = name
        self.paths: list[str] = []
        self._status = status
        self.flow_pins: tuple[flow_data.FlowPin, ...] = ()

    async def answer(self, method: str, path: str) -> http1.Response:
        if path == peer_requests.FLOW_PINS_PATH:
            pins = flow_pin_list.encode(self.flow_pins)
            return http1.Response(self._status, pins)
        self.paths.append(path)
        batch = builders.batch(builders.item("a", 4), as_of=9)
        return http1.Response(self._status, peer_messages.encode_batch(batch))


class StartupExchangeFixture(testtools.TestCase):
    """A host that has started, and peers that serve HTTP."""

    def setUp(self) -> None:
        super().setUp()
        self.state = host_builders.state()
        own = builders.heartbeat("edge-1").contact
        self.table = peer_table_lib.PeerTable(own, random.Random(1), CONTACT_MS)
        batches, self.batches = anyio.create_memory_object_stream[
            messages.ReplicaMessage
        ](100)
        self.exchange = startup_exchange.StartupExchange(
            own,
            self.state,
            clock_lib.ManualClock(1_000),
            peer_table=self.table,
            batches=batches,
            rng=random.Random(1),
        )

    def know_all(self, era: int) -> None:
        """Lets the host know all scopes, of a store in some era."""
        for scope in (data.Scope.INTENT, data.Scope.REGISTRY):
            self.state.as_of_by_scope[scope] = 9
            self.state.era_by_scope[scope] = era

    def hear(self, contact: peer_data.Contact) -> None:
        """Records the first heartbeat of a peer, as the peer task does."""
        heartbeat = builders.heartbeat(contact.host)
        self.table.record_heartbeat(
            dataclasses.replace(heartbeat, contact=contact), 1_000
        )
        self.exchange.record_new_peer(contact.host)

    def run_beside(
        self,
        listed: list[Peer],
        heard: list[Peer],
        last: type[messages.ReplicaMessage] = messages.PeersAsked,
    ) -> list[messages.ReplicaMessage]:
        """Runs the exchange until it has sent some message.

        Args:
            listed: The peers that the store lists.
            heard: The peers that send heartbeats.
            last: The type of the message to wait for.

        Returns:
            All messages that it has sent.
        """

        async def main() -> list[messages.ReplicaMessage]:
            contacts: dict[str, peer_data.Contact] = {}
            async with anyio.create_task_group() as tasks:
                for peer in dict.fromkeys([*listed, *heard]):
                    listener = await anyio.create_tcp_listener(
                        local_host=LOOPBACK
                    )
                    port = listener.extra(anyio.abc.SocketAttribute.local_port)
                    tasks.start_soon(http1.serve, listener, peer.answer)
                    contacts[peer.name] = peer_data.Contact(
                        peer.name, "tacoma", LOOPBACK, port
                    )
                self.exchange.record_host_list(
                    tuple(contacts[peer.name] for peer in listed)
                )
                tasks.start_soon(self.exchange.run)
                for peer in heard:
                    self.hear(contacts[peer.name])
                found = [await self.batches.receive()]
                while not isinstance(found[-1], last):
                    found.append(await self.batches.receive())
                tasks.cancel_scope.cancel()
            return found

        return anyio.run(main)


class RemovedItemsTest(StartupExchangeFixture):
    """A new host asks for the items that left the registry before its start."""

    def test_a_new_peer_is_asked_for_removed_items(self) -> None:
        self.state.as_of_by_scope[data.Scope.REGISTRY] = 9
        peer = Peer("edge-2")
        (message,) = self.run_beside([], [peer], messages.RemovedItemsReceived)
        assert isinstance(message, messages.RemovedItemsReceived)
        self.assertEqual(["a"], [item.key for item in message.batch.items])
        self.assertEqual(["/removed/2"], peer.paths)


class FlowPinsTest(StartupExchangeFixture):
    """A new host asks which upstreams have flows that may move to it."""

    def test_listed_peers_tell_their_pins(self) -> None:
        """Guards against: a flow that moves to a host which has just started
        is sent to the second of two upstreams that answered."""
        self.know_all(ERA)
        first, second, earlier = Peer("edge-2"), Peer("edge-3"), Peer("edge-4")
        first.flow_pins = (flow_data.FlowPin(builders.flow(1), 7, 100),)
        second.flow_pins = (flow_data.FlowPin(builders.flow(2), 8, 100),)
        # Hosts of 8db66d3 do not know the path.
        earlier._status = http1.NOT_FOUND
        self.run_beside([first, second, earlier], [])
        for number, tag in ((1, 7), (2, 8)):
            packet = builders.packet(number, tag=9)
            self.assertEqual(tag, self.state.flow_pins.tag_of(packet))


class CarriedItemsTest(StartupExchangeFixture):
    """A new host asks for what counts in place of an older copy."""

    def test_listed_peers_are_asked_before_the_host_is_ready(self) -> None:
        self.know_all(ERA)
        peers = [Peer(f"edge-{number}") for number in range(2, 9)]
        found = self.run_beside(peers, [])
        self.assertIn(messages.PeersAsked(2), found)
        asked = [peer for peer in peers if peer.paths]
        self.assertThat(
            len(asked),
            testtools.matchers.LessThan(startup_exchange.CONCURRENT_ASKS + 1),
        )

    def test_peers_that_are_not_ready_do_not_count(self) -> None:
        self.know_all(ERA)
        starting = [
            Peer(f"edge-{number}", http1.UNAVAILABLE) for number in range(2, 12)
        ]
        running = [Peer("edge-12"), Peer("edge-13")]
        found = self.run_beside([*starting, *running], [])
        self.assertEqual(messages.PeersAsked(2), found[-1])
        self.assertEqual(
            {"edge-12", "edge-13"},
            {
                message.source
                for message in found
                if isinstance(message, messages.CarriedItemsReceived)
            },
        )

    # Guards the start after a loss of all hosts: nobody knows more.
    def test_the_host_goes_on_if_no_peer_is_ready(self) -> None:
        self.know_all(ERA)
        starting = [Peer("edge-2", http1.UNAVAILABLE)]
        self.assertEqual(
            [messages.PeersAsked(0)], self.run_beside(starting, [])
        )

    # Guards against a forged heartbeat that names a host of its sender.
    def test_a_host_that_is_not_listed_is_not_asked(self) -> None:
        self.know_all(ERA)
        forged = Peer("edge-9")
        listed = [Peer("edge-2"), Peer("edge-3")]
        found = self.run_beside(listed, [forged], messages.RemovedItemsReceived)
        self.assertIn(messages.PeersAsked(2), found)
        self.assertEqual(["/removed/2"], forged.paths)

    # Guards against CONFIG: soak, seed 1016, all leases had just ended.
    def test_hosts_that_are_heard_are_asked_if_too_few_are_listed(
        self,
    ) -> None:
        self.know_all(ERA)
        heard = [Peer("edge-2"), Peer("edge-3")]
        found = self.run_beside([], heard)
        self.assertEqual(messages.PeersAsked(2), found[-1])

    def test_a_store_without_eras_costs_no_request(self) -> None:
        self.know_all(0)
        peer = Peer("edge-2")
        self.run_beside([peer], [peer], messages.RemovedItemsReceived)
        self.assertEqual(["/removed/2"], peer.paths)
