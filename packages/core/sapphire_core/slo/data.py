"""Immutable records of service-level counts and burn."""

from collections.abc import Mapping
import dataclasses
import enum

MS_PER_MINUTE = 60_000
MS_PER_HOUR = 3_600_000
MS_PER_DAY = 86_400_000


class Objective(enum.StrEnum):
    """The objectives of a service; the values are fields of `Objectives`."""

    FLOWS_KEPT = "flows_kept"
    REQUESTS_ANSWERED = "requests_answered"
    MOVE_SERVICE = "move_service"


class AlertLevel(enum.StrEnum):
    """How soon an operator has to act, most urgent first."""

    PAGE_FAST = "page-fast"
    PAGE_SLOW = "page-slow"
    TICKET = "ticket"
    NONE = "none"


@dataclasses.dataclass(frozen=True, slots=True)
class SeriesKey:
    """What a series counts.

    Attributes:
        service: The name of the service.
        objective: The objective.
    """

    service: str
    objective: Objective


@dataclasses.dataclass(frozen=True, slots=True)
class Counts:
    """Events of an interval.

    Attributes:
        good: The number of good events.
        total: The number of events.
    """

    good: int = 0
    total: int = 0

    @property
    def bad(self) -> int:
        """The number of events that were not good."""
        return self.total - self.good

    def __add__(self, other: "Counts") -> "Counts":
        return Counts(self.good + other.good, self.total + other.total)


@dataclasses.dataclass(frozen=True, slots=True)
class Tier:
    """One resolution at which events are counted.

    Attributes:
        width_ms: The width of an interval.
        interval_count: The number of intervals that are kept.
    """

    width_ms: int
    interval_count: int

    @property
    def span_ms(self) -> int:
        """The longest window that the tier always covers."""
        return self.width_ms * (self.interval_count - 1)


# Finest first. The shortest windows need minutes, the longest only quarters of
# a day, so that a series stays small at any rate of events.
TIERS = (
    Tier(width_ms=MS_PER_MINUTE, interval_count=61),
    Tier(width_ms=30 * MS_PER_MINUTE, interval_count=13),
    Tier(width_ms=6 * MS_PER_HOUR, interval_count=13),
)

# The counts of each interval, by the start of it divided by the width.
CountsByIndex = Mapping[int, Counts]


@dataclasses.dataclass(frozen=True, slots=True)
class SeriesCounts:
    """The counts of one series, of one host or merged over hosts.

    Attributes:
        key: What is counted.
        tiers_by_width_ms: The counts at each resolution.
    """

    key: SeriesKey
    tiers_by_width_ms: Mapping[int, CountsByIndex]


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeMark:
    """A configuration change on the axis of time.

    Attributes:
        revision: The revision.
        at_ms: The wall time at which it was first in force on any host.
        author: Who made it; empty where only hosts told of it.
        summary: What it changed, in a line.
    """

    revision: int
    at_ms: int
    author: str = ""
    summary: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class BurnRule:
    """A pair of windows whose burn together raises an alert.

    The long window shows that enough of the budget is gone to matter, the
    short one that it is still burning.

    Attributes:
        level: The level of the alert.
        burn_rate: The rate that both windows have to reach; 1 spends exactly
            the budget.
        long_ms: The length of the long window.
        short_ms: The length of the short window.
    """

    level: AlertLevel
    burn_rate: float
    long_ms: int
    short_ms: int


# Most urgent first; the rates are those of the field's standard alerting.
BURN_RULES = (
    BurnRule(AlertLevel.PAGE_FAST, 14.4, MS_PER_HOUR, 5 * MS_PER_MINUTE),
    BurnRule(AlertLevel.PAGE_SLOW, 6.0, 6 * MS_PER_HOUR, 30 * MS_PER_MINUTE),
    BurnRule(AlertLevel.TICKET, 1.0, 3 * MS_PER_DAY, 6 * MS_PER_HOUR),
)
BUDGET_WINDOW_MS = 3 * MS_PER_DAY


@dataclasses.dataclass(frozen=True, slots=True)
class WindowBurn:
    """The burn within one window that ends now.

    Attributes:
        window_ms: The length of the window.
        counts: The events within it.
        burn_rate: The share of bad events divided by the share that the
            objective allows; None without events.
    """

    window_ms: int
    counts: Counts
    burn_rate: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class Onset:
    """When a series began to be worse, and the changes shortly before.

    Attributes:
        from_ms: The start of the first worse interval.
        until_ms: The end of that interval.
        bad_share_before: The share of bad events before it.
        bad_share_after: The share of bad events from it on.
        suspects: The changes in force within the interval or shortly before,
            the latest first; empty where no change is near.
    """

    from_ms: int
    until_ms: int
    bad_share_before: float
    bad_share_after: float
    suspects: tuple[ChangeMark, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectiveBurn:
    """The state of one objective of one service.

    Attributes:
        key: The service and the objective.
        target: The share of good events that the objective asks for.
        level: The most urgent alert that is raised.
        windows: The burn over each window of the rules, shortest first.
        budget_left: The share of the error budget left over the budget
            window; negative when overspent, None without events.
        has_few_events: Whether the long window of the most urgent rule holds
            too few events for the objective to allow even one bad.
        onset: When it became worse; None where no alert is raised.
    """

    key: SeriesKey
    target: float
    level: AlertLevel
    windows: tuple[WindowBurn, ...]
    budget_left: float | None
    has_few_events: bool
    onset: Onset | None
