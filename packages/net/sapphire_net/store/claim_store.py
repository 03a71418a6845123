"""Claims of request ids as keys of the platform's store.

A batch is one transaction in the usual case, in which no id was seen before.
If any is held, the transaction tells who holds it and a second one takes the
rest. Claims are bound to a lease of the environment's making, not of the
host's life: it is never renewed, so a claim outlives its host and ends by
itself after the retention time.
"""

from collections.abc import Mapping

import expression

from sapphire_core.requests import data as request_data
from sapphire_core.requests import failures as request_failures
from sapphire_data import clock
from sapphire_net.store import data
from sapphire_net.store import environment as environments

RETENTION_MS = 3_600_000
LEASE_USE_MS = 600_000
MAX_ROUNDS = 4

_ABSENT = 0
# No key has this revision: it is positive, or 0 where the key is absent.
_NEVER = -1


class KeyValueClaimStore:
    """Applies batches of claims to the store of an environment."""

    def __init__(
        self, environment: environments.Environment, time: clock.Clock
    ) -> None:
        """Creates the store of claims.

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
            The nonce that each created key holds after the call, or why the
            effect is not known.
        """
        lease = await self._current_lease()
        if lease.is_error():
            return expression.Error(lease.error)
        keys = [claim.key for claim in (*batch.creates, *batch.releases)]
        read = await self._read_releases(batch)
        if read.is_error():
            return expression.Error(read.error)
        known = read.ok
        for _ in range(MAX_ROUNDS):
            compares, writes = self._operations(batch, known, lease.ok)
            answer = await self._environment.store.transact(
                compares, writes, [self._key(key) for key in keys]
            )
            if answer.is_error():
                # The store may have lost the lease, so the next call asks
                # for another.
                self._lease_until_ms = 0
                return expression.Error(
                    request_failures.ClaimFailure(str(answer.error))
                )
            if answer.ok.succeeded:
                return expression.Ok(_applied(batch, known))
            known = self._by_claim_key(answer.ok.items)
        return expression.Error(
            request_failures.ClaimFailure(f"contended for {MAX_ROUNDS} rounds")
        )

    def _operations(
        self,
        batch: request_data.ClaimBatch,
        known: Mapping[str, data.KeyValue],
        lease_id: int,
    ) -> tuple[list[data.Compare], list[data.Put | data.Delete]]:
        """Returns the transaction that fits what is known of the keys.

        A held key is compared too: its claim must still be there when the
        others take effect, or the answer would name a holder of the past.
        """
        compares: list[data.Compare] = []
        writes: list[data.Put | data.Delete] = []
        for claim in batch.creates:
            key = self._key(claim.key)
            held = known.get(claim.key)
            if held is not None:
                compares.append(data.Compare(key, held.mod_revision))
                continue
            compares.append(data.Compare(key, _ABSENT))
            writes.append(data.Put(key, claim.nonce.encode(), lease_id))
        for claim in batch.releases:
            key = self._key(claim.key)
            held = known.get(claim.key)
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
        """Reads the keys that are to be released, if there are any.

        A transaction whose condition cannot hold reads them in one call.
        """
        if not batch.releases:
            return expression.Ok({})
        never = data.Compare(self._environment.head_key, _NEVER)
        keys = [self._key(claim.key) for claim in batch.releases]
        answer = await self._environment.store.transact([never], [], keys)
        if answer.is_error():
            return expression.Error(
                request_failures.ClaimFailure(str(answer.error))
            )
        return expression.Ok(self._by_claim_key(answer.ok.items))

    async def _current_lease(
        self,
    ) -> expression.Result[int, request_failures.ClaimFailure]:
        """Returns the lease of new claims, which outlives their retention."""
        now_ms = self._time.now_ms()
        if now_ms < self._lease_until_ms:
            return expression.Ok(self._lease_id)
        granted = await self._environment.store.grant_lease(
            RETENTION_MS + LEASE_USE_MS
        )
        if granted.is_error():
            return expression.Error(
                request_failures.ClaimFailure(str(granted.error))
            )
        self._lease_id = granted.ok.lease_id
        self._lease_until_ms = now_ms + LEASE_USE_MS
        return expression.Ok(self._lease_id)

    def _by_claim_key(
        self, items: tuple[data.KeyValue, ...]
    ) -> dict[str, data.KeyValue]:
        """Returns the stored claims by the key of the claim."""
        prefix = self._environment.claims_prefix
        return {item.key.removeprefix(prefix): item for item in items}

    def _key(self, claim_key: str) -> str:
        """Returns the key of a claim in the store."""
        return f"{self._environment.claims_prefix}{claim_key}"


def _applied(
    batch: request_data.ClaimBatch, known: Mapping[str, data.KeyValue]
) -> request_data.ClaimsApplied:
    """Returns who holds each key after a transaction took effect."""
    nonces_by_key: dict[str, str] = {}
    for claim in batch.creates:
        held = known.get(claim.key)
        if held is None:
            nonces_by_key[claim.key] = claim.nonce
            continue
        nonces_by_key[claim.key] = held.value.decode("utf-8", "replace")
    return request_data.ClaimsApplied(batch.batch_id, nonces_by_key)
