"""Keeps claims in the platform's store."""

import expression

from sapphire_core.requests import data as core_data
from sapphire_core.requests import failures as core_failures
from sapphire_data import clock
from sapphire_net.store import data
from sapphire_net.store import failures
from sapphire_net.store import protocol

KEY_PREFIX = "sapphirearch/claims/"
# A repeat of a request id within the retention time does not run again.
RETENTION_MS = 3_600_000
LEASE_USE_MS = 600_000
MAX_REVISIONS = 20_000

Step = expression.Result[None, failures.StoreFailure]


class StoredClaims:
    """Claims as keys that are bound to a lease which nobody renews.

    A batch is one transaction. If one of its conditions fails, its halves are
    tried, so a conflict costs a few calls more.
    """

    def __init__(
        self, store: protocol.Store, service_clock: clock.Clock
    ) -> None:
        self._store = store
        self._clock = service_clock
        self._lease_id = 0
        self._lease_until_ms = 0
        self._revisions_by_claim: dict[core_data.Claim, int] = {}

    async def apply(
        self, batch: core_data.ClaimBatch
    ) -> expression.Result[core_data.ClaimsApplied, core_failures.ClaimFailure]:
        """Creates and releases claims; see `claims.ClaimStore`."""
        nonces_by_key: dict[str, str] = {}
        done = await self._release(batch.releases)
        if done.is_ok() and batch.creates:
            done = await self._ensure_lease()
        if done.is_ok():
            done = await self._create(batch.creates, nonces_by_key)
        if done.is_error():
            reason = done.error.code
            return expression.Error(core_failures.ClaimFailure(reason))
        applied = core_data.ClaimsApplied(batch.batch_id, nonces_by_key)
        return expression.Ok(applied)

    async def _ensure_lease(self) -> Step:
        now_ms = self._clock.now_ms()
        if now_ms < self._lease_until_ms:
            return expression.Ok(None)
        granted = await self._store.grant_lease(RETENTION_MS + LEASE_USE_MS)
        if granted.is_error():
            return expression.Error(granted.error)
        self._lease_id = granted.ok.lease_id
        self._lease_until_ms = now_ms + LEASE_USE_MS
        return expression.Ok(None)

    async def _create(
        self,
        claims: tuple[core_data.Claim, ...],
        nonces_by_key: dict[str, str],
    ) -> Step:
        if not claims:
            return expression.Ok(None)
        answer = await self._store.transact(
            [data.Compare(_store_key(claim), 0) for claim in claims],
            [
                data.Put(
                    _store_key(claim), claim.nonce.encode(), self._lease_id
                )
                for claim in claims
            ],
        )
        if answer.is_error():
            # The lease may be gone, so the next call asks for another.
            self._lease_until_ms = 0
            return expression.Error(answer.error)
        if answer.ok.succeeded:
            for claim in claims:
                nonces_by_key[claim.key] = claim.nonce
                self._remember(claim, answer.ok.store_revision)
            return expression.Ok(None)
        if len(claims) == 1:
            return await self._read_holder(claims[0], nonces_by_key)
        middle = len(claims) // 2
        done = await self._create(claims[:middle], nonces_by_key)
        if done.is_error():
            return done
        return await self._create(claims[middle:], nonces_by_key)

    async def _read_holder(
        self, claim: core_data.Claim, nonces_by_key: dict[str, str]
    ) -> Step:
        found = await self._store.get(_store_key(claim))
        if found.is_error():
            return expression.Error(found.error)
        nonce = ""
        for item in found.ok.items:
            nonce = item.value.decode()
            if nonce == claim.nonce:
                self._remember(claim, item.mod_revision)
        nonces_by_key[claim.key] = nonce
        return expression.Ok(None)

    async def _release(self, claims: tuple[core_data.Claim, ...]) -> Step:
        known = []
        for claim in claims:
            if claim not in self._revisions_by_claim:
                read = await self._read_holder(claim, {})
                if read.is_error():
                    return read
            if claim in self._revisions_by_claim:
                known.append(claim)
        return await self._delete(tuple(known))

    async def _delete(self, claims: tuple[core_data.Claim, ...]) -> Step:
        if not claims:
            return expression.Ok(None)
        answer = await self._store.transact(
            [
                data.Compare(_store_key(claim), self._revisions_by_claim[claim])
                for claim in claims
            ],
            [data.Delete(_store_key(claim)) for claim in claims],
        )
        if answer.is_error():
            return expression.Error(answer.error)
        if answer.ok.succeeded or len(claims) == 1:
            # A single claim that has changed is no longer this host's.
            for claim in claims:
                self._revisions_by_claim.pop(claim, None)
            return expression.Ok(None)
        middle = len(claims) // 2
        done = await self._delete(claims[:middle])
        if done.is_error():
            return done
        return await self._delete(claims[middle:])

    def _remember(self, claim: core_data.Claim, revision: int) -> None:
        self._revisions_by_claim[claim] = revision
        if len(self._revisions_by_claim) > MAX_REVISIONS:
            oldest = next(iter(self._revisions_by_claim))
            del self._revisions_by_claim[oldest]


def _store_key(claim: core_data.Claim) -> str:
    return KEY_PREFIX + claim.key
