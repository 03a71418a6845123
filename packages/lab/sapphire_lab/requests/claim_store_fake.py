"""An in-memory claim store with faults."""

import collections
import dataclasses
import enum

import expression

from sapphire_core.requests import data
from sapphire_core.requests import failures


class StoreFault(enum.Enum):
    """What becomes of one store call."""

    NONE = "none"
    LOST_BEFORE = "lost-before"
    LOST_AFTER = "lost-after"
    DELAYED = "delayed"


@dataclasses.dataclass(slots=True)
class FakeClaimStore:
    """Claims kept in a dictionary.

    Attributes:
        nonces_by_key: The claims held.
        faults: The faults of the next calls, in order.
        default_fault: The fault of calls beyond those.
        calls: The calls made.
        delayed: Batches that failed at their caller and take effect later.
    """

    nonces_by_key: dict[str, str] = dataclasses.field(default_factory=dict)
    faults: collections.deque[StoreFault] = dataclasses.field(
        default_factory=collections.deque
    )
    default_fault: StoreFault = StoreFault.NONE
    calls: int = 0
    delayed: list[data.ClaimBatch] = dataclasses.field(default_factory=list)

    def apply_now(self, batch: data.ClaimBatch) -> data.ClaimsApplied:
        """Applies a batch without faults."""
        for claim in batch.releases:
            if self.nonces_by_key.get(claim.key) == claim.nonce:
                del self.nonces_by_key[claim.key]
        held = {}
        for claim in batch.creates:
            nonce = self.nonces_by_key.setdefault(claim.key, claim.nonce)
            held[claim.key] = nonce
        return data.ClaimsApplied(batch.batch_id, held)

    def call(
        self, batch: data.ClaimBatch
    ) -> data.ClaimsApplied | data.ClaimsFailed:
        """Makes one call with the next fault."""
        self.calls += 1
        fault = self.default_fault
        if self.faults:
            fault = self.faults.popleft()
        if fault is StoreFault.NONE:
            return self.apply_now(batch)
        if fault is StoreFault.LOST_AFTER:
            self.apply_now(batch)
        if fault is StoreFault.DELAYED:
            self.delayed.append(batch)
        return data.ClaimsFailed(batch.batch_id)

    def apply_delayed(self) -> None:
        """Lets the delayed batches take effect."""
        for batch in self.delayed:
            self.apply_now(batch)
        self.delayed.clear()

    async def apply(
        self, batch: data.ClaimBatch
    ) -> expression.Result[data.ClaimsApplied, failures.ClaimFailure]:
        """Makes one call, as `claims.ClaimStore` states."""
        result = self.call(batch)
        if isinstance(result, data.ClaimsFailed):
            return expression.Error(failures.ClaimFailure("fault"))
        return expression.Ok(result)
