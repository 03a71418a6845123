"""An estimate of the time that an upstream takes for a request."""

import dataclasses

MEAN_GAIN = 0.125
DEVIATION_GAIN = 0.25
DEVIATION_FACTOR = 4.0


@dataclasses.dataclass(slots=True)
class LatencyEstimate:
    """Smoothed mean and mean deviation, as in RFC 6298.

    Attributes:
        mean_ms: The smoothed time; 0 before the first sample.
        deviation_ms: The smoothed distance of samples from the mean.
    """

    mean_ms: float = 0.0
    deviation_ms: float = 0.0

    def record(self, sample_ms: int) -> None:
        """Takes in the time of one attempt."""
        if self.mean_ms == 0.0:
            self.mean_ms = float(sample_ms)
            self.deviation_ms = sample_ms / 2
            return
        error_ms = sample_ms - self.mean_ms
        self.deviation_ms += DEVIATION_GAIN * (
            abs(error_ms) - self.deviation_ms
        )
        self.mean_ms += MEAN_GAIN * error_ms

    @property
    def upper_estimate_ms(self) -> int:
        """The time within which most attempts are answered."""
        return round(self.mean_ms + DEVIATION_FACTOR * self.deviation_ms)
