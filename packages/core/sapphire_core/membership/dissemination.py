"""Pushes updates to peers, in addition to piggybacking them on probes."""

import dataclasses

from sapphire_core.membership import data
from sapphire_core.membership import state


class Disseminator:
    """Pushes updates to a few peers, at most once per interval."""

    def __init__(self, shared: state.State) -> None:
        self._state = shared
        self._last_push_ms: int | None = None

    def push_due(self, now_ms: int) -> None:
        """Pushes the updates and prepared revisions that are due.

        Args:
            now_ms: The time in milliseconds.
        """
        self._push_updates(now_ms)
        self._push_prepared(now_ms)

    def _push_updates(self, now_ms: int) -> None:
        """Pushes the updates about hosts and facts."""
        current = self._state
        settings = current.settings
        if not current.outbox.updates.has_updates_to_push:
            return
        last_push_ms = self._last_push_ms
        interval_ms = settings.push_interval_ms
        if last_push_ms is not None and now_ms - last_push_ms < interval_ms:
            return
        if not current.outbox.kinds_within_rate(now_ms):
            return
        self._last_push_ms = now_ms
        target_ids = current.sample_local_peers(settings.push_fanout)
        target_ids.extend(self._relay_targets())
        entries_by_id = current.members.entries_by_id
        targets = [entries_by_id[host_id].host for host_id in target_ids]
        message = current.new_message(data.MessageKind.RUMOR, 0)
        current.outbox.push_updates(targets, message, now_ms)

    def _push_prepared(self, now_ms: int) -> None:
        """Sends one peer which hosts have prepared the open revisions."""
        current = self._state
        peer_id = current.prepared.next_push_target(
            now_ms, current.settings.push_interval_ms
        )
        if peer_id is None:
            return
        message = dataclasses.replace(
            current.new_message(data.MessageKind.RUMOR, 0),
            prepared=tuple(current.prepared.entries()),
        )
        target = current.members.entries_by_id[peer_id].host
        current.outbox.send(target, message, now_ms)

    def _relay_targets(self) -> list[str]:
        """Returns the relays of other data centres that this host pushes to.

        Only relays push to other data centres, each to the relay of its own
        rank. With two relays there are thus two paths to each data centre, and
        each path carries an update once.
        """
        current = self._state
        own = current.own.host
        own_relays = current.relays(own.data_centre)
        if own.host_id not in own_relays:
            return []
        rank = own_relays.index(own.host_id)
        target_ids: list[str] = []
        for name in current.other_data_centres():
            relay_ids = current.relays(name)
            if relay_ids:
                target_ids.append(relay_ids[rank % len(relay_ids)])
        return target_ids
