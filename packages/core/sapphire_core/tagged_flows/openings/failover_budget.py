"""Limits second tries: opening packets sent to another upstream unasked.

A host fails over before the caller has retransmitted, so that a dead upstream
costs its callers milliseconds. A second try of an upstream that is merely slow
costs a connection, and both upstreams may answer. It also doubles the load of a
service at the moment when all of its upstreams answer slowly. Tries that a
caller's retransmission asks for are not limited.

Each service has a token bucket: openings fill it, second tries take from it.
While most upstreams are silent at a time, the cause is overload or the path of
this host rather than an upstream, and there are no second tries at all.
"""

import dataclasses
import enum

# One opening in five may be tried again: as many as fail when a fifth of the
# upstreams has crashed and none is known to be silent yet.
EARNED_PER_OPENING = 0.2
# A host finds each dead upstream with one opening, and a data centre may lose a
# rack of ten at once.
MAX_TOKENS = 10.0
# Two upstreams may crash at the same time by chance; three silent ones that
# outnumber those that answer have something in common.
MIN_SILENT = 3
# For how long the last outcome at an upstream counts: longer than the longest
# timeout of an opening packet (150 ms) at a host that sees a few openings a
# second.
OUTCOME_TTL_MS = 500
# Outcomes of more upstreams than this are not needed for a majority.
MAX_OUTCOMES = 200


class Refusal(enum.StrEnum):
    """Why there is no second try; the value is a field of logs.

    Attributes:
        MANY_SILENT: Most upstreams that got an opening lately are silent.
        BUDGET_SPENT: The service has no token left.
    """

    MANY_SILENT = "many_silent"
    BUDGET_SPENT = "budget_spent"


@dataclasses.dataclass(frozen=True, slots=True)
class _Outcome:
    """What became of the last opening packet at an upstream.

    Attributes:
        at_ms: When it was answered or timed out.
        is_silent: Whether it timed out.
    """

    at_ms: int
    is_silent: bool


class FailoverBudget:
    """The second tries that this host may make."""

    def __init__(self) -> None:
        self._tokens_by_service: dict[str, float] = {}
        # The least recent outcome first.
        self._outcomes_by_id: dict[str, _Outcome] = {}

    def record_opening(self, service: str) -> None:
        """Records that a first opening packet was sent to a service."""
        tokens = self._tokens_by_service.get(service, MAX_TOKENS)
        self._tokens_by_service[service] = min(
            MAX_TOKENS, tokens + EARNED_PER_OPENING
        )

    def record_outcome(
        self, upstream_id: str, now_ms: int, *, is_silent: bool
    ) -> None:
        """Records what became of an opening packet.

        Args:
            upstream_id: The identity of the upstream that got it.
            now_ms: The current time.
            is_silent: Whether it timed out; otherwise it was answered.
        """
        self._outcomes_by_id.pop(upstream_id, None)
        self._outcomes_by_id[upstream_id] = _Outcome(now_ms, is_silent)
        if len(self._outcomes_by_id) > MAX_OUTCOMES:
            del self._outcomes_by_id[next(iter(self._outcomes_by_id))]

    def take(self, service: str, now_ms: int) -> Refusal | None:
        """Takes a token for a second try.

        Args:
            service: The service of the flow.
            now_ms: The current time.

        Returns:
            Why there is to be no second try, None if there may be one.
        """
        if self._are_most_silent(now_ms):
            return Refusal.MANY_SILENT
        tokens = self._tokens_by_service.get(service, MAX_TOKENS)
        if tokens < 1:
            return Refusal.BUDGET_SPENT
        self._tokens_by_service[service] = tokens - 1
        return None

    def count_outcomes(self, now_ms: int, window_ms: int) -> tuple[int, int]:
        """Returns how many upstreams are silent and how many answer.

        Args:
            now_ms: The current time.
            window_ms: For how long the last outcome at an upstream counts.
        """
        silent = 0
        answering = 0
        for outcome in reversed(self._outcomes_by_id.values()):
            if now_ms - outcome.at_ms > window_ms:
                break
            if outcome.is_silent:
                silent += 1
            else:
                answering += 1
        return silent, answering

    def _are_most_silent(self, now_ms: int) -> bool:
        """Whether more upstreams are silent than answer."""
        silent, answering = self.count_outcomes(now_ms, OUTCOME_TTL_MS)
        return silent >= MIN_SILENT and silent > answering
