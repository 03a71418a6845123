"""Builds the membership view that other parts of the host use."""

import types

from sapphire_core.membership import barrier
from sapphire_core.membership import state
from sapphire_data import records


class ViewBuilder:
    """Builds views and detects whether a new one is needed.

    The members of each data centre are cached until they change.
    """

    def __init__(self, shared: state.State) -> None:
        self._state = shared
        self._built_fingerprint: tuple[object, ...] = ()
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
        """Returns whether the view would differ from the one built last.

        Args:
            now_ms: The time in milliseconds.
        """
        return self._fingerprint(now_ms) != self._built_fingerprint

    def build(self, now_ms: int) -> records.MemberView:
        """Builds the current view.

        Args:
            now_ms: The time in milliseconds.
        """
        current = self._state
        self._built_fingerprint = self._fingerprint(now_ms)
        prepared_everywhere = barrier.prepared_everywhere(current, now_ms)
        members_by_id = dict(self._members(current.own.host.data_centre, 0))
        for name in current.reachable_data_centres():
            members_by_id.update(self._members(name, prepared_everywhere))
        return records.MemberView(
            members_by_id=types.MappingProxyType(members_by_id),
            is_fresh=self.is_fresh(now_ms),
            prepared_everywhere=prepared_everywhere,
        )

    def _members(
        self, data_centre: str, common_revision: int
    ) -> dict[str, records.Member]:
        """Returns the members of a data centre, from the cache if unchanged.

        Args:
            data_centre: The data centre.
            common_revision: The revision that all hosts of another data centre
                have prepared; not used for the own one.
        """
        current = self._state
        is_local = data_centre == current.own.host.data_centre
        if is_local:
            common_revision = current.prepared.complete_revision
        key = (
            current.members.revision_by_data_centre[data_centre],
            common_revision,
        )
        cached = self._cache_by_data_centre.get(data_centre)
        if cached is not None and cached[0] == key:
            return cached[1]
        members_by_id: dict[str, records.Member] = {}
        for host_id in current.members.live_ids(data_centre):
            entry = current.members.entries_by_id[host_id]
            revision = common_revision
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
        """Returns the values whose change requires a new view.

        What single hosts have prepared is not among them; a new view is needed
        once all hosts of the own data centre have prepared a revision.
        """
        current = self._state
        return (
            current.members.revision,
            current.reachability.unreachable,
            current.prepared.complete_revision,
            barrier.prepared_everywhere(current, now_ms),
            self.is_fresh(now_ms),
        )
