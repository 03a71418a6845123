import dataclasses

import testtools

from sapphire_core.peers import graceful_shutdown

SHUTDOWN_MS = 6_000
STEP_MS = 50
# Measured on the users' bench: from an exit to the next start of the process,
# and from that to ready.
RESTART_MS = 700
START_MS = 300
ASK_MS = 500


@dataclasses.dataclass
class Host:
    """A host that is restarted once.

    Attributes:
        told_ms: When it is told to stop.
        way_out: Its way out; None before and after.
        back_ms: When it is ready again; None while it runs.
        misses: How many questions in a row it did not answer with ready.
        is_leaving: Whether it says that it is not ready.
        packet_ms: When it last got a packet.
    """

    told_ms: int
    way_out: graceful_shutdown.GracefulShutdown | None = None
    back_ms: int | None = None
    misses: int = 0
    is_leaving: bool = False
    packet_ms: int = 0

    def is_down(self, now_ms: int) -> bool:
        return self.back_ms is not None and now_ms < self.back_ms

    @property
    def is_in_rotation(self) -> bool:
        return self.misses < 2


class DataCentre:
    """Hosts that are restarted in turn, and the fabric before them.

    Attributes:
        lost: How many packets went to a host whose process was down.
        killed: How many hosts overran their time to stop.
    """

    def __init__(
        self, hosts: int, interval_ms: int, *, is_told: bool = True
    ) -> None:
        self._is_told = is_told
        self.hosts = [Host(index * interval_ms) for index in range(hosts)]
        self.lost = 0
        self.killed = 0

    def run(self) -> None:
        last_ms = self.hosts[-1].told_ms + SHUTDOWN_MS + RESTART_MS + START_MS
        for now_ms in range(0, last_ms + ASK_MS, STEP_MS):
            for host in self.hosts:
                self._step(host, now_ms)
            for index, host in enumerate(self.hosts):
                if (now_ms + index * 150) % ASK_MS == 0:
                    is_ready = not host.is_leaving and not host.is_down(now_ms)
                    host.misses = 0 if is_ready else host.misses + 1
            self._send(now_ms)

    def _step(self, host: Host, now_ms: int) -> None:
        if now_ms == host.told_ms:
            host.way_out = graceful_shutdown.GracefulShutdown(
                now_ms, SHUTDOWN_MS
            )
        if host.way_out is None:
            return
        is_away = self._is_told and any(
            other is not host and (other.is_leaving or other.is_down(now_ms))
            for other in self.hosts
        )
        stage = host.way_out.step(
            now_ms, host.packet_ms, is_near_host_away=is_away
        )
        host.is_leaving = stage is graceful_shutdown.Stage.LEAVING
        if stage is graceful_shutdown.Stage.LEFT:
            self.killed += now_ms > host.told_ms + SHUTDOWN_MS
            host.way_out = None
            host.back_ms = now_ms + RESTART_MS + START_MS

    def _send(self, now_ms: int) -> None:
        rotation = [host for host in self.hosts if host.is_in_rotation]
        if len(rotation) * 2 < len(self.hosts):
            rotation = self.hosts
        for host in rotation:
            host.packet_ms = now_ms
            self.lost += host.is_down(now_ms)


class RollingRestartTest(testtools.TestCase):
    """Pattern: hosts of a data centre are restarted faster than they return."""

    def lost(self, hosts: int, interval_ms: int, *, is_told: bool) -> int:
        data_centre = DataCentre(hosts, interval_ms, is_told=is_told)
        data_centre.run()
        self.assertEqual(0, data_centre.killed)
        return data_centre.lost

    def test_nothing_is_lost_at_the_pace_of_the_platform(self) -> None:
        # Seen on the bench: 1.2 s and 1.7 s from one stop to the next.
        for hosts in (2, 3, 5):
            for interval_ms in (1_200, 1_700, 2_500, 5_000):
                lost = self.lost(hosts, interval_ms, is_told=True)
                self.assertEqual(0, lost, f"{hosts} hosts, {interval_ms} ms")

    def test_less_is_lost_at_twice_that_pace(self) -> None:
        told = self.lost(3, 600, is_told=True)
        self.assertLess(told, self.lost(3, 600, is_told=False))

    def test_the_pattern_loses_packets_if_hosts_do_not_hear_of_it(
        self,
    ) -> None:
        self.assertGreater(self.lost(3, 1_200, is_told=False), 0)

    def test_hosts_that_are_stopped_together_are_not_killed(self) -> None:
        data_centre = DataCentre(3, 0)
        data_centre.run()
        self.assertEqual(0, data_centre.killed)


class GracefulShutdownTest(testtools.TestCase):
    def step(
        self,
        way_out: graceful_shutdown.GracefulShutdown,
        now_ms: int,
        **changes: int,
    ) -> graceful_shutdown.Stage:
        last_packet_ms = changes.get("last_packet_ms", now_ms)
        return way_out.step(
            now_ms,
            last_packet_ms,
            is_near_host_away=bool(changes.get("is_near_host_away")),
        )

    def test_a_host_without_neighbours_away_leaves_at_once(self) -> None:
        way_out = graceful_shutdown.GracefulShutdown(1_000, SHUTDOWN_MS)
        self.assertEqual(
            graceful_shutdown.Stage.LEAVING, self.step(way_out, 1_000)
        )

    def test_a_host_stays_while_packets_come(self) -> None:
        way_out = graceful_shutdown.GracefulShutdown(0, SHUTDOWN_MS)
        self.step(way_out, 0)
        self.assertEqual(
            graceful_shutdown.Stage.LEAVING, self.step(way_out, 3_000)
        )
        stage = self.step(way_out, 3_100, last_packet_ms=2_700)
        self.assertEqual(graceful_shutdown.Stage.LEFT, stage)

    def test_a_host_ends_in_time_though_packets_come(self) -> None:
        way_out = graceful_shutdown.GracefulShutdown(0, SHUTDOWN_MS)
        self.step(way_out, 0)
        last_ms = SHUTDOWN_MS - graceful_shutdown.EXIT_RESERVE_MS
        self.assertEqual(
            graceful_shutdown.Stage.LEFT, self.step(way_out, last_ms)
        )

    def test_a_host_does_not_wait_for_ever_for_a_neighbour(self) -> None:
        way_out = graceful_shutdown.GracefulShutdown(0, SHUTDOWN_MS)
        self.assertEqual(
            graceful_shutdown.Stage.IN_ROTATION,
            self.step(way_out, 0, is_near_host_away=1),
        )
        self.assertEqual(
            graceful_shutdown.Stage.LEAVING,
            self.step(way_out, 2_400, is_near_host_away=1),
        )
