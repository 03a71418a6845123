"""The membership of one host: events and the time in, typed actions out."""

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
    """The membership as a state machine without input and output.

    One task calls `receive`, `tick` and the setters, and carries out the
    actions that they return. `tick` is due every 50 ms; a longer gap than
    `Settings.pause_ms` counts as a pause of the process.
    """

    def __init__(
        self,
        self_address: records.HostAddress,
        first_incarnation: int,
        seeds: Iterable[data.Seed],
        rng_seed: int,
        settings: data.Settings | None = None,
    ) -> None:
        """Starts with no state but the own address.

        Args:
            self_address: The identity and addresses of this host.
            first_incarnation: The wall time of the start in milliseconds, so
                that a later process at the same address outranks an earlier.
            seeds: Addresses at which other hosts may listen.
            rng_seed: The seed of all random choices.
            settings: The settings.
        """
        self._state = initial_state.create(
            self_address, first_incarnation, seeds, rng_seed, settings
        )
        self._merger = merging.Merger(self._state)
        self._prober = member_prober.MemberProber(self._state, self._merger)
        self._disseminator = dissemination.Disseminator(self._state)
        self._synchroniser = synchroniser.Synchroniser(self._state)
        self._views = view_builder.ViewBuilder(self._state)
        self._last_event_ms: int | None = None
        self._housekeeping_ms = 0
        self._view_ms: int | None = None
        self._view = self._views.build(0)

    def receive(
        self, message: data.GossipMessage, sender: str, now_ms: int
    ) -> tuple[data.Action, ...]:
        """Takes a message of another host.

        Args:
            message: The decoded message.
            sender: The host that sealed it.
            now_ms: The time in milliseconds.

        Returns:
            The actions to carry out, in order.
        """
        self._notice_pause(now_ms)
        current = self._state
        origin = message.origin
        if sender != origin.host.host_id:
            failure = failures.SenderMismatch(sender, origin.host.host_id)
            current.outbox.add(data.Rejected(failure))
            return self._finish(now_ms)
        if sender == current.own.host.host_id:
            return self._finish(now_ms)
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
        self._prober.on_message(message, now_ms)
        self._synchroniser.on_message(message, now_ms)
        return self._finish(now_ms)

    def tick(self, now_ms: int) -> tuple[data.Action, ...]:
        """Takes the passing of time.

        Args:
            now_ms: The time in milliseconds.

        Returns:
            The actions to carry out, in order.
        """
        self._notice_pause(now_ms)
        self._prober.tick(now_ms)
        self._synchroniser.tick(now_ms)
        self._disseminator.push(now_ms)
        if now_ms - self._housekeeping_ms >= HOUSEKEEPING_INTERVAL_MS:
            self._housekeeping_ms = now_ms
            self._forget_old(now_ms)
        return self._finish(now_ms)

    def set_host_list(
        self, listed: Iterable[data.Seed], now_ms: int
    ) -> tuple[data.Action, ...]:
        """Takes the platform's list of hosts.

        The list lags, so it only names addresses to try. It never removes a
        member and never makes one.

        Args:
            listed: The addresses of live hosts that the list names.
            now_ms: The time in milliseconds.

        Returns:
            The actions to carry out, in order.
        """
        self._state.listed = tuple(listed)
        return self._finish(now_ms)

    def set_fact(
        self, key: str, version: int, value: bytes, now_ms: int, ttl_ms: int = 0
    ) -> expression.Result[tuple[data.Action, ...], failures.MembershipFailure]:
        """Spreads a fact to all hosts.

        Args:
            key: The name of the fact.
            version: Its version; it must be newer than the known one.
            value: Its value.
            now_ms: The time in milliseconds.
            ttl_ms: The time after which hosts forget it; zero for never.

        Returns:
            The actions to carry out, or why the fact is not held.
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
        self._disseminator.push(now_ms)
        return expression.Ok(self._finish(now_ms))

    def facts(self, now_ms: int) -> dict[str, data.FactEntry]:
        """Returns the facts that are known, by key.

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
        """Takes that this host has prepared a configuration revision.

        Args:
            revision: The revision.
            now_ms: The time in milliseconds.

        Returns:
            The actions to carry out, in order.
        """
        current = self._state
        if current.prepared.set_own(revision):
            self._merger.state_barrier(now_ms)
            self._disseminator.push(now_ms)
        return self._finish(now_ms)

    def leave(self, now_ms: int) -> tuple[data.Action, ...]:
        """Announces that this host is about to stop.

        Args:
            now_ms: The time in milliseconds.

        Returns:
            The actions to carry out, in order.
        """
        current = self._state
        if current.own.state is records.MemberState.LEAVING:
            return self._finish(now_ms)
        self._merger.replace_own(
            dataclasses.replace(
                current.own,
                incarnation=current.own.incarnation + 1,
                state=records.MemberState.LEAVING,
            ),
            now_ms,
        )
        self._disseminator.push(now_ms)
        return self._finish(now_ms)

    def view(self) -> records.MemberView:
        """Returns the view that was reported last."""
        return self._view

    def fresh_until_ms(self, now_ms: int) -> int:
        """Returns until when the view is fresh if no message arrives.

        A task that may have been paused compares this with its clock before
        it relies on `MemberView.is_fresh`.

        Args:
            now_ms: The time in milliseconds.
        """
        current = self._state
        return current.freshness.fresh_until_ms(
            current.has_listed_peers(), now_ms
        )

    def relays(self) -> tuple[str, ...]:
        """Returns the relays of the own data centre."""
        return tuple(self._state.relays(self._state.own.host.data_centre))

    def _forget_old(self, now_ms: int) -> None:
        """Forgets old deaths and expired facts."""
        retention_ms = self._state.settings.dead_retention_ms
        self._state.members.forget_dead(now_ms - retention_ms)
        self._state.facts.expire(now_ms)
        self._prober.forget_unknown()

    def _notice_pause(self, now_ms: int) -> None:
        """Drops what a pause of this process made unreliable."""
        last_ms = self._last_event_ms
        self._last_event_ms = now_ms
        if last_ms is None:
            self._state.freshness.set_alone(True, now_ms)
            return
        pause_ms = now_ms - last_ms
        if pause_ms < self._state.settings.pause_ms:
            return
        self._state.freshness.pause()
        self._state.reachability.restart()
        self._prober.pause(pause_ms)

    def _finish(self, now_ms: int) -> tuple[data.Action, ...]:
        """Adds a changed view to the actions and returns them."""
        fresh = self._views.is_fresh(now_ms)
        has_lost_freshness = self._view.is_fresh and not fresh
        is_due = self._view_ms is None or (
            now_ms - self._view_ms >= VIEW_INTERVAL_MS
        )
        if has_lost_freshness or (is_due and self._views.is_changed(now_ms)):
            self._view_ms = now_ms
            self._view = self._views.build(now_ms)
            self._state.outbox.add(data.ViewChanged(self._view))
        return self._state.outbox.drain()
