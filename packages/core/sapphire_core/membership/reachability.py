"""Determines which other data centres can be reached from the own one.

Only relays probe other data centres. A relay that gets no answer from a data
centre publishes this in a fact, which is disseminated within its own data
centre. The hosts there then leave the members of the unreachable data centre
out of their views, without declaring them dead.
"""

import dataclasses

from sapphire_core.membership import data
from sapphire_core.membership import fact_scope

_UP = b"up:"
_DOWN = b"down:"


@dataclasses.dataclass(frozen=True, slots=True)
class ReachabilityStatement:
    """Whether a relay can reach another data centre.

    Attributes:
        is_reachable: Whether the relay gets answers from the data centre.
        relay_id: The relay that published the statement.
        version: The version of the fact that carried the statement.
    """

    is_reachable: bool
    relay_id: str
    version: int


class Reachability:
    """Tracks the reachability of other data centres.

    Attributes:
        unreachable: The data centres that cannot be reached according to the
            relays of the own data centre.
    """

    def __init__(self, own_id: str, data_centre: str) -> None:
        self.unreachable: frozenset[str] = frozenset()
        self._own_id = own_id
        self._prefix = fact_scope.reach_prefix(data_centre)
        self._statements_by_data_centre: dict[str, ReachabilityStatement] = {}
        self._last_answer_ms_by_data_centre: dict[str, int] = {}
        self._tracked_since_ms_by_data_centre: dict[str, int] = {}

    def record_answer(self, data_centre: str, now_ms: int) -> None:
        """Records that a host in another data centre answered a probe.

        Args:
            data_centre: The data centre of that host.
            now_ms: The time in milliseconds.
        """
        self._last_answer_ms_by_data_centre[data_centre] = now_ms

    def last_answer_ms(self, data_centre: str) -> int | None:
        """Returns when a data centre last answered, in milliseconds, or None.

        Args:
            data_centre: The other data centre.
        """
        return self._last_answer_ms_by_data_centre.get(data_centre)

    def reset(self) -> None:
        """Discards the times of answers.

        Called after a stall of this process and when it becomes a relay, since
        the time without an answer then says nothing about reachability.
        """
        self._last_answer_ms_by_data_centre.clear()
        self._tracked_since_ms_by_data_centre.clear()

    def apply_fact(self, fact: data.FactEntry) -> None:
        """Applies a fact if it is a reachability statement of a local relay.

        Args:
            fact: Any fact of local or relay scope.
        """
        if not fact.key.startswith(self._prefix):
            return
        data_centre = fact.key.removeprefix(self._prefix)
        is_reachable = fact.value.startswith(_UP)
        prefix = _UP if is_reachable else _DOWN
        relay_id = fact.value.removeprefix(prefix).decode(errors="replace")
        self._statements_by_data_centre[data_centre] = ReachabilityStatement(
            is_reachable, relay_id, fact.version
        )
        self.unreachable = frozenset(
            name
            for name, statement in self._statements_by_data_centre.items()
            if not statement.is_reachable
        )

    def new_statements(
        self,
        data_centres: list[str],
        relay_ids: list[str],
        unreachable_ms: int,
        now_ms: int,
    ) -> list[data.FactEntry]:
        """Returns the statements that this host, as a relay, is to publish.

        A data centre becomes reachable again only once an answer is more recent
        than half of `unreachable_ms`.

        Args:
            data_centres: The other data centres.
            relay_ids: The relays of the own data centre.
            unreachable_ms: The time without an answer after which a data centre
                is unreachable.
            now_ms: The time in milliseconds.

        Returns:
            The statements that differ from the known ones, as facts.
        """
        facts: list[data.FactEntry] = []
        for data_centre in data_centres:
            known = self._statements_by_data_centre.get(data_centre)
            answered_ms = self._last_answer_ms_by_data_centre.get(data_centre)
            tracked_since_ms = self._tracked_since_ms_by_data_centre.setdefault(
                data_centre, now_ms
            )
            since_ms = tracked_since_ms if answered_ms is None else answered_ms
            unanswered_ms = now_ms - since_ms
            if answered_ms is not None and unanswered_ms < unreachable_ms // 2:
                if known is not None and not known.is_reachable:
                    facts.append(self._fact(data_centre, _UP, known))
                continue
            if unanswered_ms < unreachable_ms:
                continue
            if known is not None and not self._may_override(known, relay_ids):
                continue
            facts.append(self._fact(data_centre, _DOWN, known))
        return facts

    def _may_override(
        self, known: ReachabilityStatement, relay_ids: list[str]
    ) -> bool:
        """Returns whether this host may publish that it gets no answers.

        Another relay that gets answers forwards updates for the whole data
        centre, so its statement holds for as long as it is a relay.
        """
        if not known.is_reachable:
            return False
        if known.relay_id == self._own_id:
            return True
        return known.relay_id not in relay_ids

    def _fact(
        self,
        data_centre: str,
        value: bytes,
        known: ReachabilityStatement | None,
    ) -> data.FactEntry:
        """Returns a statement of this host that replaces the known one."""
        version = known.version + 1 if known is not None else 1
        return data.FactEntry(
            key=f"{self._prefix}{data_centre}",
            version=version,
            value=value + self._own_id.encode(),
        )
