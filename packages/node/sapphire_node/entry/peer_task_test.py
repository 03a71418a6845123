import dataclasses

import anyio
import anyio.abc
import testtools

from sapphire_core.peers import data as peer_data
from sapphire_core.tagged_flows import data as flow_data
from sapphire_data import clock as clock_lib
from sapphire_lab.tagged_flows import builders
from sapphire_lab.tagged_flows import host_builders
from sapphire_lab.tagged_flows import outcome_builders
from sapphire_net import datagrams
from sapphire_net import pauses
from sapphire_node.entry import messages
from sapphire_node.entry import peer_task
from sapphire_wire import peer_messages

ANY_ADDRESS = ("127.0.0.1", 0)
DATA_CENTRE = builders.DATA_CENTRE


class PeerTaskBench(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.clock = clock_lib.ManualClock(1_000)
        self.state = host_builders.state()
        self.inbox, inbox = anyio.create_memory_object_stream[
            messages.HostListChanged
            | messages.ScopeUpdated
            | messages.OwnUpstreamReports
        ](10)
        batches, self.batches = anyio.create_memory_object_stream[
            messages.ReplicaMessage
        ](10)
        peer_reports, self.peer_reports = anyio.create_memory_object_stream[
            messages.PeerReports
        ](10)
        self.task = peer_task.PeerTask(
            peer_data.Contact("edge-1", builders.DATA_CENTRE, *ANY_ADDRESS),
            self.state,
            self.clock,
            inbox=inbox,
            batches=batches,
            peer_reports=peer_reports,
        )
        self.addCleanup(self.task._sender.socket.close)
        self.peer = datagrams.open_socket(ANY_ADDRESS)
        self.addCleanup(self.peer.close)

    def contact(self) -> peer_data.Contact:
        """Returns the contact of the peer."""
        address, port = self.peer.getsockname()
        return peer_data.Contact("edge-2", builders.DATA_CENTRE, address, port)


class PeerTaskTest(PeerTaskBench):
    def test_a_leaving_host_sends_a_heartbeat_at_once(self) -> None:
        self.task._peer_table.set_host_list([self.contact()], 1_000)
        self.state.leaving.set()

        async def main() -> bytes:
            await self.task._sender.run_leaving()
            await anyio.wait_readable(self.peer)
            return self.peer.recv(peer_messages.MAX_HEARTBEAT_BYTES)

        heartbeat = peer_messages.decode_heartbeat(anyio.run(main))
        self.assertIsInstance(heartbeat, peer_data.Heartbeat)
        assert isinstance(heartbeat, peer_data.Heartbeat)
        self.assertTrue(heartbeat.is_leaving)

    def test_flow_pins_of_peers_are_merged(self) -> None:
        pin = flow_data.FlowPin(builders.flow(1), 7, 100)
        heartbeat = builders.heartbeat("edge-2", flow_pins=(pin,))
        self.task._handle_datagram(peer_messages.encode_heartbeat(heartbeat))
        packet = builders.packet(1, tag=8)
        self.assertEqual(7, self.state.flow_pins.tag_of(packet))
        # It is told by the host that has made it, not again by this one.
        told = peer_messages.decode_heartbeat(
            self.task._sender._encode_next(1_000)
        )
        assert isinstance(told, peer_data.Heartbeat)
        self.assertEqual((), told.flow_pins)

    def count_notices_of_new_pins(self, peers: int) -> int:
        """Returns how many heartbeats new pins cost, with some near peers."""
        for number in range(peers):
            heartbeat = builders.heartbeat(f"edge-{number + 2}")
            self.task._peer_table.record_heartbeat(heartbeat, 1_000)
        sent: list[bool] = []
        self.patch(
            self.task._sender,
            "send_notice",
            lambda *, is_for_remote: sent.append(is_for_remote),
        )

        async def main() -> None:
            await self.inbox.send(
                messages.OwnUpstreamReports(
                    (), (), is_urgent=False, has_new_pins=True
                )
            )
            with anyio.move_on_after(0.05):
                await self.task._handle_messages()

        anyio.run(main)
        return len(sent)

    def test_new_pins_are_told_at_once_in_a_small_fleet(self) -> None:
        self.assertEqual(1, self.count_notices_of_new_pins(3))

    def test_new_pins_wait_for_the_next_heartbeat_in_a_large_fleet(
        self,
    ) -> None:
        """Guards against: under load, each of a hundred hosts sends and reads
        several times as many heartbeats."""
        self.assertEqual(0, self.count_notices_of_new_pins(40))

    def test_a_leaving_local_peer_is_away_at_once(self) -> None:
        heartbeat = builders.heartbeat("edge-2", is_leaving=True)
        self.task._handle_datagram(peer_messages.encode_heartbeat(heartbeat))
        self.assertTrue(self.state.is_near_host_away)

    def test_a_leaving_remote_peer_does_not_count_as_away(self) -> None:
        heartbeat = builders.heartbeat(
            "edge-2", data_centre="remote", is_leaving=True
        )
        self.task._handle_datagram(peer_messages.encode_heartbeat(heartbeat))
        self.assertFalse(self.state.is_near_host_away)

    def test_unreadable_heartbeats_are_counted(self) -> None:
        self.task._handle_datagram(b"noise")
        self.assertEqual(1, self.state.counts["unreadable_beats"])

    def test_malformed_outcomes_take_nothing_else_with_them(self) -> None:
        heartbeat = builders.heartbeat(
            "edge-2",
            is_leaving=True,
            outcomes=(outcome_builders.report(5, -1, 2),),
        )
        self.task._handle_datagram(peer_messages.encode_heartbeat(heartbeat))
        self.assertEqual(1, self.state.counts["beat_parts_left_out"])
        self.assertTrue(self.state.is_near_host_away)

    def received(self) -> list[peer_data.Heartbeat]:
        """Returns the heartbeats that the peer has received so far."""
        found: list[peer_data.Heartbeat] = []
        while True:
            try:
                datagram = self.peer.recv(peer_messages.MAX_HEARTBEAT_BYTES)
            except BlockingIOError:
                return found
            heartbeat = peer_messages.decode_heartbeat(datagram)
            assert isinstance(heartbeat, peer_data.Heartbeat)
            found.append(heartbeat)

    def test_a_host_that_hears_no_peer_sends_to_the_seeds(self) -> None:
        """Pattern: a new process while the store is out of reach."""
        address = self.peer.getsockname()
        own_address = self.state.settings.peer_address
        self.state.settings = dataclasses.replace(
            self.state.settings, seed_addresses=(own_address, address)
        )
        self.task._sender.send_to_seeds(self.clock.now_ms())
        self.assertEqual(
            ["edge-1"], [each.contact.host for each in self.received()]
        )

    def new_peer(self, number: int, data_centre: str) -> None:
        """Delivers the first heartbeat of a peer at the peer's socket."""
        heartbeat = builders.heartbeat(f"new-{number}", data_centre=data_centre)
        address, port = self.peer.getsockname()
        contact = dataclasses.replace(
            heartbeat.contact, address=address, port=port
        )
        heartbeat = dataclasses.replace(heartbeat, contact=contact)
        self.task._handle_datagram(peer_messages.encode_heartbeat(heartbeat))

    def test_every_new_peer_of_a_small_fleet_gets_a_heartbeat(self) -> None:
        for number in range(10):
            self.new_peer(number, "remote" if number % 2 else DATA_CENTRE)
        self.assertEqual(10, len(self.received()))

    def test_few_new_peers_of_a_large_fleet_get_a_heartbeat(self) -> None:
        """Pattern: hundreds of hosts start at once and hear each other."""
        listed = [
            builders.heartbeat(f"listed-{number}").contact
            for number in range(200)
        ]
        self.task._peer_table.set_host_list(listed, self.clock.now_ms())
        for number in range(100):
            self.new_peer(number, "remote")
        self.assertEqual(0, len(self.received()))
        for number in range(100, 200):
            self.new_peer(number, DATA_CENTRE)
        self.assertEqual(
            peer_task.MAX_REPLIES_TO_NEW_PEERS, len(self.received())
        )


class PausedHostTest(PeerTaskBench):
    """The process does not run for 5 s; heartbeats arrive meanwhile."""

    # Guards against shares of cold upstreams for fewer hosts than there are.
    def test_peers_count_until_their_heartbeats_have_been_read(self) -> None:
        sent: list[peer_data.Heartbeat] = []

        def hear() -> None:
            heartbeat = builders.heartbeat("edge-2", sequence=len(sent) + 1)
            sent.append(heartbeat)
            datagram = peer_messages.encode_heartbeat(heartbeat)
            self.task._handle_datagram(datagram)

        async def pause_then_read(duration_ms: int) -> None:
            if len(sent) == 1:
                self.clock.advance(duration_ms + 5_000)
                sent.append(sent[0])
                return
            if len(sent) == 2:
                hear()
                return
            raise StopAsyncIteration

        hear()
        self.state.is_ready = True
        self.patch(pauses, "sleep_ms", pause_then_read)
        self.assertRaises(
            (StopAsyncIteration, RuntimeError),
            anyio.run,
            self.task._send_heartbeats,
        )
        counts: list[int] = []
        while self.peer_reports.statistics().current_buffer_used:
            counts.append(self.peer_reports.receive_nowait().host_count)
        self.assertEqual([2, 2], counts[:2])
