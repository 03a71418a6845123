"""Claims of request ids, stored as keys of the key-value store.

A batch is one transaction in the usual case, in which no id was seen before.
If an id is already claimed, the transaction returns the holder, and a second
one claims the other ids. Claims are attached to a lease that is never renewed
and does not depend on the host that made them. So a claim outlives its host,
and the store deletes it after the retention time.
"""

from collections.abc import Mapping

import expression

from sapphire_core.requests import data as request_data
from sapphire_core.requests import failures as request_failures
from sapphire_data import clock
from sapphire_net.store import data
from sapphire_net.store import environment as environments

RETENTION_MS = 3_600_000
# How long new claims are attached to the same lease. A claim may stay for as
# long after its retention time.
LEASE_REUSE_MS = 600_000
MAX_ATTEMPTS = 4

_ABSENT_REVISION = 0
# No key has this revision: revisions are positive, and 0 stands for an absent
# key.
_IMPOSSIBLE_REVISION = -1


class KeyValueClaimStore:
    """Applies batches of claims to the store of an environment.

    It implements `sapphire_core.requests.claims.ClaimStore`.
    """

    def __init__(
        self, environment: environments.Environment, time: clock.Clock
    ) -> None:
        """Creates a client that holds no lease yet.

        Args:
            environment: The store and its keys.
            time: The clock.
        """
        self._environment = environment
        self._time = time
        self._lease_id = 0
        self._lease_until_ms = 0

    async def apply(
        self, batch: request_data.ClaimBatch
    ) -> expression.Result[
        request_data.ClaimsApplied, request_failures.ClaimFailure
    ]:
        """Applies each create and release of a batch.

        Args:
            batch: The claims.

        Returns:
            The nonce that each key to be created holds after the call, or why
            the outcome is not known.
        """
        lease = await self._current_lease()
        if lease.is_error():
            return expression.Error(lease.error)
        keys = [claim.key for claim in (*batch.creates, *batch.releases)]
        read = await self._read_releases(batch)
        if read.is_error():
            return expression.Error(read.error)
        known_claims = read.ok
        for _ in range(MAX_ATTEMPTS):
            compares, writes = self._transaction(batch, known_claims, lease.ok)
            response = await self._environment.store.transact(
                compares, writes, [self._key(key) for key in keys]
            )
            if response.is_error():
                # The lease may have expired in the store, so the next call
                # requests another one.
                self._lease_until_ms = 0
                return expression.Error(
                    request_failures.ClaimFailure(str(response.error))
                )
            if response.ok.succeeded:
                return expression.Ok(_claims_applied(batch, known_claims))
            known_claims = self._by_claim_key(response.ok.items)
        return expression.Error(
            request_failures.ClaimFailure(
                f"conflicting writes in {MAX_ATTEMPTS} attempts"
            )
        )

    def _transaction(
        self,
        batch: request_data.ClaimBatch,
        known_claims: Mapping[str, data.KeyValue],
        lease_id: int,
    ) -> tuple[list[data.Compare], list[data.Put | data.Delete]]:
        """Returns the conditions and writes of a batch.

        Args:
            batch: The claims to create and to release.
            known_claims: The stored claims, by the key of the claim, as they
                were last read.
            lease_id: The lease to attach new claims to.

        Returns:
            The conditions and the writes. The key of a claim that somebody
            holds is among the conditions too: its claim must still exist when
            the others take effect, or the result would name a holder that has
            released the id meanwhile.
        """
        compares: list[data.Compare] = []
        writes: list[data.Put | data.Delete] = []
        for claim in batch.creates:
            key = self._key(claim.key)
            held = known_claims.get(claim.key)
            if held is not None:
                compares.append(data.Compare(key, held.mod_revision))
                continue
            compares.append(data.Compare(key, _ABSENT_REVISION))
            writes.append(data.Put(key, claim.nonce.encode(), lease_id))
        for claim in batch.releases:
            key = self._key(claim.key)
            held = known_claims.get(claim.key)
            if held is None or held.value != claim.nonce.encode():
                continue
            compares.append(data.Compare(key, held.mod_revision))
            writes.append(data.Delete(key))
        return compares, writes

    async def _read_releases(
        self, batch: request_data.ClaimBatch
    ) -> expression.Result[
        dict[str, data.KeyValue], request_failures.ClaimFailure
    ]:
        """Reads the stored claims that the batch releases, if any.

        A transaction whose condition cannot hold reads all keys in one call.
        """
        if not batch.releases:
            return expression.Ok({})
        never_holds = data.Compare(
            self._environment.head_key, _IMPOSSIBLE_REVISION
        )
        keys = [self._key(claim.key) for claim in batch.releases]
        response = await self._environment.store.transact(
            [never_holds], [], keys
        )
        if response.is_error():
            return expression.Error(
                request_failures.ClaimFailure(str(response.error))
            )
        return expression.Ok(self._by_claim_key(response.ok.items))

    async def _current_lease(
        self,
    ) -> expression.Result[int, request_failures.ClaimFailure]:
        """Returns the lease for new claims.

        It is valid for at least the retention time of a claim made now.
        """
        now_ms = self._time.now_ms()
        if now_ms < self._lease_until_ms:
            return expression.Ok(self._lease_id)
        granted = await self._environment.store.grant_lease(
            RETENTION_MS + LEASE_REUSE_MS
        )
        if granted.is_error():
            return expression.Error(
                request_failures.ClaimFailure(str(granted.error))
            )
        self._lease_id = granted.ok.lease_id
        self._lease_until_ms = now_ms + LEASE_REUSE_MS
        return expression.Ok(self._lease_id)

    def _by_claim_key(
        self, items: tuple[data.KeyValue, ...]
    ) -> dict[str, data.KeyValue]:
        """Returns the stored claims by the key of the claim."""
        prefix = self._environment.claims_prefix
        return {item.key.removeprefix(prefix): item for item in items}

    def _key(self, claim_key: str) -> str:
        """Returns the key that a claim has in the store."""
        return f"{self._environment.claims_prefix}{claim_key}"


def _claims_applied(
    batch: request_data.ClaimBatch, known_claims: Mapping[str, data.KeyValue]
) -> request_data.ClaimsApplied:
    """Returns the holder of each key after a transaction took effect."""
    nonces_by_key: dict[str, str] = {}
    for claim in batch.creates:
        held = known_claims.get(claim.key)
        if held is None:
            nonces_by_key[claim.key] = claim.nonce
            continue
        nonces_by_key[claim.key] = held.value.decode("utf-8", "replace")
    return request_data.ClaimsApplied(batch.batch_id, nonces_by_key)
