"""How much longer than usual packets take on the way.

An upstream answers an opening packet without processing, so the time until its
caller's next packet is that of the way alone: the links of this host, of the
upstream and of the caller, and the time that this host itself needs. The same
way is in each response time that a host observes. On a full link it takes
longer than the processing.
"""

import collections

# An odd number, so that the median is a sample. One caller, or one upstream
# that answers late, does not decide it.
MAX_SAMPLES = 5
# With fewer samples the time is not known.
MIN_SAMPLES = 3
# Queues of links fill and empty within about a second.
MAX_AGE_MS = 2_000


class PathTime:
    """The median of the last answer times at this host, above the shortest."""

    def __init__(self) -> None:
        self._samples: collections.deque[tuple[int, int]] = collections.deque(
            maxlen=MAX_SAMPLES
        )
        self._shortest_ms: int | None = None

    def record(self, answer_ms: int, now_ms: int) -> None:
        """Records an answer to an opening packet.

        Args:
            answer_ms: The time from its first copy to the caller's next packet.
            now_ms: The current time.
        """
        self._samples.append((now_ms, answer_ms))
        if self._shortest_ms is None or answer_ms < self._shortest_ms:
            self._shortest_ms = answer_ms

    def excess_ms(self, now_ms: int) -> int:
        """Returns how much longer the way takes than if nothing waits on it.

        Args:
            now_ms: The current time.

        Returns:
            The excess; 0 if it is not known.
        """
        times_ms = [
            answer_ms
            for at_ms, answer_ms in self._samples
            if now_ms - at_ms <= MAX_AGE_MS
        ]
        if self._shortest_ms is None or len(times_ms) < MIN_SAMPLES:
            return 0
        times_ms.sort()
        return times_ms[(len(times_ms) - 1) // 2] - self._shortest_ms
