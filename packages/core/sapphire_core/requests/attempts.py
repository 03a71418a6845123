"""The attempts in flight at one host, and the matching of answers to them."""

import collections
import dataclasses
import enum

MAX_ENDED = 10_000


class Mismatch(enum.Enum):
    """Why an answer belongs to no attempt that waits for it."""

    LATE = "late"
    DUPLICATED = "duplicated"
    CROSSED = "crossed"
    FOREIGN = "foreign"


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """An attempt in flight.

    Attributes:
        attempt_id: Its identity.
        serial: The request.
        service: The name of the service.
        upstream: The name of the upstream.
        is_opportunistic: Whether it uses a slot of another host.
        sent_ms: When it was sent.
    """

    attempt_id: str
    serial: int
    service: str
    upstream: str
    is_opportunistic: bool
    sent_ms: int


@dataclasses.dataclass(slots=True)
class AttemptTable:
    """The attempts in flight, and the identities of recent ones.

    Attributes:
        by_id: The attempts in flight.
        ended_by_id: Recent attempts, with whether an answer ended them.
    """

    by_id: dict[str, Attempt] = dataclasses.field(default_factory=dict)
    ended_by_id: collections.OrderedDict[str, bool] = dataclasses.field(
        default_factory=collections.OrderedDict
    )

    def add(self, attempt: Attempt) -> None:
        """Adds an attempt."""
        self.by_id[attempt.attempt_id] = attempt

    def end(self, attempt_id: str, *, is_answered: bool) -> Attempt | None:
        """Ends an attempt.

        Args:
            attempt_id: The attempt.
            is_answered: Whether its answer arrived.

        Returns:
            The attempt, or None if it was not in flight.
        """
        attempt = self.by_id.pop(attempt_id, None)
        if attempt is None:
            return None
        self.ended_by_id[attempt_id] = is_answered
        if len(self.ended_by_id) > MAX_ENDED:
            self.ended_by_id.popitem(last=False)
        return attempt

    def match(
        self, attempt_id: str, echoed_id: str | None, *, must_echo: bool
    ) -> Mismatch | None:
        """Checks that an answer belongs to the attempt that waits for it.

        Args:
            attempt_id: The attempt on whose connection the answer arrived.
            echoed_id: The attempt id that the answer names, or None.
            must_echo: Whether the upstream is known to name it.

        Returns:
            None if it belongs, else why not.
        """
        if attempt_id not in self.by_id:
            is_answered = self.ended_by_id.get(attempt_id)
            if is_answered is None:
                return Mismatch.FOREIGN
            return Mismatch.DUPLICATED if is_answered else Mismatch.LATE
        if echoed_id == attempt_id:
            return None
        if echoed_id is None:
            return Mismatch.FOREIGN if must_echo else None
        if echoed_id in self.by_id or echoed_id in self.ended_by_id:
            return Mismatch.CROSSED
        return Mismatch.FOREIGN
