"""Probes other hosts, directly and indirectly, and answers their probes.

The protocol is SWIM: each interval one local host is probed; if it does not
answer, peers are asked to probe it as well.
"""

import dataclasses

from sapphire_core.membership import data
from sapphire_core.membership import fact_scope
from sapphire_core.membership import failure_detector
from sapphire_core.membership import merging
from sapphire_core.membership import pending_probes
from sapphire_core.membership import probe_targets
from sapphire_core.membership import state
from sapphire_data import records


@dataclasses.dataclass(frozen=True, slots=True)
class _IndirectRequest:
    """A request of another host for an indirect probe.

    Attributes:
        requester_id: The host that requested it.
        number: The number of the requester's own probe.
    """

    requester_id: str
    number: int


class MemberProber:
    """Sends probes, handles their answers and answers the probes of others."""

    def __init__(self, shared: state.State, merger: merging.Merger) -> None:
        self._state = shared
        self._merger = merger
        self._failure_detector = failure_detector.FailureDetector(
            shared, merger
        )
        self._pending_probes = pending_probes.PendingProbes()
        self._probe_order = pending_probes.ProbeOrder(shared.rng)
        self._target_selector = probe_targets.ProbeTargetSelector(
            shared, merger
        )
        self._indirect_requests_by_number: dict[int, _IndirectRequest] = {}
        self._next_probe_ms = 0

    def handle_stall(self, stall_ms: int) -> None:
        """Discards the pending probes after a stall of this process.

        The deadlines of suspicions are extended by the length of the stall.

        Args:
            stall_ms: The length of the stall in milliseconds.
        """
        self._pending_probes.clear()
        self._indirect_requests_by_number.clear()
        self._state.suspicions.extend_all(stall_ms)

    def handle_message(self, message: data.GossipMessage, now_ms: int) -> None:
        """Handles a message whose entries have been merged.

        Args:
            message: The message.
            now_ms: The time in milliseconds.
        """
        origin_id = message.origin.host.host_id
        self._failure_detector.record_contact(origin_id, now_ms)
        if message.kind is data.MessageKind.PING:
            self._send_ack(message, now_ms)
            return
        self._probe_if_suspect_or_dead(message.origin, now_ms)
        if message.kind is data.MessageKind.INDIRECT_PING:
            self._probe_for_requester(message, now_ms)
            return
        if message.kind is data.MessageKind.ACK:
            self._handle_ack(message, now_ms)

    def evict_unknown(self) -> None:
        """Evicts the times of contact with hosts that are no longer known."""
        self._failure_detector.evict_unknown()

    def tick(self, now_ms: int) -> None:
        """Sends the probes that are due and handles those that timed out.

        Args:
            now_ms: The time in milliseconds.
        """
        settings = self._state.settings
        for probe in self._pending_probes.take_due_indirect(
            now_ms, settings.ack_timeout_ms
        ):
            self._request_indirect_probes(probe, now_ms)
        for probe in self._pending_probes.remove_timed_out(
            now_ms, settings.probe_interval_ms
        ):
            self._indirect_requests_by_number.pop(probe.number, None)
            if probe.triggers_suspicion:
                self._failure_detector.handle_failed_probe(probe, now_ms)
        for entry in self._failure_detector.resolve_expired_suspicions(now_ms):
            self._probe_suspect_or_dead(entry, now_ms)
        self._merger.rejoin_if_due(now_ms)
        if now_ms >= self._next_probe_ms:
            self._next_probe_ms = now_ms + settings.probe_interval_ms
            self._probe_next_local(now_ms)
        for target in self._target_selector.due_targets(now_ms):
            self._probe_target(target, now_ms)

    def _probe_next_local(self, now_ms: int) -> None:
        """Probes the next host of the own data centre."""
        current = self._state
        host_id = self._probe_order.next_target(
            current.local_peer_ids(),
            current.members.live_ids(current.own.host.data_centre),
        )
        if host_id is None:
            return
        probe = self._pending_probes.open(
            host_id, now_ms, triggers_suspicion=True
        )
        self._ping(current.members.entries_by_id[host_id], probe, now_ms)

    def _probe_target(
        self, target: probe_targets.ProbeTarget, now_ms: int
    ) -> None:
        """Probes a host of another data centre or an unknown address."""
        probe = self._pending_probes.open(
            target.host_id, now_ms, triggers_suspicion=False
        )
        entry = self._state.members.entries_by_id.get(target.host_id)
        if entry is not None:
            self._ping(entry, probe, now_ms)
            return
        message = self._state.new_message(data.MessageKind.PING, probe.number)
        self._state.outbox.send_without_updates(
            target.seed.address, target.seed.control_port, message
        )

    def _ping(
        self, target: data.MemberEntry, probe: pending_probes.Probe, now_ms: int
    ) -> None:
        """Sends a probe.

        If the target is suspect or dead, the probe carries its entry, so that
        the target can refute it.
        """
        message = self._state.new_message(data.MessageKind.PING, probe.number)
        message = self._with_entry_to_refute(message, target)
        if self._state.is_remote(target):
            message = self._with_relayed_revision(message, now_ms)
        self._state.outbox.send(target.host, message, now_ms)

    def _send_ack(self, message: data.GossipMessage, now_ms: int) -> None:
        """Answers a probe; see `_ping` for a suspect or dead sender."""
        origin = message.origin
        known = self._state.members.entries_by_id.get(origin.host.host_id)
        answer = self._state.new_message(data.MessageKind.ACK, message.number)
        answer = self._with_entry_to_refute(answer, known or origin)
        self._state.outbox.send(origin.host, answer, now_ms)

    def _probe_if_suspect_or_dead(
        self, origin: data.MemberEntry, now_ms: int
    ) -> None:
        """Probes the sender of a message if it is known as suspect or dead."""
        known = self._state.members.entries_by_id.get(origin.host.host_id)
        if known is None or not _is_suspect_or_dead(known):
            return
        self._probe_suspect_or_dead(known, now_ms)

    def _probe_suspect_or_dead(
        self, entry: data.MemberEntry, now_ms: int
    ) -> None:
        """Probes a suspect or dead host so that it can refute its entry."""
        probe = self._pending_probes.open(
            entry.host.host_id, now_ms, triggers_suspicion=False
        )
        self._ping(entry, probe, now_ms)

    def _probe_for_requester(
        self, message: data.GossipMessage, now_ms: int
    ) -> None:
        """Sends an indirect probe for the host that requested it."""
        target = self._state.members.live_entry(message.subject)
        if target is None:
            return
        probe = self._pending_probes.open(
            message.subject, now_ms, triggers_suspicion=False
        )
        self._indirect_requests_by_number[probe.number] = _IndirectRequest(
            message.origin.host.host_id, message.number
        )
        self._ping(target, probe, now_ms)

    def _handle_ack(self, message: data.GossipMessage, now_ms: int) -> None:
        """Records the answer to a probe, and forwards it if requested."""
        current = self._state
        probe = self._pending_probes.probes_by_number.get(message.number)
        if probe is None:
            return
        if message.subject and message.subject != probe.target_id:
            return
        own_id = current.own.host.host_id
        is_refutable = any(
            entry.host.host_id == own_id and _is_suspect_or_dead(entry)
            for entry in message.members
        )
        if not is_refutable:
            current.freshness.record_confirmation(probe.sent_ms)
        if current.is_remote(message.origin):
            data_centre = message.origin.host.data_centre
            current.reachability.record_answer(data_centre, now_ms)
        del self._pending_probes.probes_by_number[message.number]
        if message.subject:
            self._failure_detector.record_contact(message.subject, now_ms)
        request = self._indirect_requests_by_number.pop(message.number, None)
        if request is None:
            return
        requester = current.members.live_entry(request.requester_id)
        if requester is None:
            return
        answer = current.new_message(
            data.MessageKind.ACK, request.number, subject=probe.target_id
        )
        answer = self._with_entry_to_refute(answer, requester)
        current.outbox.send(requester.host, answer, now_ms)

    def _request_indirect_probes(
        self, probe: pending_probes.Probe, now_ms: int
    ) -> None:
        """Asks peers to probe a host that has not answered directly."""
        current = self._state
        helper_ids = current.sample_local_peers(
            current.settings.indirect_probes, excluded_id=probe.target_id
        )
        for helper_id in helper_ids:
            message = current.new_message(
                data.MessageKind.INDIRECT_PING,
                probe.number,
                subject=probe.target_id,
            )
            helper = current.members.entries_by_id[helper_id].host
            current.outbox.send(helper, message, now_ms)

    def _with_relayed_revision(
        self, message: data.GossipMessage, now_ms: int
    ) -> data.GossipMessage:
        """Adds the revision that the hosts of this data centre have prepared.

        A host of another data centre that has just become a relay thus learns
        this revision.
        """
        own_data_centre = self._state.own.host.data_centre
        key = fact_scope.relayed_key(own_data_centre)
        fact = self._state.facts.get(key, now_ms)
        if fact is None:
            return message
        return dataclasses.replace(message, facts=(fact,))

    def _with_entry_to_refute(
        self, message: data.GossipMessage, target: data.MemberEntry
    ) -> data.GossipMessage:
        """Adds the entry of the receiver if that is suspect or dead."""
        if not _is_suspect_or_dead(target):
            return message
        return dataclasses.replace(message, members=(target,))


def _is_suspect_or_dead(entry: data.MemberEntry) -> bool:
    """Returns whether the host of an entry may have to refute it."""
    return entry.state in (
        records.MemberState.SUSPECT,
        records.MemberState.DEAD,
    )
