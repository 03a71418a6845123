import anyio
import testtools

from sapphire_core.replication import data as replication_data
from sapphire_core.tagged_flows import data
from sapphire_core.tagged_flows import tags
from sapphire_core.tagged_flows.health import outlier_ejection
from sapphire_core.tagged_flows.openings import answer_timeout
from sapphire_core.tagged_flows.openings import openings
from sapphire_data import clock as clock_lib
from sapphire_lab.tagged_flows import builders
from sapphire_lab.tagged_flows import host_builders
from sapphire_lab.tagged_flows import outcome_builders
from sapphire_net import datagrams
from sapphire_node.entry import messages
from sapphire_node.entry import packet_task
from sapphire_node.entry import platform_interface
from sapphire_node.entry import startup_exchange

LOOPBACK = "127.0.0.1"


class FakePacketCodec:
    """A codec for which the datagram `opening` is an opening packet."""

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


class FakePlatform:
    """An adapter that only has a packet codec."""

    def __init__(self) -> None:
        self.packets: platform_interface.PacketCodec = FakePacketCodec()
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
            messages.PacketTaskMessage
        ](10)
        reports, self.reports = anyio.create_memory_object_stream[
            messages.OwnUpstreamReports
        ](10)
        self.task = packet_task.PacketTask(
            FakePlatform(), self.state, self.clock, received, reports
        )
        self.addCleanup(self.task._socket.close)

    def apply_changes(
        self, scope: replication_data.Scope, *changes: data.Change
    ) -> None:
        """Lets the task apply new changes of a scope."""
        versioned_changes = tuple(
            messages.ChangeAtRevision(change, 5) for change in changes
        )
        self.apply_message(
            messages.NewChanges(
                scope,
                versioned_changes,
                data.RemovalCause.UPSTREAM_STOPPED,
                "test",
            )
        )

    def apply_message(self, message: messages.PacketTaskMessage) -> None:
        """Lets the task handle a message of another task."""

        async def main() -> None:
            await self.changes.send(message)
            with anyio.move_on_after(0.05):
                await self.task._apply_messages()

        anyio.run(main)

    def apply_configuration(self) -> None:
        change = data.ConfigurationChange(builders.configuration())
        self.apply_changes(replication_data.Scope.INTENT, change)

    def apply_upstream(self) -> None:
        address = (LOOPBACK, self.upstream.getsockname()[1])
        upstream = builders.upstream("i-1", address=address)
        change = data.UpstreamChange(upstream)
        self.apply_changes(replication_data.Scope.REGISTRY, change)

    def received_count(self) -> int:
        """Reads the datagrams that the upstream received; returns how many."""
        count = 0
        while True:
            try:
                self.upstream.recv(100)
            except BlockingIOError:
                return count
            count += 1

    def test_packets_before_readiness_are_held_and_then_forwarded(self) -> None:
        self.task._handle_datagram(b"opening")
        self.clock.advance(packet_task.MAX_HOLD_MS)
        self.apply_upstream()
        self.assertEqual(0, self.received_count())
        self.apply_configuration()
        self.assertTrue(self.state.is_ready)
        self.assertEqual(1, self.received_count())

    def test_a_packet_held_past_its_retransmission_is_dropped(self) -> None:
        self.task._handle_datagram(b"opening")
        self.clock.advance(packet_task.MAX_HOLD_MS + 1)
        self.apply_upstream()
        self.apply_configuration()
        self.assertEqual(0, self.received_count())

    def tries_of_an_opening(self) -> int:
        """Returns how many upstreams get an opening that none answers."""
        second = datagrams.open_socket((LOOPBACK, 0))
        self.addCleanup(second.close)
        self.apply_configuration()
        self.apply_upstream()
        change = data.UpstreamChange(
            builders.upstream("i-2", address=second.getsockname()[:2])
        )
        self.apply_changes(replication_data.Scope.REGISTRY, change)
        # The grace period of the start.
        self.clock.advance(openings.MEMBERSHIP_GRACE_MS)

        async def main() -> int:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.task._run_ticks)
                await anyio.sleep(0.15)
                self.task._handle_datagram(b"opening")
                for _ in range(30):
                    self.clock.advance(packet_task.TICK_INTERVAL_MS)
                    await anyio.sleep(0.015)
                tasks.cancel_scope.cancel()
            first_count = self.received_count()
            self.upstream = second
            return first_count + self.received_count()

        return anyio.run(main)

    def test_a_silent_upstream_costs_an_opening_a_second_try(self) -> None:
        self.assertEqual(2, self.tries_of_an_opening())

    def test_a_leaving_host_takes_no_missing_packet_for_silence(self) -> None:
        """Guards against: the fabric sends the next packet of a flow to
        another host, and this one opens the flow at a second upstream."""
        self.state.leaving.set()
        self.assertEqual(1, self.tries_of_an_opening())

    def test_an_empty_registry_delays_readiness(self) -> None:
        # The host starts when the store is available again, but the upstreams
        # have not registered again yet.
        self.apply_changes(replication_data.Scope.REGISTRY)
        self.apply_configuration()
        self.assertFalse(self.state.is_ready)
        self.apply_upstream()
        self.assertTrue(self.state.is_ready)

    def test_the_host_is_ready_when_the_registry_stays_empty(self) -> None:
        self.apply_changes(replication_data.Scope.REGISTRY)
        self.apply_configuration()
        self.clock.advance(packet_task.EMPTY_REGISTRY_GRACE_MS)
        self.apply_changes(replication_data.Scope.REGISTRY)
        self.assertTrue(self.state.is_ready)

    # Guards against CONFIG and DRAIN: the store may be an older copy.
    def test_the_host_is_ready_when_peers_have_told_what_they_carry(
        self,
    ) -> None:
        self.state.era_by_scope[replication_data.Scope.INTENT] = 2
        self.apply_upstream()
        self.apply_configuration()
        self.assertFalse(self.state.is_ready)
        self.apply_message(messages.PeersAsked(2))
        self.assertTrue(self.state.is_ready)

    def test_the_host_waits_for_peers_for_a_bounded_time(self) -> None:
        self.state.era_by_scope[replication_data.Scope.INTENT] = 2
        self.apply_upstream()
        self.apply_configuration()
        self.clock.advance(startup_exchange.MAX_LONG_WAIT_MS - 1)
        self.apply_upstream()
        self.assertFalse(self.state.is_ready)
        self.clock.advance(1)
        self.apply_upstream()
        self.assertTrue(self.state.is_ready)

    def test_an_opening_packet_after_an_idle_time_fails_over_in_time(
        self,
    ) -> None:
        # The task does not tick while nothing is pending. That time must not be
        # taken for a stall of the process.
        second_upstream = datagrams.open_socket((LOOPBACK, 0))
        self.addCleanup(second_upstream.close)
        address = (LOOPBACK, second_upstream.getsockname()[1])
        self.apply_upstream()
        self.apply_configuration()
        upstream = builders.upstream("i-2", address=address)
        self.apply_changes(
            replication_data.Scope.REGISTRY, data.UpstreamChange(upstream)
        )
        self.task._steering.record_membership_change(
            -openings.MEMBERSHIP_GRACE_MS
        )
        self.clock.advance(10_000)
        self.task._handle_datagram(b"opening")
        self.clock.advance(answer_timeout.MIN_TIMEOUT_MS)
        actions = self.task._steering.tick(self.clock.now_ms())
        self.assertEqual(1, len(actions))

    def test_an_upstream_that_fails_elsewhere_is_ejected(self) -> None:
        self.apply_upstream()
        self.apply_configuration()
        for name in ("i-2", "i-3"):
            self.apply_changes(
                replication_data.Scope.REGISTRY,
                data.UpstreamChange(builders.upstream(name)),
            )
        failing = outcome_builders.evidence(*[(0, 2)] * 4)
        reports = messages.PeerReports(
            {}, {}, 5, False, {tags.tag_of("i-1"): failing}, None
        )

        async def judge() -> None:
            await self.changes.send(reports)
            with anyio.move_on_after(0.05):
                await self.task._apply_messages()

        for expected in (0, 1):
            anyio.run(judge)
            self.assertEqual(expected, self.state.counts["upstream_ejected"])
            self.clock.advance(outlier_ejection.SETTLING_MS)

    def test_unreadable_packets_are_counted(self) -> None:
        self.task._handle_datagram(b"noise")
        self.assertEqual(1, self.state.counts["unreadable_packets"])
