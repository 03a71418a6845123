"""Immutable records of service-level counts and burn rates."""

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
    """Identifies a series of counts.

    Attributes:
        service: The name of the service.
        objective: The objective.
    """

    service: str
    objective: Objective


@dataclasses.dataclass(frozen=True, slots=True)
class Counts:
    """The numbers of events in an interval or a window.

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
        width_ms: The length of an interval.
        interval_count: The number of intervals that are kept.
    """

    width_ms: int
    interval_count: int

    @property
    def span_ms(self) -> int:
        """The longest window that the tier always covers.

        It is an interval less than the tier keeps, since the newest interval
        has not ended yet.
        """
        return self.width_ms * (self.interval_count - 1)


# Finest first. The shortest windows need intervals of a minute, the longest
# only intervals of six hours, so that a series stays small at any event rate.
TIERS = (
    Tier(width_ms=MS_PER_MINUTE, interval_count=61),
    Tier(width_ms=30 * MS_PER_MINUTE, interval_count=13),
    Tier(width_ms=6 * MS_PER_HOUR, interval_count=13),
)

# Counts by interval index: the start of the interval divided by its width.
CountsByIndex = Mapping[int, Counts]


@dataclasses.dataclass(frozen=True, slots=True)
class SeriesCounts:
    """The counts of one series, of one host or merged over hosts.

    Attributes:
        key: The service and the objective.
        tiers_by_width_ms: The counts of each tier, by the width of its
            intervals.
    """

    key: SeriesKey
    tiers_by_width_ms: Mapping[int, CountsByIndex]


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeMark:
    """A configuration change and when it came into force.

    Attributes:
        revision: The revision that the change made.
        at_ms: The wall time at which a host put it in force or the history
            recorded it; the earliest one when marks are merged.
        author: Who made the change; empty if it is known only from hosts.
        summary: What was changed, in a line; empty if it is known only from
            hosts.
    """

    revision: int
    at_ms: int
    author: str = ""
    summary: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class BurnRule:
    """A pair of windows whose burn rates together raise an alert.

    The long window shows that a significant part of the budget is spent, the
    short one that it is still being spent.

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


# Most urgent first. Burn rates and windows are those commonly used for
# multi-window, multi-burn-rate alerts.
BURN_RULES = (
    BurnRule(AlertLevel.PAGE_FAST, 14.4, MS_PER_HOUR, 5 * MS_PER_MINUTE),
    BurnRule(AlertLevel.PAGE_SLOW, 6.0, 6 * MS_PER_HOUR, 30 * MS_PER_MINUTE),
    BurnRule(AlertLevel.TICKET, 1.0, 3 * MS_PER_DAY, 6 * MS_PER_HOUR),
)
BUDGET_WINDOW_MS = 3 * MS_PER_DAY


@dataclasses.dataclass(frozen=True, slots=True)
class WindowBurn:
    """The burn rate over one window that ends now.

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
    """When the share of bad events rose, and the changes near that moment.

    Attributes:
        from_ms: The start of the first interval with the higher share.
        until_ms: The end of that interval.
        bad_share_before: The share of bad events before that interval.
        bad_share_after: The share of bad events from that interval on.
        suspects: The changes that came into force within that interval or
            shortly before it, the latest first; empty if there are none.
    """

    from_ms: int
    until_ms: int
    bad_share_before: float
    bad_share_after: float
    suspects: tuple[ChangeMark, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectiveBurn:
    """The evaluation of one objective of one service.

    Attributes:
        key: The service and the objective.
        target: The share of good events that the objective asks for.
        level: The most urgent alert that is raised.
        windows: The burn rate over each window of the rules, shortest first.
        budget_left: The share of the error budget left over the budget
            window; negative when overspent, None without events.
        has_few_events: Whether the long window of the most urgent rule holds
            so few events that the objective allows less than one bad event.
        onset: When the series became worse; None if no alert is raised or no
            moment was found.
    """

    key: SeriesKey
    target: float
    level: AlertLevel
    windows: tuple[WindowBurn, ...]
    budget_left: float | None
    has_few_events: bool
    onset: Onset | None
