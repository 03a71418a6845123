"""The membership protocol of one host as a state machine.

The protocol is SWIM (probes, suspicion, gossip) with versioned facts. Events
and the time are the input, typed actions the output.
"""

from collections.abc import Iterable
import dataclasses

import expression

from sapphire_core.membership import data
from sapphire_core.membership import dissemination
from sapphire_core.membership import fact_scope
from sapphire_core.membership import failures
from sapphire_core.membership import initial_state
from sapphire_core.membership import member_prober
from sapphire_core.membership import merging
from sapphire_core.membership import synchroniser
from sapphire_core.membership import view_builder
from sapphire_data import records

VIEW_INTERVAL_MS = 100
HOUSEKEEPING_INTERVAL_MS = 1_000


class Membership:
    """The membership protocol, without input or output of its own.

    A single task calls `receive`, `tick` and the setters, and carries out the
    actions that they return. `tick` is due every 50 ms; a gap of at least
    `Settings.min_stall_ms` between two events counts as a stall of the process.
    """

    def __init__(
        self,
        self_address: records.HostAddress,
        first_incarnation: int,
        seeds: Iterable[data.Seed],
        rng_seed: int,
        settings: data.Settings | None = None,
    ) -> None:
        """Initialises a host that knows only itself.

        Args:
            self_address: The identity and addresses of this host.
            first_incarnation: The wall time of the start in milliseconds, so
                that a later process at the same address replaces an earlier.
            seeds: Addresses at which other hosts may listen.
            rng_seed: The seed of all random choices.
            settings: The settings of the protocol; the defaults if None.
        """
        self._state = initial_state.create(
            self_address, first_incarnation, seeds, rng_seed, settings
        )
        self._merger = merging.Merger(self._state)
        self._prober = member_prober.MemberProber(self._state, self._merger)
        self._disseminator = dissemination.Disseminator(self._state)
        self._synchroniser = synchroniser.Synchroniser(self._state)
        self._view_builder = view_builder.ViewBuilder(self._state)
        self._last_event_ms: int | None = None
        self._last_housekeeping_ms = 0
        self._view_built_ms: int | None = None
        self._view = self._view_builder.build(0)

    def receive(
        self, message: data.GossipMessage, sender: str, now_ms: int
    ) -> tuple[data.Action, ...]:
        """Handles a message from another host.

        Args:
            message: The decoded message.
            sender: The host that sealed it.
            now_ms: The time in milliseconds.

        Returns:
            The actions to carry out, in order.
        """
        self._detect_stall(now_ms)
        current = self._state
        origin = message.origin
        if sender != origin.host.host_id:
            failure = failures.SenderMismatch(sender, origin.host.host_id)
            current.outbox.add(data.Rejected(failure))
            return self._finish_event(now_ms)
        if sender == current.own.host.host_id:
            return self._finish_event(now_ms)
        is_remote = current.is_remote(origin)
        is_sync = message.kind is data.MessageKind.SYNC_PAGE
        self._merger.merge_member(
            origin, now_ms, is_remote=is_remote, is_direct=True
        )
        for entry in message.members:
            self._merger.merge_member(
                entry, now_ms, is_remote=is_remote, is_sync=is_sync
            )
        for fact in message.facts:
            self._merger.merge_fact(fact, now_ms, is_remote=is_remote)
        if not is_remote:
            self._merger.merge_prepared(message.prepared, now_ms)
        self._prober.handle_message(message, now_ms)
        self._synchroniser.handle_message(message, now_ms)
        return self._finish_event(now_ms)

    def tick(self, now_ms: int) -> tuple[data.Action, ...]:
        """Handles everything that is due at a time.

        Args:
            now_ms: The time in milliseconds.

        Returns:
            The actions to carry out, in order.
        """
        self._detect_stall(now_ms)
        self._prober.tick(now_ms)
        self._synchroniser.tick(now_ms)
        self._disseminator.push_due(now_ms)
        if now_ms - self._last_housekeeping_ms >= HOUSEKEEPING_INTERVAL_MS:
            self._last_housekeeping_ms = now_ms
            self._evict_expired(now_ms)
        return self._finish_event(now_ms)

    def set_host_list(
        self, listed_seeds: Iterable[data.Seed], now_ms: int
    ) -> tuple[data.Action, ...]:
        """Replaces the platform's list of hosts.

        The list lags behind, so it only provides addresses to probe. It never
        adds or removes a member.

        Args:
            listed_seeds: The addresses of live hosts on the list.
            now_ms: The time in milliseconds.

        Returns:
            The actions to carry out, in order.
        """
        self._state.listed_seeds = tuple(listed_seeds)
        return self._finish_event(now_ms)

    def set_fact(
        self, key: str, version: int, value: bytes, now_ms: int, ttl_ms: int = 0
    ) -> expression.Result[tuple[data.Action, ...], failures.MembershipFailure]:
        """Disseminates a fact to all hosts.

        Args:
            key: The name of the fact.
            version: Its version; it must be newer than the known one.
            value: Its value.
            now_ms: The time in milliseconds.
            ttl_ms: The time after which hosts discard it; zero for never.

        Returns:
            The actions to carry out, or why the fact is not stored.
        """
        current = self._state
        if fact_scope.scope_of(key) is not fact_scope.Scope.GLOBAL:
            return expression.Error(failures.ReservedKey(key))
        known = current.facts.get(key, now_ms)
        if known is not None and known.version >= version:
            return expression.Error(
                failures.StaleFact(key, version, known.version)
            )
        fact = data.FactEntry(key, version, value, ttl_ms)
        failure = current.facts.check(fact)
        if failure is not None:
            return expression.Error(failure)
        self._merger.merge_fact(fact, now_ms, is_remote=False)
        self._disseminator.push_due(now_ms)
        return expression.Ok(self._finish_event(now_ms))

    def facts(self, now_ms: int) -> dict[str, data.FactEntry]:
        """Returns the known facts of global scope by key.

        Args:
            now_ms: The time in milliseconds.
        """
        return {
            fact.key: fact
            for fact in self._state.facts.facts(now_ms)
            if fact_scope.scope_of(fact.key) is fact_scope.Scope.GLOBAL
        }

    def set_prepared_revision(
        self, revision: int, now_ms: int
    ) -> tuple[data.Action, ...]:
        """Records that this host has prepared a configuration revision.

        Args:
            revision: The revision.
            now_ms: The time in milliseconds.

        Returns:
            The actions to carry out, in order.
        """
        current = self._state
        if current.prepared.set_own_revision(revision):
            self._merger.publish_barrier_facts(now_ms)
            self._disseminator.push_due(now_ms)
        return self._finish_event(now_ms)

    def leave(self, now_ms: int) -> tuple[data.Action, ...]:
        """Announces that this host is leaving.

        Args:
            now_ms: The time in milliseconds.

        Returns:
            The actions to carry out, in order.
        """
        current = self._state
        if current.own.state is records.MemberState.LEAVING:
            return self._finish_event(now_ms)
        self._merger.replace_own_entry(
            dataclasses.replace(
                current.own,
                incarnation=current.own.incarnation + 1,
                state=records.MemberState.LEAVING,
            ),
            now_ms,
        )
        self._disseminator.push_due(now_ms)
        return self._finish_event(now_ms)

    def view(self) -> records.MemberView:
        """Returns the last reported view."""
        return self._view

    def fresh_until_ms(self, now_ms: int) -> int:
        """Returns until when the view is fresh if no message arrives.

        A task that may have stalled compares this with its clock before it
        relies on `MemberView.is_fresh`.

        Args:
            now_ms: The time in milliseconds.
        """
        current = self._state
        return current.freshness.fresh_until_ms(
            current.has_listed_peers(), now_ms
        )

    def relays(self) -> tuple[str, ...]:
        """Returns the identities of the relays of the own data centre."""
        return tuple(self._state.relays(self._state.own.host.data_centre))

    def _evict_expired(self, now_ms: int) -> None:
        """Evicts old dead members, expired facts and state of evicted hosts."""
        retention_ms = self._state.settings.dead_retention_ms
        self._state.members.evict_dead(now_ms - retention_ms)
        self._state.facts.evict_expired(now_ms)
        self._prober.evict_unknown()

    def _detect_stall(self, now_ms: int) -> None:
        """Discards what is unreliable if this process has stalled."""
        last_ms = self._last_event_ms
        self._last_event_ms = now_ms
        if last_ms is None:
            self._state.freshness.set_alone(True, now_ms)
            return
        stall_ms = now_ms - last_ms
        if stall_ms < self._state.settings.min_stall_ms:
            return
        self._state.freshness.record_stall()
        self._state.reachability.reset()
        self._prober.handle_stall(stall_ms)

    def _finish_event(self, now_ms: int) -> tuple[data.Action, ...]:
        """Adds the view to the actions if due, and returns the actions.

        A changed view is reported at most once per `VIEW_INTERVAL_MS`, but at
        once if it is no longer fresh.
        """
        is_fresh = self._view_builder.is_fresh(now_ms)
        has_lost_freshness = self._view.is_fresh and not is_fresh
        is_due = self._view_built_ms is None or (
            now_ms - self._view_built_ms >= VIEW_INTERVAL_MS
        )
        if has_lost_freshness or (
            is_due and self._view_builder.is_changed(now_ms)
        ):
            self._view_built_ms = now_ms
            self._view = self._view_builder.build(now_ms)
            self._state.outbox.add(data.ViewChanged(self._view))
        return self._state.outbox.drain()
