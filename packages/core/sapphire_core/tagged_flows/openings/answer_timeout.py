"""How long an upstream has to answer an opening packet.

The time follows the measured answers like a retransmission timeout of TCP
(RFC 6298): the smoothed time plus four times its mean deviation. An answer that
may belong to an earlier attempt is no sample (Karn's algorithm).
"""

# On the networks of one region an answer takes up to 15 ms, a host that is busy
# apart.
MIN_TIMEOUT_MS = 40
# The caller retransmits its opening packet after 200 ms (the protocol); the
# attempt at another upstream has to be answered before that.
MAX_TIMEOUT_MS = 150
_SMOOTHING = 1 / 8
_DEVIATION_SMOOTHING = 1 / 4
_DEVIATIONS = 4


class AnswerTimeout:
    """The timeout of opening packets, from the answers seen by this host."""

    def __init__(self) -> None:
        self._smoothed_ms: float | None = None
        self._deviation_ms = 0.0

    def record(self, answer_ms: int) -> None:
        """Records how long the answer to a first attempt took.

        Args:
            answer_ms: The time from the opening packet to the caller's next
                packet.
        """
        sample_ms = min(answer_ms, MAX_TIMEOUT_MS)
        if self._smoothed_ms is None:
            self._smoothed_ms = sample_ms
            self._deviation_ms = sample_ms / 2
            return
        error_ms = sample_ms - self._smoothed_ms
        self._deviation_ms += (
            abs(error_ms) - self._deviation_ms
        ) * _DEVIATION_SMOOTHING
        self._smoothed_ms += error_ms * _SMOOTHING

    @property
    def timeout_ms(self) -> int:
        """The timeout; its minimum before the first answer."""
        if self._smoothed_ms is None:
            return MIN_TIMEOUT_MS
        timeout_ms = self._smoothed_ms + _DEVIATIONS * self._deviation_ms
        return int(min(max(timeout_ms, MIN_TIMEOUT_MS), MAX_TIMEOUT_MS))
