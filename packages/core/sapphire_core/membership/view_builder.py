"""The view of the membership that other parts read."""

import types

from sapphire_core.membership import barrier
from sapphire_core.membership import state
from sapphire_data import records


class ViewBuilder:
    """Builds a view when something in it has changed."""

    def __init__(self, shared: state.State) -> None:
        self._state = shared
        self._built: tuple[object, ...] = ()
        self._cache_by_data_centre: dict[
            str, tuple[tuple[int, int], dict[str, records.Member]]
        ] = {}

    def is_fresh(self, now_ms: int) -> bool:
        """Returns whether peers confirmed this host recently enough.

        Args:
            now_ms: The time in milliseconds.
        """
        current = self._state
        if current.is_declared_dead:
            return False
        return current.freshness.is_fresh(current.has_listed_peers(), now_ms)

    def is_changed(self, now_ms: int) -> bool:
        """Returns whether the view differs from the one built last.

        Args:
            now_ms: The time in milliseconds.
        """
        return self._fingerprint(now_ms) != self._built

    def build(self, now_ms: int) -> records.MemberView:
        """Builds the view.

        Args:
            now_ms: The time in milliseconds.
        """
        current = self._state
        self._built = self._fingerprint(now_ms)
        everywhere = barrier.prepared_everywhere(current, now_ms)
        members_by_id = dict(self._members(current.own.host.data_centre, 0))
        for name in current.reachable_data_centres():
            members_by_id.update(self._members(name, everywhere))
        return records.MemberView(
            members_by_id=types.MappingProxyType(members_by_id),
            is_fresh=self.is_fresh(now_ms),
            prepared_everywhere=everywhere,
        )

    def _members(
        self, data_centre: str, everywhere: int
    ) -> dict[str, records.Member]:
        """Returns the members of a data centre, built again if changed."""
        current = self._state
        is_local = data_centre == current.own.host.data_centre
        if is_local:
            everywhere = current.prepared.complete_revision
        key = (current.members.revision_by_data_centre[data_centre], everywhere)
        cached = self._cache_by_data_centre.get(data_centre)
        if cached is not None and cached[0] == key:
            return cached[1]
        members_by_id: dict[str, records.Member] = {}
        for host_id in current.members.live_ids(data_centre):
            entry = current.members.entries_by_id[host_id]
            revision = everywhere
            if is_local:
                revision = current.prepared.revision_of(host_id)
            members_by_id[host_id] = records.Member(
                host=entry.host,
                incarnation=entry.incarnation,
                state=entry.state,
                prepared_revision=revision,
                since_ms=current.members.since_ms_by_id[host_id],
            )
        self._cache_by_data_centre[data_centre] = (key, members_by_id)
        return members_by_id

    def _fingerprint(self, now_ms: int) -> tuple[object, ...]:
        """Returns what the view is built from, cheap to compare."""
        current = self._state
        return (
            current.members.revision,
            current.reachability.unreachable,
            current.prepared.complete_revision,
            barrier.prepared_everywhere(current, now_ms),
            self.is_fresh(now_ms),
        )
