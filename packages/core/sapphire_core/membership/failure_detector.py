"""Which hosts are suspected and which are declared dead."""

import dataclasses

from sapphire_core.membership import data
from sapphire_core.membership import merging
from sapphire_core.membership import pending_probes
from sapphire_core.membership import state
from sapphire_data import records

# A host that hears from nobody doubts its own link before it doubts others.
_ISOLATED_SUSPICION_FACTOR = 2


class FailureDetector:
    """Judges hosts of the own data centre by what was heard from them."""

    def __init__(self, shared: state.State, merger: merging.Merger) -> None:
        self._state = shared
        self._merger = merger
        self._heard_ms_by_id: dict[str, int] = {}
        self._heard_ms: int | None = None

    def note_heard(self, host_id: str, now_ms: int) -> None:
        """Notes that a host was heard, or that another heard it just now.

        Args:
            host_id: The host.
            now_ms: The time in milliseconds.
        """
        self._heard_ms_by_id[host_id] = now_ms
        self._heard_ms = now_ms

    def forget_unknown(self) -> None:
        """Forgets when hosts were heard that are no longer known."""
        known = self._state.members.entries_by_id
        for host_id in list(self._heard_ms_by_id):
            if host_id not in known:
                del self._heard_ms_by_id[host_id]

    def on_failed(self, probe: pending_probes.Probe, now_ms: int) -> None:
        """Suspects a host that did not answer, directly or indirectly.

        Args:
            probe: The probe.
            now_ms: The time in milliseconds.
        """
        current = self._state
        entry = current.members.live_entry(probe.target_id)
        if entry is None:
            return
        if self._heard_ms_by_id.get(probe.target_id, -1) > probe.sent_ms:
            return
        if entry.state is records.MemberState.LEAVING:
            self._declare(entry, records.MemberState.DEAD, now_ms)
            return
        if entry.state is records.MemberState.SUSPECT:
            return
        self._declare(entry, records.MemberState.SUSPECT, now_ms)
        is_isolated = self._heard_ms is None or self._heard_ms < probe.sent_ms
        if is_isolated:
            delay_ms = current.settings.suspicion_ms
            delay_ms *= _ISOLATED_SUSPICION_FACTOR - 1
            current.suspicions.extend(probe.target_id, delay_ms)

    def close_suspicions(self, now_ms: int) -> list[data.MemberEntry]:
        """Declares suspected hosts dead whose time is over.

        Args:
            now_ms: The time in milliseconds.

        Returns:
            Those that were heard meanwhile: they live but have not learned of
            the suspicion yet, and have to be told.
        """
        current = self._state
        heard: list[data.MemberEntry] = []
        for host_id in current.suspicions.due(now_ms):
            entry = current.members.entries_by_id[host_id]
            since_ms = current.members.since_ms_by_id[host_id]
            heard_ms = self._heard_ms_by_id.get(host_id, -1)
            oldest_ms = now_ms - current.settings.suspicion_ms
            if heard_ms > max(since_ms, oldest_ms):
                current.suspicions.extend(host_id, heard_ms - oldest_ms)
                heard.append(entry)
                continue
            self._declare(entry, records.MemberState.DEAD, now_ms)
        return heard

    def _declare(
        self,
        entry: data.MemberEntry,
        member_state: records.MemberState,
        now_ms: int,
    ) -> None:
        """Changes the state of a host and passes it on."""
        changed = dataclasses.replace(entry, state=member_state)
        self._merger.merge_member(changed, now_ms, is_remote=False)
