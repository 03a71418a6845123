import anyio
import testtools

from sapphire_core.replication import data as replication_data
from sapphire_core.tagged_flows import data
from sapphire_core.tagged_flows import steering
from sapphire_data import clock as clock_lib
from sapphire_lab.tagged_flows import builders
from sapphire_lab.tagged_flows import host_builders
from sapphire_net import datagrams
from sapphire_node.entry import messages
from sapphire_node.entry import packet_task
from sapphire_node.entry import platform_interface

LOOPBACK = "127.0.0.1"


class Format:
    """Packets as the test writes them: a letter for the kind of packet."""

    def decode(self, datagram: bytes) -> data.Packet | data.UnreadablePacket:
        if datagram == b"opening":
            return builders.opening()
        return data.UnreadablePacket("unknown")

    def encode_forward(self, forward: data.Forward) -> bytes:
        return b"forwarded"

    def encode_reset(self, packet: data.Packet) -> bytes:
        return b"reset"

    def caller_address(self, packet: data.Packet) -> data.Address:
        raise NotImplementedError


class Platform:
    """An adapter that only reads packets."""

    def __init__(self) -> None:
        self.packets: platform_interface.PacketCodec = Format()
        self.items: platform_interface.ItemDecoder

    def read_settings(self) -> platform_interface.HostSettings:
        raise NotImplementedError

    def create_store_client(
        self, settings: platform_interface.HostSettings
    ) -> platform_interface.StoreClient:
        raise NotImplementedError


class PacketTaskTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.clock = clock_lib.ManualClock(1_000)
        self.state = host_builders.state()
        self.upstream = datagrams.open_socket((LOOPBACK, 0))
        self.addCleanup(self.upstream.close)
        self.changes, received = anyio.create_memory_object_stream[
            messages.NewChanges | messages.PeerReports
        ](10)
        seen, self.seen = anyio.create_memory_object_stream[
            messages.LocalUpstreamReports
        ](10)
        self.task = packet_task.PacketTask(
            Platform(), self.state, self.clock, received, seen
        )
        self.addCleanup(self.task._socket.close)

    def learn(
        self, scope: replication_data.Scope, *changes: data.Change
    ) -> None:
        """Hands the task what this host learned."""
        known = tuple(messages.ChangeAtRevision(one, 5) for one in changes)
        learned = messages.NewChanges(
            scope, known, data.RemovalCause.UPSTREAM_STOPPED, "test"
        )

        async def main() -> None:
            await self.changes.send(learned)
            with anyio.move_on_after(0.05):
                await self.task._learn()

        anyio.run(main)

    def learn_configuration(self) -> None:
        change = data.ConfigurationChange(builders.configuration())
        self.learn(replication_data.Scope.INTENT, change)

    def learn_upstream(self) -> None:
        address = (LOOPBACK, self.upstream.getsockname()[1])
        upstream = builders.upstream("i-1", address=address)
        change = data.UpstreamChange(upstream)
        self.learn(replication_data.Scope.REGISTRY, change)

    def received(self) -> int:
        """Returns how many packets the upstream got."""
        count = 0
        while True:
            try:
                self.upstream.recv(100)
            except BlockingIOError:
                return count
            count += 1

    def test_packets_that_come_too_early_are_kept(self) -> None:
        self.task._take(b"opening")
        self.clock.advance(packet_task.MAX_HOLD_MS)
        self.learn_upstream()
        self.assertEqual(0, self.received())
        self.learn_configuration()
        self.assertTrue(self.state.is_ready)
        self.assertEqual(1, self.received())

    def test_a_packet_that_its_caller_has_sent_again_is_not_kept(self) -> None:
        self.task._take(b"opening")
        self.clock.advance(packet_task.MAX_HOLD_MS + 1)
        self.learn_upstream()
        self.learn_configuration()
        self.assertEqual(0, self.received())

    def test_a_registry_without_upstreams_is_not_believed_at_once(
        self,
    ) -> None:
        # The host started just after the store came back without its entries.
        self.learn(replication_data.Scope.REGISTRY)
        self.learn_configuration()
        self.assertFalse(self.state.is_ready)
        self.learn_upstream()
        self.assertTrue(self.state.is_ready)

    def test_a_registry_that_stays_empty_is_believed(self) -> None:
        self.learn(replication_data.Scope.REGISTRY)
        self.learn_configuration()
        self.clock.advance(packet_task.EMPTY_REGISTRY_GRACE_MS)
        self.learn(replication_data.Scope.REGISTRY)
        self.assertTrue(self.state.is_ready)

    def test_an_opening_after_a_quiet_time_is_sent_on_without_delay(
        self,
    ) -> None:
        # The task does not tick while nothing is pending; that is no pause.
        other = datagrams.open_socket((LOOPBACK, 0))
        self.addCleanup(other.close)
        address = (LOOPBACK, other.getsockname()[1])
        self.learn_upstream()
        self.learn_configuration()
        upstream = builders.upstream("i-2", address=address)
        self.learn(
            replication_data.Scope.REGISTRY, data.UpstreamChange(upstream)
        )
        self.task._steering.record_membership_change(
            -steering.MEMBERSHIP_GRACE_MS
        )
        self.clock.advance(10_000)
        self.task._take(b"opening")
        self.clock.advance(steering.ANSWER_TIMEOUT_MS)
        actions = self.task._steering.tick(self.clock.now_ms())
        self.assertEqual(1, len(actions))

    def test_what_is_no_packet_is_counted(self) -> None:
        self.task._take(b"noise")
        self.assertEqual(1, self.state.counts["unreadable_packets"])
