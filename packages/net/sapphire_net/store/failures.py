"""Typed failures of the store's client."""

import dataclasses

from sapphire_data import failures


@dataclasses.dataclass(frozen=True, slots=True)
class StoreFailure(failures.Failure):
    """The base of each failure of a call to the store.

    Attributes:
        problem: What the transport or the store reported.
    """

    problem: str


@dataclasses.dataclass(frozen=True, slots=True)
class StoreUnavailable(StoreFailure):
    """The call had no effect: a read, or a write that was never sent."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoreOutcomeUnknown(StoreFailure):
    """A write was sent and its answer lost; it may or may not take effect."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoreThrottled(StoreFailure):
    """The store refused the call because of its rate; it had no effect."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoreRejected(StoreFailure):
    """The store refused the call for what it asks; it had no effect.

    Attributes:
        status: The HTTP status.
    """

    status: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoreAnswerInvalid(StoreFailure):
    """The answer to a read does not follow the protocol."""


@dataclasses.dataclass(frozen=True, slots=True)
class WatchCompacted(StoreFailure):
    """A watch asked for a store revision that is no longer kept."""


@dataclasses.dataclass(frozen=True, slots=True)
class WatchEnded(StoreFailure):
    """The store or the transport ended a watch."""
