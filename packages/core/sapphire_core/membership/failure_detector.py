"""Suspects hosts that do not answer probes and declares them dead."""

import dataclasses

from sapphire_core.membership import data
from sapphire_core.membership import merging
from sapphire_core.membership import pending_probes
from sapphire_core.membership import state
from sapphire_data import records

# A host that has had no contact with any host since it sent the probe has more
# likely lost its own link, so it waits longer before it declares others dead.
_ISOLATED_SUSPICION_FACTOR = 2


class FailureDetector:
    """Determines the state of local hosts from failed probes and contacts.

    A contact with a host is a message from it, or an answer to an indirect
    probe of it.
    """

    def __init__(self, shared: state.State, merger: merging.Merger) -> None:
        self._state = shared
        self._merger = merger
        self._last_contact_ms_by_id: dict[str, int] = {}
        self._last_contact_ms: int | None = None

    def record_contact(self, host_id: str, now_ms: int) -> None:
        """Records a contact with a host.

        Args:
            host_id: The host.
            now_ms: The time in milliseconds.
        """
        self._last_contact_ms_by_id[host_id] = now_ms
        self._last_contact_ms = now_ms

    def evict_unknown(self) -> None:
        """Evicts the times of contact with hosts that are no longer known."""
        known = self._state.members.entries_by_id
        for host_id in list(self._last_contact_ms_by_id):
            if host_id not in known:
                del self._last_contact_ms_by_id[host_id]

    def handle_failed_probe(
        self, probe: pending_probes.Probe, now_ms: int
    ) -> None:
        """Suspects a host that answered neither directly nor indirectly.

        A leaving host is declared dead at once.

        Args:
            probe: The probe that timed out.
            now_ms: The time in milliseconds.
        """
        current = self._state
        entry = current.members.live_entry(probe.target_id)
        if entry is None:
            return
        if self._last_contact_ms_by_id.get(probe.target_id, -1) > probe.sent_ms:
            return
        if entry.state is records.MemberState.LEAVING:
            self._set_state(entry, records.MemberState.DEAD, now_ms)
            return
        if entry.state is records.MemberState.SUSPECT:
            return
        self._set_state(entry, records.MemberState.SUSPECT, now_ms)
        is_isolated = (
            self._last_contact_ms is None
            or self._last_contact_ms < probe.sent_ms
        )
        if is_isolated:
            delay_ms = current.settings.suspicion_ms
            delay_ms *= _ISOLATED_SUSPICION_FACTOR - 1
            current.suspicions.extend(probe.target_id, delay_ms)

    def resolve_expired_suspicions(self, now_ms: int) -> list[data.MemberEntry]:
        """Declares the suspected hosts dead whose deadline has passed.

        A suspected host with a recent contact gets more time instead.

        Args:
            now_ms: The time in milliseconds.

        Returns:
            The hosts that got more time: they are alive but have not refuted
            the suspicion, so they are to be notified of it.
        """
        current = self._state
        extended: list[data.MemberEntry] = []
        for host_id in current.suspicions.expired(now_ms):
            entry = current.members.entries_by_id[host_id]
            since_ms = current.members.since_ms_by_id[host_id]
            last_contact_ms = self._last_contact_ms_by_id.get(host_id, -1)
            oldest_ms = now_ms - current.settings.suspicion_ms
            if last_contact_ms > max(since_ms, oldest_ms):
                current.suspicions.extend(host_id, last_contact_ms - oldest_ms)
                extended.append(entry)
                continue
            self._set_state(entry, records.MemberState.DEAD, now_ms)
        return extended

    def _set_state(
        self,
        entry: data.MemberEntry,
        member_state: records.MemberState,
        now_ms: int,
    ) -> None:
        """Changes the state of a host and disseminates the change."""
        changed = dataclasses.replace(entry, state=member_state)
        self._merger.merge_member(changed, now_ms, is_remote=False)
