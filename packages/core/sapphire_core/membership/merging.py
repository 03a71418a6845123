"""Merges entries and facts into the shared state of the membership."""

import dataclasses

from sapphire_core.membership import barrier
from sapphire_core.membership import data
from sapphire_core.membership import fact_scope
from sapphire_core.membership import state
from sapphire_data import records

# Having been declared dead increases the delay of rejoining for this long.
_REJOIN_BACKOFF_WINDOW_MS = 60_000
_MAX_DOUBLINGS = 10


class Merger:
    """Merges entries and facts, and refutes wrong entries about this host."""

    def __init__(self, shared: state.State) -> None:
        self._state = shared
        self._barrier = barrier.Barrier(shared)
        self._rejoin_ms: int | None = None
        self._declared_dead_count = 0
        self._declared_dead_ms = 0
        shared.members.merge(shared.own, 0)
        self._update_derived_state(shared.own, 0)

    def merge_member(
        self,
        entry: data.MemberEntry,
        now_ms: int,
        is_remote: bool,
        is_direct: bool = False,
        is_sync: bool = False,
    ) -> None:
        """Merges an entry about a host.

        Args:
            entry: The entry.
            now_ms: The time in milliseconds.
            is_remote: Whether it was received from another data centre.
            is_direct: Whether it was received from the host it is about.
            is_sync: Whether it was received in a page of a synchronisation.
        """
        current = self._state
        if entry.host.host_id == current.own.host.host_id:
            self._refute(entry, now_ms)
            return
        changes = current.members.merge(entry, now_ms, is_direct)
        if not changes and not is_direct and not is_remote:
            self._count_duplicate_entry(entry)
        for change in changes:
            self._update_derived_state(change, now_ms)
            if is_sync and not current.freshness.is_joined:
                # What a host receives while it joins is known to its peers, so
                # it is not disseminated.
                continue
            current.outbox.queue_member_update(change.host.host_id, is_remote)
        if changes:
            current.freshness.set_alone(current.is_alone(), now_ms)

    def merge_fact(
        self, fact: data.FactEntry, now_ms: int, is_remote: bool
    ) -> None:
        """Merges a fact, and the facts that this host derives from it.

        Args:
            fact: The fact.
            now_ms: The time in milliseconds.
            is_remote: Whether it was received from another data centre.
        """
        current = self._state
        merged = current.facts.merge(fact, now_ms)
        if merged.is_error():
            current.outbox.add(data.Rejected(merged.error))
            return
        if not merged.ok:
            self._count_duplicate_fact(fact, is_remote, now_ms)
            return
        current.outbox.queue_fact_update(fact.key, is_remote)
        if fact_scope.scope_of(fact.key) is fact_scope.Scope.GLOBAL:
            current.outbox.add(
                data.FactChanged(fact.key, fact.version, fact.value)
            )
            return
        current.reachability.apply_fact(fact)
        current.freshness.set_alone(current.is_alone(), now_ms)
        for derived in self._barrier.apply_fact(fact, now_ms):
            self.merge_fact(derived, now_ms, is_remote=False)

    def merge_prepared(
        self, entries: tuple[data.PreparedEntry, ...], now_ms: int
    ) -> None:
        """Merges which hosts of the data centre have prepared revisions.

        Args:
            entries: The entries of another host of the data centre.
            now_ms: The time in milliseconds.
        """
        is_changed = False
        for entry in entries:
            is_changed = self._state.prepared.merge(entry) or is_changed
        if is_changed:
            self.publish_barrier_facts(now_ms)

    def publish_barrier_facts(self, now_ms: int) -> None:
        """Publishes newer revisions that all hosts have prepared.

        Args:
            now_ms: The time in milliseconds.
        """
        for fact in self._barrier.new_facts(now_ms):
            self.merge_fact(fact, now_ms, is_remote=False)

    def replace_own_entry(self, entry: data.MemberEntry, now_ms: int) -> None:
        """Replaces the entry of this host and disseminates it.

        Args:
            entry: The entry, with a higher incarnation.
            now_ms: The time in milliseconds.
        """
        current = self._state
        current.own = entry
        current.members.merge(entry, now_ms)
        self._update_derived_state(entry, now_ms)
        current.outbox.queue_member_update(entry.host.host_id, is_remote=False)

    def rejoin_if_due(self, now_ms: int) -> None:
        """Rejoins after being declared dead, once the delay is over.

        Args:
            now_ms: The time in milliseconds.
        """
        if self._rejoin_ms is None or now_ms < self._rejoin_ms:
            return
        self._rejoin_ms = None
        self._state.is_declared_dead = False
        self._raise_incarnation(self._state.own.incarnation, now_ms)

    def _count_duplicate_fact(
        self, fact: data.FactEntry, is_remote: bool, now_ms: int
    ) -> None:
        """Counts a fact that a local peer sent and this host already knew.

        Facts from other data centres do not count, since they do not show that
        the fact is known in the own one.
        """
        known = self._state.facts.get(fact.key, now_ms)
        if is_remote or known is None or known.version != fact.version:
            return
        self._state.outbox.count_duplicate_fact(fact.key)

    def _count_duplicate_entry(self, entry: data.MemberEntry) -> None:
        """Counts an entry that a local peer sent and this host already knew."""
        host_id = entry.host.host_id
        if self._state.members.entries_by_id.get(host_id) == entry:
            self._state.outbox.count_duplicate_member(host_id)

    def _refute(self, entry: data.MemberEntry, now_ms: int) -> None:
        """Refutes an entry about this host if it is wrong."""
        own = self._state.own
        if entry.incarnation < own.incarnation:
            return
        if entry.state is records.MemberState.DEAD:
            self._schedule_rejoin(entry, now_ms)
            return
        is_suspected = entry.state is records.MemberState.SUSPECT
        if not is_suspected and entry.incarnation == own.incarnation:
            return
        self._raise_incarnation(entry.incarnation, now_ms)

    def _raise_incarnation(self, incarnation: int, now_ms: int) -> None:
        """Raises the incarnation of this host above a given one."""
        entry = dataclasses.replace(
            self._state.own, incarnation=incarnation + 1
        )
        self.replace_own_entry(entry, now_ms)

    def _schedule_rejoin(self, entry: data.MemberEntry, now_ms: int) -> None:
        """Schedules the rejoining of this host, with exponential backoff.

        The host delays its own return, so that all other hosts have the same
        view and a host that stalls often does not flap in their views.
        """
        current = self._state
        if current.own.state is records.MemberState.LEAVING:
            return
        if self._rejoin_ms is not None:
            return
        if now_ms - self._declared_dead_ms > _REJOIN_BACKOFF_WINDOW_MS:
            self._declared_dead_count = 0
        delay_ms = 0
        if self._declared_dead_count:
            doublings = min(self._declared_dead_count - 1, _MAX_DOUBLINGS)
            delay_ms = current.settings.rejoin_backoff_ms << doublings
        self._declared_dead_count += 1
        self._declared_dead_ms = now_ms
        current.own = dataclasses.replace(
            current.own, incarnation=entry.incarnation
        )
        current.is_declared_dead = True
        self._rejoin_ms = now_ms + min(
            delay_ms, current.settings.max_rejoin_backoff_ms
        )
        self.rejoin_if_due(now_ms)

    def _update_derived_state(
        self, entry: data.MemberEntry, now_ms: int
    ) -> None:
        """Updates what depends on the entry of a host that has changed."""
        current = self._state
        current.invalidate_caches(entry.host.data_centre)
        if current.is_remote(entry):
            return
        if entry.host.host_id != current.own.host.host_id:
            current.suspicions.update(entry, now_ms)
        live_ids = current.members.live_ids(entry.host.data_centre)
        if current.prepared.set_roster(live_ids):
            self.publish_barrier_facts(now_ms)
