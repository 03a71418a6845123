"""Counts of dropped input by the type of the failure."""

import dataclasses

from sapphire_data import failures


@dataclasses.dataclass(slots=True)
class DropCounts:
    """The input that a task dropped; read when metrics are collected.

    Attributes:
        dropped_by_type: Dropped input by the type of its failure.
    """

    dropped_by_type: dict[str, int] = dataclasses.field(default_factory=dict)

    def count_drop(self, failure: failures.Failure) -> None:
        """Counts one dropped input.

        Args:
            failure: Why it was dropped.
        """
        code = failure.code
        self.dropped_by_type[code] = self.dropped_by_type.get(code, 0) + 1
