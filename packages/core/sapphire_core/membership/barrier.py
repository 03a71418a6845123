"""The revision that all live hosts in reach have prepared.

The hosts of a data centre find by themselves which revision all of them have
prepared. Relays tell each other, and each states the least of all data centres
in reach to its own. Thus the other hosts see two facts for each revision, and
not one for each data centre.
"""

from sapphire_core.membership import data
from sapphire_core.membership import fact_scope
from sapphire_core.membership import state


class Barrier:
    """Derives the facts about prepared revisions."""

    def __init__(self, shared: state.State) -> None:
        self._state = shared

    def take_fact(
        self, fact: data.FactEntry, now_ms: int
    ) -> list[data.FactEntry]:
        """Takes a fact that is not for users.

        Args:
            fact: The fact, new here.
            now_ms: The time in milliseconds.

        Returns:
            The facts that follow from it.
        """
        current = self._state
        own_data_centre = current.own.host.data_centre
        if fact.key in (
            fact_scope.complete_key(own_data_centre),
            fact_scope.barrier_key(own_data_centre),
        ):
            current.prepared.set_complete(fact.version)
        return self.statements(now_ms)

    def statements(self, now_ms: int) -> list[data.FactEntry]:
        """Returns the facts that this host can state and that are new.

        Args:
            now_ms: The time in milliseconds.
        """
        current = self._state
        own_data_centre = current.own.host.data_centre
        revision = current.prepared.complete_revision
        stated = [
            data.FactEntry(
                fact_scope.complete_key(own_data_centre), revision, b""
            )
        ]
        if current.is_relay():
            relayed_key = fact_scope.relayed_key(own_data_centre)
            stated.append(data.FactEntry(relayed_key, revision, b""))
            least = self._least(revision, now_ms)
            barrier_key = fact_scope.barrier_key(own_data_centre)
            stated.append(data.FactEntry(barrier_key, least, b""))
        return [
            fact for fact in stated if fact.version > self._known(fact, now_ms)
        ]

    def _known(self, fact: data.FactEntry, now_ms: int) -> int:
        """Returns the version of a fact that is known."""
        known = self._state.facts.get(fact.key, now_ms)
        return known.version if known is not None else 0

    def _least(self, own_revision: int, now_ms: int) -> int:
        """Returns the least revision of the data centres in reach."""
        least = own_revision
        for name in self._state.reachable_data_centres():
            key = fact_scope.relayed_key(name)
            fact = self._state.facts.get(key, now_ms)
            least = min(least, fact.version if fact is not None else 0)
        return least


def prepared_everywhere(shared: state.State, now_ms: int) -> int:
    """Returns the revision that all live hosts in reach have prepared.

    Args:
        shared: The state.
        now_ms: The time in milliseconds.
    """
    if not shared.reachable_data_centres():
        return shared.prepared.complete_revision
    key = fact_scope.barrier_key(shared.own.host.data_centre)
    fact = shared.facts.get(key, now_ms)
    return fact.version if fact is not None else 0
