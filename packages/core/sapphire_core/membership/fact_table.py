"""Table of versioned facts, limited in number and size, with expiry.

Of two values of a fact the one with the higher version is kept.
"""

import dataclasses

import expression
import xxhash

from sapphire_core.membership import data
from sapphire_core.membership import fact_scope
from sapphire_core.membership import failures
from sapphire_core.membership import message_size

MAX_FACTS = 256
MAX_FACT_BYTES = 640


@dataclasses.dataclass(frozen=True, slots=True)
class _StoredFact:
    """A fact and the time at which it expires, or None for never."""

    fact: data.FactEntry
    expires_ms: int | None


class FactTable:
    """The facts that a host knows.

    Attributes:
        digest: The digest of the facts of global scope that do not expire.
        local_digest: The digest of the facts of local scope that do not expire.
    """

    def __init__(self) -> None:
        self.digest = 0
        self.local_digest = 0
        self._stored_by_key: dict[str, _StoredFact] = {}

    def merge(
        self, fact: data.FactEntry, now_ms: int
    ) -> expression.Result[bool, failures.MembershipFailure]:
        """Merges a fact.

        Args:
            fact: The fact.
            now_ms: The time in milliseconds.

        Returns:
            Whether it is new or newer than the stored one, or why it cannot be
            stored.
        """
        failure = self.check(fact)
        if failure is not None:
            return expression.Error(failure)
        stored = self._stored_by_key.get(fact.key)
        if stored is not None and not _is_newer(fact, stored.fact):
            return expression.Ok(False)
        if stored is not None:
            self._toggle_in_digest(stored.fact)
        expires_ms = now_ms + fact.ttl_ms if fact.ttl_ms else None
        self._stored_by_key[fact.key] = _StoredFact(fact, expires_ms)
        self._toggle_in_digest(fact)
        return expression.Ok(True)

    def check(self, fact: data.FactEntry) -> failures.MembershipFailure | None:
        """Returns why a fact cannot be stored, or None.

        Args:
            fact: The fact.
        """
        size = message_size.fact_bytes(fact)
        if size > MAX_FACT_BYTES:
            return failures.FactTooLarge(fact.key, size, MAX_FACT_BYTES)
        is_known = fact.key in self._stored_by_key
        if not is_known and len(self._stored_by_key) >= MAX_FACTS:
            return failures.TooManyFacts(fact.key, MAX_FACTS)
        return None

    def evict_expired(self, now_ms: int) -> None:
        """Evicts the facts whose TTL has expired.

        Args:
            now_ms: The time in milliseconds.
        """
        for key, stored in list(self._stored_by_key.items()):
            if stored.expires_ms is None or stored.expires_ms > now_ms:
                continue
            del self._stored_by_key[key]

    def get(self, key: str, now_ms: int) -> data.FactEntry | None:
        """Returns a fact with its remaining TTL, or None.

        Args:
            key: The name of the fact.
            now_ms: The time in milliseconds.
        """
        stored = self._stored_by_key.get(key)
        if stored is None:
            return None
        if stored.expires_ms is None:
            return stored.fact
        if stored.expires_ms <= now_ms:
            return None
        return dataclasses.replace(
            stored.fact, ttl_ms=stored.expires_ms - now_ms
        )

    def facts(self, now_ms: int) -> list[data.FactEntry]:
        """Returns all facts that have not expired, in order of their keys.

        Args:
            now_ms: The time in milliseconds.
        """
        facts: list[data.FactEntry] = []
        for key in sorted(self._stored_by_key):
            fact = self.get(key, now_ms)
            if fact is not None:
                facts.append(fact)
        return facts

    def _toggle_in_digest(self, fact: data.FactEntry) -> None:
        """Adds a fact to its digest, or removes it if it was added (XOR).

        Facts with a TTL and facts of relay scope are in no digest.
        """
        scope = fact_scope.scope_of(fact.key)
        if fact.ttl_ms or scope is fact_scope.Scope.RELAY:
            return
        digest = xxhash.xxh64()
        digest.update(fact.key.encode())
        digest.update(fact.version.to_bytes(8, "big"))
        digest.update(fact.value)
        if scope is fact_scope.Scope.LOCAL:
            self.local_digest ^= digest.intdigest()
            return
        self.digest ^= digest.intdigest()


def _is_newer(fact: data.FactEntry, known: data.FactEntry) -> bool:
    """Returns whether a fact replaces the known one.

    Two values with the same version are an error of the writers; the greater
    value wins so that all hosts agree.
    """
    if fact.version != known.version:
        return fact.version > known.version
    return fact.value > known.value
