"""How statements of other hosts change the shared state."""

import dataclasses

from sapphire_core.membership import barrier
from sapphire_core.membership import data
from sapphire_core.membership import fact_scope
from sapphire_core.membership import state
from sapphire_data import records

# A death counts for the delay of the next return for this long.
_DEATH_WINDOW_MS = 60_000
_MAX_DOUBLINGS = 10


class Merger:
    """Merges statements, and contradicts wrong ones about this host."""

    def __init__(self, shared: state.State) -> None:
        self._state = shared
        self._barrier = barrier.Barrier(shared)
        self._rejoin_ms: int | None = None
        self._deaths = 0
        self._death_ms = 0
        shared.members.merge(shared.own, 0)
        self._on_roster_change(shared.own, 0)

    def merge_member(
        self,
        entry: data.MemberEntry,
        now_ms: int,
        is_remote: bool,
        is_direct: bool = False,
        is_sync: bool = False,
    ) -> None:
        """Merges a statement about a host.

        Args:
            entry: The statement.
            now_ms: The time in milliseconds.
            is_remote: Whether another data centre told it.
            is_direct: Whether the host itself told it.
            is_sync: Whether it came in a page of the whole state.
        """
        current = self._state
        if entry.host.host_id == current.own.host.host_id:
            self._refute(entry, now_ms)
            return
        changes = current.members.merge(entry, now_ms, is_direct)
        if not changes and not is_direct and not is_remote:
            self._hear_member(entry)
        for change in changes:
            self._on_roster_change(change, now_ms)
            if is_sync and not current.freshness.is_joined:
                # What a host learns while it joins is news to no one else.
                continue
            current.outbox.add_member_news(change.host.host_id, is_remote)
        if changes:
            current.freshness.set_alone(current.is_alone(), now_ms)

    def merge_fact(
        self, fact: data.FactEntry, now_ms: int, is_remote: bool
    ) -> None:
        """Merges a fact.

        Args:
            fact: The fact.
            now_ms: The time in milliseconds.
            is_remote: Whether another data centre told it.
        """
        current = self._state
        merged = current.facts.merge(fact, now_ms)
        if merged.is_error():
            current.outbox.add(data.Rejected(merged.error))
            return
        if not merged.ok:
            self._hear_fact(fact, is_remote, now_ms)
            return
        current.outbox.add_fact_news(fact.key, is_remote)
        if fact_scope.scope_of(fact.key) is fact_scope.Scope.GLOBAL:
            current.outbox.add(
                data.FactChanged(fact.key, fact.version, fact.value)
            )
            return
        current.reachability.take_fact(fact)
        current.freshness.set_alone(current.is_alone(), now_ms)
        for derived in self._barrier.take_fact(fact, now_ms):
            self.merge_fact(derived, now_ms, is_remote=False)

    def merge_prepared(
        self, entries: tuple[data.PreparedEntry, ...], now_ms: int
    ) -> None:
        """Merges which hosts of the data centre have prepared revisions.

        Args:
            entries: The statements.
            now_ms: The time in milliseconds.
        """
        is_changed = False
        for entry in entries:
            is_changed = self._state.prepared.merge(entry) or is_changed
        if is_changed:
            self.state_barrier(now_ms)

    def state_barrier(self, now_ms: int) -> None:
        """States the revisions that have been prepared by all.

        Args:
            now_ms: The time in milliseconds.
        """
        for fact in self._barrier.statements(now_ms):
            self.merge_fact(fact, now_ms, is_remote=False)

    def replace_own(self, entry: data.MemberEntry, now_ms: int) -> None:
        """Replaces the entry of this host and passes it on.

        Args:
            entry: The entry, of a higher incarnation.
            now_ms: The time in milliseconds.
        """
        current = self._state
        current.own = entry
        current.members.merge(entry, now_ms)
        self._on_roster_change(entry, now_ms)
        current.outbox.add_member_news(entry.host.host_id, is_remote=False)

    def rejoin_if_due(self, now_ms: int) -> None:
        """Returns to the membership after a death that was not one.

        Args:
            now_ms: The time in milliseconds.
        """
        if self._rejoin_ms is None or now_ms < self._rejoin_ms:
            return
        self._rejoin_ms = None
        self._state.is_declared_dead = False
        self._raise_incarnation(self._state.own.incarnation, now_ms)

    def _hear_fact(
        self, fact: data.FactEntry, is_remote: bool, now_ms: int
    ) -> None:
        """Notes that a peer knows the same fact.

        What another data centre knows says nothing of the own one.
        """
        known = self._state.facts.get(fact.key, now_ms)
        if is_remote or known is None or known.version != fact.version:
            return
        self._state.outbox.hear_fact(fact.key)

    def _hear_member(self, entry: data.MemberEntry) -> None:
        """Notes that another host knows the same of a host."""
        host_id = entry.host.host_id
        if self._state.members.entries_by_id.get(host_id) == entry:
            self._state.outbox.hear_member(host_id)

    def _refute(self, entry: data.MemberEntry, now_ms: int) -> None:
        """Contradicts a wrong statement about this host."""
        own = self._state.own
        if entry.incarnation < own.incarnation:
            return
        if entry.state is records.MemberState.DEAD:
            self._schedule_rejoin(entry, now_ms)
            return
        is_wrong = entry.state is records.MemberState.SUSPECT
        if not is_wrong and entry.incarnation == own.incarnation:
            return
        self._raise_incarnation(entry.incarnation, now_ms)

    def _raise_incarnation(self, incarnation: int, now_ms: int) -> None:
        """Outranks all statements about an incarnation of this host."""
        entry = dataclasses.replace(
            self._state.own, incarnation=incarnation + 1
        )
        self.replace_own(entry, now_ms)

    def _schedule_rejoin(self, entry: data.MemberEntry, now_ms: int) -> None:
        """Plans the return of this host, later after each death.

        The host itself delays its return, so that all others see the same
        and a host that pauses often does not come and go in their views.
        """
        current = self._state
        if current.own.state is records.MemberState.LEAVING:
            return
        if self._rejoin_ms is not None:
            return
        if now_ms - self._death_ms > _DEATH_WINDOW_MS:
            self._deaths = 0
        delay_ms = 0
        if self._deaths:
            doublings = min(self._deaths - 1, _MAX_DOUBLINGS)
            delay_ms = current.settings.rejoin_backoff_ms << doublings
        self._deaths += 1
        self._death_ms = now_ms
        current.own = dataclasses.replace(
            current.own, incarnation=entry.incarnation
        )
        current.is_declared_dead = True
        self._rejoin_ms = now_ms + min(
            delay_ms, current.settings.max_rejoin_backoff_ms
        )
        self.rejoin_if_due(now_ms)

    def _on_roster_change(self, entry: data.MemberEntry, now_ms: int) -> None:
        """Follows a change of the roster in what derives from it."""
        current = self._state
        current.forget_derived(entry.host.data_centre)
        if current.is_remote(entry):
            return
        if entry.host.host_id != current.own.host.host_id:
            current.suspicions.on_change(entry, now_ms)
        live_ids = current.members.live_ids(entry.host.data_centre)
        if current.prepared.set_roster(live_ids):
            self.state_barrier(now_ms)
