"""Which other data centres can be reached from the own one.

Only relays probe other data centres. One that gets no answer states so in a
fact that spreads within its own data centre; the hosts there then leave the
members of the other one out of their view, without declaring them dead.
"""

import dataclasses

from sapphire_core.membership import data
from sapphire_core.membership import fact_scope

_UP = b"up:"
_DOWN = b"down:"


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """What a relay states of another data centre.

    Attributes:
        is_reachable: Whether the relay gets answers from it.
        relay_id: The relay.
        version: The version of the fact.
    """

    is_reachable: bool
    relay_id: str
    version: int


class Reachability:
    """The statements of the relays of one data centre.

    Attributes:
        unreachable: The data centres that cannot be reached.
    """

    def __init__(self, own_id: str, data_centre: str) -> None:
        self.unreachable: frozenset[str] = frozenset()
        self._own_id = own_id
        self._prefix = fact_scope.reach_prefix(data_centre)
        self._statements_by_data_centre: dict[str, Statement] = {}
        self._answered_ms_by_data_centre: dict[str, int] = {}
        self._watched_ms_by_data_centre: dict[str, int] = {}

    def on_answer(self, data_centre: str, now_ms: int) -> None:
        """Notes an answer of a host in another data centre.

        Args:
            data_centre: Its data centre.
            now_ms: The time in milliseconds.
        """
        self._answered_ms_by_data_centre[data_centre] = now_ms

    def last_answer_ms(self, data_centre: str) -> int | None:
        """Returns when a data centre answered last, or None.

        Args:
            data_centre: The other data centre.
        """
        return self._answered_ms_by_data_centre.get(data_centre)

    def restart(self) -> None:
        """Begins anew after a pause, or when this host becomes a relay."""
        self._answered_ms_by_data_centre.clear()
        self._watched_ms_by_data_centre.clear()

    def take_fact(self, fact: data.FactEntry) -> None:
        """Takes a fact if it is a statement of a relay of this data centre.

        Args:
            fact: Any fact.
        """
        if not fact.key.startswith(self._prefix):
            return
        data_centre = fact.key.removeprefix(self._prefix)
        is_reachable = fact.value.startswith(_UP)
        prefix = _UP if is_reachable else _DOWN
        relay_id = fact.value.removeprefix(prefix).decode(errors="replace")
        self._statements_by_data_centre[data_centre] = Statement(
            is_reachable, relay_id, fact.version
        )
        self.unreachable = frozenset(
            name
            for name, statement in self._statements_by_data_centre.items()
            if not statement.is_reachable
        )

    def judge(
        self,
        data_centres: list[str],
        relay_ids: list[str],
        unreachable_ms: int,
        now_ms: int,
    ) -> list[data.FactEntry]:
        """Returns what this host, as a relay, has to state.

        Args:
            data_centres: The other data centres.
            relay_ids: The relays of the own data centre.
            unreachable_ms: The silence after which one is unreachable.
            now_ms: The time in milliseconds.

        Returns:
            The new statements as facts.
        """
        facts: list[data.FactEntry] = []
        for data_centre in data_centres:
            known = self._statements_by_data_centre.get(data_centre)
            answered_ms = self._answered_ms_by_data_centre.get(data_centre)
            watched_ms = self._watched_ms_by_data_centre.setdefault(
                data_centre, now_ms
            )
            since_ms = watched_ms if answered_ms is None else answered_ms
            silent_ms = now_ms - since_ms
            if answered_ms is not None and silent_ms < unreachable_ms // 2:
                if known is not None and not known.is_reachable:
                    facts.append(self._fact(data_centre, _UP, known))
                continue
            if silent_ms < unreachable_ms:
                continue
            if known is not None and not self._may_deny(known, relay_ids):
                continue
            facts.append(self._fact(data_centre, _DOWN, known))
        return facts

    def _may_deny(self, known: Statement, relay_ids: list[str]) -> bool:
        """Returns whether silence here outweighs the known statement.

        Another relay that gets answers passes news on for all, so its word
        stands while it is a relay.
        """
        if not known.is_reachable:
            return False
        if known.relay_id == self._own_id:
            return True
        return known.relay_id not in relay_ids

    def _fact(
        self, data_centre: str, value: bytes, known: Statement | None
    ) -> data.FactEntry:
        """Returns a statement that replaces the known one."""
        version = known.version + 1 if known is not None else 1
        return data.FactEntry(
            key=f"{self._prefix}{data_centre}",
            version=version,
            value=value + self._own_id.encode(),
        )
