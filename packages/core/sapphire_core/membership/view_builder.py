"""The view of the membership that other parts read."""

import types

from sapphire_core.membership import reachability
from sapphire_core.membership import state
from sapphire_data import records


class ViewBuilder:
    """Builds a view when something in it has changed."""

    def __init__(self, shared: state.State) -> None:
        self._state = shared
        self._built: tuple[object, ...] = ()

    def is_fresh(self, now_ms: int) -> bool:
        """Returns whether peers confirmed this host recently enough.

        Args:
            now_ms: The time in milliseconds.
        """
        current = self._state
        if current.rejoin_ms is not None:
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
        revisions = self._revisions(now_ms)
        own_data_centre = current.own.host.data_centre
        members_by_id: dict[str, records.Member] = {}
        for name, prepared_revision in revisions.items():
            is_local = name == own_data_centre
            for host_id in current.hosts.live_ids(name):
                entry = current.hosts.entries_by_id[host_id]
                revision = prepared_revision
                if is_local:
                    revision = current.prepared.revision_of(host_id)
                members_by_id[host_id] = records.Member(
                    host=entry.host,
                    incarnation=entry.incarnation,
                    state=entry.state,
                    prepared_revision=revision,
                    since_ms=current.hosts.since_ms_by_id[host_id],
                )
        return records.MemberView(
            members_by_id=types.MappingProxyType(members_by_id),
            is_fresh=self.is_fresh(now_ms),
            prepared_everywhere=reachability.prepared_everywhere(revisions),
        )

    def _revisions(self, now_ms: int) -> dict[str, int]:
        """Returns what each data centre in reach has prepared."""
        current = self._state
        own_data_centre = current.own.host.data_centre
        revisions = {own_data_centre: current.prepared.complete_revision}
        for name in current.other_data_centres():
            if name in current.reachability.unreachable:
                continue
            key = reachability.prepared_key(name)
            fact = current.facts.get(key, now_ms)
            revisions[name] = fact.version if fact is not None else 0
        return revisions

    def _fingerprint(self, now_ms: int) -> tuple[object, ...]:
        """Returns what the view is built from, cheap to compare."""
        current = self._state
        return (
            current.hosts.revision,
            current.reachability.unreachable,
            tuple(self._revisions(now_ms).items()),
            self.is_fresh(now_ms),
        )
