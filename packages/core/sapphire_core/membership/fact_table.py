"""Versioned facts, the last writer by version; bounded and expiring."""

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
class _Held:
    """A fact and the time at which it is forgotten, if any."""

    fact: data.FactEntry
    expires_ms: int | None


class FactTable:
    """The facts that a host knows.

    Attributes:
        digest: The digest of the facts that are for all and do not expire.
        local_digest: The same of those for the own data centre.
    """

    def __init__(self) -> None:
        self.digest = 0
        self.local_digest = 0
        self._held_by_key: dict[str, _Held] = {}

    def merge(
        self, fact: data.FactEntry, now_ms: int
    ) -> expression.Result[bool, failures.MembershipFailure]:
        """Merges a fact.

        Args:
            fact: The fact.
            now_ms: The time in milliseconds.

        Returns:
            Whether it was new here, or why it cannot be held.
        """
        failure = self.check(fact)
        if failure is not None:
            return expression.Error(failure)
        held = self._held_by_key.get(fact.key)
        if held is not None and not _is_newer(fact, held.fact):
            return expression.Ok(False)
        if held is not None:
            self._apply_digest(held.fact)
        expires_ms = now_ms + fact.ttl_ms if fact.ttl_ms else None
        self._held_by_key[fact.key] = _Held(fact, expires_ms)
        self._apply_digest(fact)
        return expression.Ok(True)

    def check(self, fact: data.FactEntry) -> failures.MembershipFailure | None:
        """Returns why a fact cannot be held, or None.

        Args:
            fact: The fact.
        """
        size = message_size.fact_bytes(fact)
        if size > MAX_FACT_BYTES:
            return failures.FactTooLarge(fact.key, size, MAX_FACT_BYTES)
        is_known = fact.key in self._held_by_key
        if not is_known and len(self._held_by_key) >= MAX_FACTS:
            return failures.TooManyFacts(fact.key, MAX_FACTS)
        return None

    def expire(self, now_ms: int) -> None:
        """Forgets the facts whose time is over.

        Args:
            now_ms: The time in milliseconds.
        """
        for key, held in list(self._held_by_key.items()):
            if held.expires_ms is None or held.expires_ms > now_ms:
                continue
            del self._held_by_key[key]

    def get(self, key: str, now_ms: int) -> data.FactEntry | None:
        """Returns a fact with the time that it still has.

        Args:
            key: The name of the fact.
            now_ms: The time in milliseconds.
        """
        held = self._held_by_key.get(key)
        if held is None:
            return None
        if held.expires_ms is None:
            return held.fact
        if held.expires_ms <= now_ms:
            return None
        return dataclasses.replace(held.fact, ttl_ms=held.expires_ms - now_ms)

    def facts(self, now_ms: int) -> list[data.FactEntry]:
        """Returns all facts in order of their keys.

        Args:
            now_ms: The time in milliseconds.
        """
        facts: list[data.FactEntry] = []
        for key in sorted(self._held_by_key):
            fact = self.get(key, now_ms)
            if fact is not None:
                facts.append(fact)
        return facts

    def _apply_digest(self, fact: data.FactEntry) -> None:
        """Adds a fact to the digest, or removes one that was added."""
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

    Two values of one version are a fault of their writers; the greater wins so
    that all hosts agree.
    """
    if fact.version != known.version:
        return fact.version > known.version
    return fact.value > known.value
