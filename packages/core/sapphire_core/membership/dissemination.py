"""When and to whom news is pushed, besides what probes carry."""

import dataclasses

from sapphire_core.membership import data
from sapphire_core.membership import state


class Disseminator:
    """Pushes news to a few peers, at most once in an interval."""

    def __init__(self, shared: state.State) -> None:
        self._state = shared
        self._pushed_ms: int | None = None

    def push(self, now_ms: int) -> None:
        """Pushes what is due.

        Args:
            now_ms: The time in milliseconds.
        """
        self._push_news(now_ms)
        self._push_prepared(now_ms)

    def _push_news(self, now_ms: int) -> None:
        """Pushes changed hosts and facts."""
        current = self._state
        settings = current.settings
        if not current.outbox.updates.has_hot:
            return
        pushed_ms = self._pushed_ms
        interval_ms = settings.push_interval_ms
        if pushed_ms is not None and now_ms - pushed_ms < interval_ms:
            return
        if not current.outbox.kinds_allowed(now_ms):
            return
        self._pushed_ms = now_ms
        target_ids = current.pick_local(settings.push_fanout)
        target_ids.extend(self._relay_targets())
        entries_by_id = current.members.entries_by_id
        targets = [entries_by_id[host_id].host for host_id in target_ids]
        message = current.message(data.MessageKind.RUMOR, 0)
        current.outbox.push(targets, message, now_ms)

    def _push_prepared(self, now_ms: int) -> None:
        """Tells one peer who has prepared the open revisions."""
        current = self._state
        peer_id = current.prepared.next_push(
            now_ms, current.settings.push_interval_ms
        )
        if peer_id is None:
            return
        message = dataclasses.replace(
            current.message(data.MessageKind.RUMOR, 0),
            prepared=tuple(current.prepared.entries()),
        )
        target = current.members.entries_by_id[peer_id].host
        current.outbox.send(target, message, now_ms)

    def _relay_targets(self) -> list[str]:
        """Returns the relays elsewhere that this host, as a relay, serves.

        Each relay serves the one of its own rank, so that two paths lead to
        each data centre and each carries news once.
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
