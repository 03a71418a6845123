"""Groups claims of request ids into few store calls."""

import collections
import dataclasses
from typing import Protocol

import expression

from sapphire_core.requests import backoff
from sapphire_core.requests import data
from sapphire_core.requests import failures
from sapphire_data import clock

MAX_BATCH = 100
MAX_RELEASES_IN_BATCH = 50
MAX_RELEASES = 10_000
RETRY_BASE_MS = 50
RETRY_MAX_MS = 1_000
FAILURES_UNTIL_DOWN = 2


class ClaimStore(Protocol):
    """The platform's store, as far as claims need it."""

    async def apply(
        self, batch: data.ClaimBatch
    ) -> expression.Result[data.ClaimsApplied, failures.ClaimFailure]:
        """Applies each create and release of a batch in one call.

        A claim stays for the retention time and does not depend on the life
        of its host. The call may be repeated: a create finds its own nonce.

        Args:
            batch: The claims.

        Returns:
            The nonce that each created key holds after the call; or
            ClaimFailure if the call failed, was lost before or after its
            effect, or took too long.
        """


@dataclasses.dataclass(slots=True)
class ClaimBatcher:
    """Collects claims while a call is in flight, one call at a time.

    Attributes:
        calls_per_second: The store calls that this host may make.
        creates_by_key: Claims that wait for a call or its answer.
        in_flight: The batch whose answer is awaited, or None.
        call_count: The store calls made.
        dropped_releases: Releases given up because too many wait. Their ids
            stay claimed until the retention time ends.
    """

    calls_per_second: float
    creates_by_key: dict[str, data.Claim] = dataclasses.field(
        default_factory=dict
    )
    in_flight: data.ClaimBatch | None = None
    call_count: int = 0
    dropped_releases: int = 0
    _releases: collections.deque[data.Claim] = dataclasses.field(
        default_factory=collections.deque
    )
    _sent_keys: set[str] = dataclasses.field(default_factory=set)
    _next_call_ms: int = 0
    _consecutive_failures: int = 0

    def is_down(self, now_ms: int) -> bool:
        """Whether the store failed repeatedly and the next try is not due."""
        if self._consecutive_failures < FAILURES_UNTIL_DOWN:
            return False
        return now_ms < self._next_call_ms

    @property
    def is_idle(self) -> bool:
        """Whether no call is awaited and none is due.

        Releases that cannot be made because the store is down do not count:
        their ids stay claimed until the retention time ends.
        """
        if self.in_flight is not None:
            return False
        return not self._releases or self._consecutive_failures > 0

    def retry_after_ms(self, now_ms: int) -> int:
        """Returns the time until the store is tried again."""
        return max(1, self._next_call_ms - now_ms)

    def create(self, claim: data.Claim) -> bool:
        """Asks for a claim.

        Returns:
            Whether no other arrival at this host waits for the same id.
        """
        if claim.key in self.creates_by_key:
            return False
        self.creates_by_key[claim.key] = claim
        return True

    def withdraw(self, claim: data.Claim) -> None:
        """Gives up a claim that was held or asked for.

        The request must never be sent afterwards.
        """
        if self.creates_by_key.get(claim.key) == claim:
            del self.creates_by_key[claim.key]
            if claim.key not in self._sent_keys:
                return
        self._sent_keys.discard(claim.key)
        if len(self._releases) >= MAX_RELEASES:
            self.dropped_releases += 1
            return
        self._releases.append(claim)

    def poll(self, now_ms: int) -> data.ApplyClaims | None:
        """Returns the next store call if one is due.

        Args:
            now_ms: The time in milliseconds.
        """
        if self.in_flight is not None or now_ms < self._next_call_ms:
            return None
        # The store takes a key once in a call, so a create waits until the
        # release of an earlier claim of its key has been answered.
        released_keys = {claim.key for claim in self._releases}
        count = min(len(self._releases), MAX_RELEASES_IN_BATCH)
        releases = tuple(self._releases.popleft() for _ in range(count))
        waiting = [
            claim
            for claim in self.creates_by_key.values()
            if claim.key not in released_keys
        ]
        creates = tuple(waiting[: MAX_BATCH - count])
        if not creates and not releases:
            return None
        self.call_count += 1
        self._sent_keys.update(claim.key for claim in creates)
        self.in_flight = data.ClaimBatch(self.call_count, creates, releases)
        interval_ms = clock.MS_PER_SECOND / self.calls_per_second
        self._next_call_ms = now_ms + round(interval_ms)
        return data.ApplyClaims(self.in_flight)

    def handle_applied(
        self, event: data.ClaimsApplied
    ) -> tuple[list[data.Claim], list[data.Claim]]:
        """Takes in the store's answer.

        Args:
            event: The answer.

        Returns:
            The claims that are held now, and those that another arrival
            holds. Claims withdrawn meanwhile are in neither.
        """
        batch = self.in_flight
        if batch is None or batch.batch_id != event.batch_id:
            return [], []
        self.in_flight = None
        self._consecutive_failures = 0
        held = []
        lost = []
        for claim in batch.creates:
            if self.creates_by_key.get(claim.key) != claim:
                continue
            del self.creates_by_key[claim.key]
            self._sent_keys.discard(claim.key)
            if event.nonces_by_key.get(claim.key) == claim.nonce:
                held.append(claim)
            else:
                lost.append(claim)
        return held, lost

    def handle_failed(
        self, event: data.ClaimsFailed, now_ms: int
    ) -> list[data.Claim]:
        """Takes in a failed call.

        Args:
            event: The failure.
            now_ms: The time in milliseconds.

        Returns:
            The claims to give up because the store counts as down.
        """
        batch = self.in_flight
        if batch is None or batch.batch_id != event.batch_id:
            return []
        self.in_flight = None
        self._releases.extendleft(reversed(batch.releases))
        self._consecutive_failures += 1
        self._next_call_ms = now_ms + backoff.delay_ms(
            self._consecutive_failures, RETRY_BASE_MS, RETRY_MAX_MS
        )
        if self._consecutive_failures < FAILURES_UNTIL_DOWN:
            return []
        return list(self.creates_by_key.values())

    def next_wakeup_ms(self) -> int | None:
        """Returns when `poll` should be called next, or None."""
        if self.in_flight is not None:
            return None
        if not self.creates_by_key and not self._releases:
            return None
        return self._next_call_ms
