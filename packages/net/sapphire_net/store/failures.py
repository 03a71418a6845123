"""Typed failures of the store client."""

import dataclasses

from sapphire_data import failures


@dataclasses.dataclass(frozen=True, slots=True)
class StoreFailure(failures.Failure):
    """The base class of all failures of a call to the store.

    Attributes:
        problem: What the transport or the store reported.
    """

    problem: str


@dataclasses.dataclass(frozen=True, slots=True)
class StoreUnavailable(StoreFailure):
    """The call had no effect: a read, or a write that was never sent.

    `publication.publish` also returns it if none of its attempts took effect.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class StoreOutcomeUnknown(StoreFailure):
    """A write was sent and got no valid response; it may take effect or not."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoreThrottled(StoreFailure):
    """The store refused the call by its rate limit; it had no effect."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoreRejected(StoreFailure):
    """The store rejected the request itself; it had no effect.

    Attributes:
        status: The HTTP status.
    """

    status: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoreAnswerInvalid(StoreFailure):
    """The response to a read does not follow the protocol."""


@dataclasses.dataclass(frozen=True, slots=True)
class WatchCompacted(StoreFailure):
    """A watch asked for a store revision that the store has compacted."""


@dataclasses.dataclass(frozen=True, slots=True)
class WatchEnded(StoreFailure):
    """The store or the transport ended a watch."""
