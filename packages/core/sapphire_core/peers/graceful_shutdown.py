"""How a host that was told to stop leaves its data centre.

The fabric routes to the hosts that say they are ready. While fewer than half
of a data centre's hosts do, it routes to all of them, also to those whose
process is down. When hosts are restarted in turn faster than one of them
comes back, a host therefore stays in rotation until the one before it is back,
as far as its time to stop allows.
"""

import dataclasses
import enum

# The fabric asks for readiness twice a second and leaves a host after two
# misses; packets on their way take the rest.
LEAVE_MS = 1_200
# Without packets for this long the fabric has left the host.
QUIET_MS = 400
# What is left of the time to stop for ending the tasks.
EXIT_RESERVE_MS = 2_000


class Stage(enum.Enum):
    """How far a host has left."""

    IN_ROTATION = "in_rotation"
    LEAVING = "leaving"
    LEFT = "left"


@dataclasses.dataclass(slots=True)
class GracefulShutdown:
    """The way out of one host.

    Attributes:
        requested_ms: When it was told to stop.
        shutdown_ms: How long after that it is killed.
        withdrawn_ms: When it left the rotation; None before.
    """

    requested_ms: int
    shutdown_ms: int
    withdrawn_ms: int | None = None

    def step(
        self, now_ms: int, last_packet_ms: int, *, is_near_host_away: bool
    ) -> Stage:
        """Decides how far the host leaves; to be called every 100 ms or so.

        Args:
            now_ms: The current time.
            last_packet_ms: When the fabric last sent it a packet.
            is_near_host_away: Whether another host of its data centre is
                leaving or about to come back.
        """
        last_ms = self.requested_ms + self.shutdown_ms - EXIT_RESERVE_MS
        if self.withdrawn_ms is None:
            stay_until_ms = last_ms - LEAVE_MS - QUIET_MS
            if is_near_host_away and now_ms < stay_until_ms:
                return Stage.IN_ROTATION
            self.withdrawn_ms = now_ms
        if now_ms >= last_ms:
            return Stage.LEFT
        if now_ms - self.withdrawn_ms < LEAVE_MS:
            return Stage.LEAVING
        if now_ms - last_packet_ms < QUIET_MS:
            return Stage.LEAVING
        return Stage.LEFT
