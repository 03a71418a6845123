"""The newest revision that all live hosts in reachable data centres prepared.

The hosts of a data centre determine among themselves which revision all of them
have prepared. Relays exchange these revisions between data centres, and each
relay publishes the minimum over all reachable data centres within its own data
centre. Thus the other hosts receive two facts per revision instead of one per
data centre.
"""

from sapphire_core.membership import data
from sapphire_core.membership import fact_scope
from sapphire_core.membership import state


class Barrier:
    """Derives the facts that announce prepared revisions."""

    def __init__(self, shared: state.State) -> None:
        self._state = shared

    def apply_fact(
        self, fact: data.FactEntry, now_ms: int
    ) -> list[data.FactEntry]:
        """Updates the prepared revisions from an internal fact.

        Args:
            fact: The fact, of local or relay scope; it was new to this host.
            now_ms: The time in milliseconds.

        Returns:
            The facts that this host publishes as a result.
        """
        current = self._state
        own_data_centre = current.own.host.data_centre
        if fact.key in (
            fact_scope.complete_key(own_data_centre),
            fact_scope.barrier_key(own_data_centre),
        ):
            current.prepared.set_complete_revision(fact.version)
        return self.new_facts(now_ms)

    def new_facts(self, now_ms: int) -> list[data.FactEntry]:
        """Returns the facts to publish that are newer than the known ones.

        Args:
            now_ms: The time in milliseconds.
        """
        current = self._state
        own_data_centre = current.own.host.data_centre
        revision = current.prepared.complete_revision
        candidates = [
            data.FactEntry(
                fact_scope.complete_key(own_data_centre), revision, b""
            )
        ]
        if current.is_relay():
            relayed_key = fact_scope.relayed_key(own_data_centre)
            candidates.append(data.FactEntry(relayed_key, revision, b""))
            barrier_revision = self._min_reachable_revision(revision, now_ms)
            barrier_key = fact_scope.barrier_key(own_data_centre)
            candidates.append(
                data.FactEntry(barrier_key, barrier_revision, b"")
            )
        return [
            fact
            for fact in candidates
            if fact.version > self._known_version(fact, now_ms)
        ]

    def _known_version(self, fact: data.FactEntry, now_ms: int) -> int:
        """Returns the version of the known fact of that key, or zero."""
        known = self._state.facts.get(fact.key, now_ms)
        return known.version if known is not None else 0

    def _min_reachable_revision(self, own_revision: int, now_ms: int) -> int:
        """Returns the oldest revision among the reachable data centres.

        A data centre that has not published one counts as zero.
        """
        oldest = own_revision
        for name in self._state.reachable_data_centres():
            key = fact_scope.relayed_key(name)
            fact = self._state.facts.get(key, now_ms)
            oldest = min(oldest, fact.version if fact is not None else 0)
        return oldest


def prepared_everywhere(shared: state.State, now_ms: int) -> int:
    """Returns the newest revision that all live reachable hosts have prepared.

    Args:
        shared: The state of the membership.
        now_ms: The time in milliseconds.
    """
    if not shared.reachable_data_centres():
        return shared.prepared.complete_revision
    key = fact_scope.barrier_key(shared.own.host.data_centre)
    fact = shared.facts.get(key, now_ms)
    return fact.version if fact is not None else 0
