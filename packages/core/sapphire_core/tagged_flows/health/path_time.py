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
        # As of the last sample.
        self._excess_ms = 0

    def record(self, answer_ms: int, now_ms: int) -> None:
        """Records an answer to an opening packet.

        Args:
            answer_ms: The time from its first copy to the caller's next packet.
            now_ms: The current time.
        """
        samples = self._samples
        samples.append((now_ms, answer_ms))
        while now_ms - samples[0][0] > MAX_AGE_MS:
            samples.popleft()
        if self._shortest_ms is None or answer_ms < self._shortest_ms:
            self._shortest_ms = answer_ms
        self._excess_ms = 0
        if len(samples) >= MIN_SAMPLES:
            times_ms = sorted(each_ms for _, each_ms in samples)
            median_ms = times_ms[(len(times_ms) - 1) // 2]
            self._excess_ms = median_ms - self._shortest_ms

    def excess_ms(self, now_ms: int) -> int:
        """Returns how much longer the way takes than if nothing waits on it.

        Args:
            now_ms: The current time.

        Returns:
            The excess; 0 if it is not known.
        """
        if not self._samples or now_ms - self._samples[-1][0] > MAX_AGE_MS:
            return 0
        return self._excess_ms
