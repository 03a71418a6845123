"""Graceful shutdown of an entry host.

The fabric sends packets to the hosts whose readiness checks pass. While fewer
than half of a data centre's hosts are ready, it sends packets to all of them,
also to those whose process is down. In a rolling restart that stops the next
host before the previous one is ready again, a host therefore stays in rotation
until the previous one is back, as far as its shutdown timeout allows.
"""

import dataclasses
import enum

# The fabric checks readiness twice a second and takes a host out of rotation
# after two failed checks; the rest is for packets in flight.
MIN_LEAVING_MS = 1_200
# After this time without packets, the fabric has taken the host out of
# rotation.
QUIET_MS = 400
# The end of the shutdown timeout, reserved for ending the tasks.
EXIT_RESERVE_MS = 2_000


class Stage(enum.Enum):
    """The progress of a graceful shutdown.

    Attributes:
        IN_ROTATION: The host still reports that it is ready.
        LEAVING: The host reports that it is not ready, and still forwards
            the packets that it gets.
        LEFT: The host may end its process.
    """

    IN_ROTATION = "in_rotation"
    LEAVING = "leaving"
    LEFT = "left"


@dataclasses.dataclass(slots=True)
class GracefulShutdown:
    """Decides when a host leaves the rotation and when its process may end.

    Attributes:
        requested_ms: When the stop was requested.
        shutdown_ms: The shutdown timeout: how long after the request the
            process is killed.
        leaving_since_ms: When the host began to leave; None before.
    """

    requested_ms: int
    shutdown_ms: int
    leaving_since_ms: int | None = None

    def step(
        self, now_ms: int, last_packet_ms: int, *, is_near_host_away: bool
    ) -> Stage:
        """Returns the stage at this time; to be called every 100 ms or so.

        Args:
            now_ms: The current time.
            last_packet_ms: When the host last got a packet from the fabric.
            is_near_host_away: Whether another host of the same data centre is
                leaving or about to come back.
        """
        last_ms = self.requested_ms + self.shutdown_ms - EXIT_RESERVE_MS
        if self.leaving_since_ms is None:
            stay_until_ms = last_ms - MIN_LEAVING_MS - QUIET_MS
            if is_near_host_away and now_ms < stay_until_ms:
                return Stage.IN_ROTATION
            self.leaving_since_ms = now_ms
        if now_ms >= last_ms:
            return Stage.LEFT
        if now_ms - self.leaving_since_ms < MIN_LEAVING_MS:
            return Stage.LEAVING
        if now_ms - last_packet_ms < QUIET_MS:
            return Stage.LEAVING
        return Stage.LEFT
