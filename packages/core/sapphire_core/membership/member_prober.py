"""Probes of other hosts, direct and indirect, and answers to theirs."""

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
class _Forward:
    """A probe in place of another host.

    Attributes:
        requester_id: The host that asked for it.
        number: The number of that host's probe.
    """

    requester_id: str
    number: int


class MemberProber:
    """Finds which hosts answer, and answers their probes."""

    def __init__(self, shared: state.State, merger: merging.Merger) -> None:
        self._state = shared
        self._merger = merger
        self._failure_detector = failure_detector.FailureDetector(
            shared, merger
        )
        self._pending_probes = pending_probes.PendingProbes()
        self._order = pending_probes.ProbeOrder(shared.rng)
        self._target_selector = probe_targets.ProbeTargetSelector(
            shared, merger
        )
        self._forwards_by_number: dict[int, _Forward] = {}
        self._next_probe_ms = 0

    def pause(self, pause_ms: int) -> None:
        """Drops the probes of before a pause of this host.

        Args:
            pause_ms: The length of the pause in milliseconds.
        """
        self._pending_probes.drop_all()
        self._forwards_by_number.clear()
        self._state.suspicions.extend_all(pause_ms)

    def on_message(self, message: data.GossipMessage, now_ms: int) -> None:
        """Takes a message whose entries have been merged.

        Args:
            message: The message.
            now_ms: The time in milliseconds.
        """
        origin_id = message.origin.host.host_id
        self._failure_detector.note_heard(origin_id, now_ms)
        if message.kind is data.MessageKind.PING:
            self._answer(message, now_ms)
            return
        self._tell_if_doubted(message.origin, now_ms)
        if message.kind is data.MessageKind.INDIRECT_PING:
            self._forward(message, now_ms)
            return
        if message.kind is data.MessageKind.ACK:
            self._on_ack(message, now_ms)

    def forget_unknown(self) -> None:
        """Forgets when hosts were heard that are no longer known."""
        self._failure_detector.forget_unknown()

    def tick(self, now_ms: int) -> None:
        """Sends the probes that are due and draws the verdicts.

        Args:
            now_ms: The time in milliseconds.
        """
        settings = self._state.settings
        for probe in self._pending_probes.due_indirect(
            now_ms, settings.ack_timeout_ms
        ):
            self._ask_others(probe, now_ms)
        for probe in self._pending_probes.close_failed(
            now_ms, settings.probe_interval_ms
        ):
            self._forwards_by_number.pop(probe.number, None)
            if probe.is_local:
                self._failure_detector.on_failed(probe, now_ms)
        for entry in self._failure_detector.close_suspicions(now_ms):
            self._probe_doubted(entry, now_ms)
        self._merger.rejoin_if_due(now_ms)
        if now_ms >= self._next_probe_ms:
            self._next_probe_ms = now_ms + settings.probe_interval_ms
            self._probe_next(now_ms)
        for contact in self._target_selector.due(now_ms):
            self._contact(contact, now_ms)

    def _probe_next(self, now_ms: int) -> None:
        """Probes the next host of the own data centre."""
        current = self._state
        host_id = self._order.next_id(
            current.local_peer_ids(),
            current.members.live_ids(current.own.host.data_centre),
        )
        if host_id is None:
            return
        probe = self._pending_probes.open(host_id, now_ms, is_local=True)
        self._ping(current.members.entries_by_id[host_id], probe, now_ms)

    def _contact(self, contact: probe_targets.ProbeTarget, now_ms: int) -> None:
        """Probes a host elsewhere or an address of no known host."""
        probe = self._pending_probes.open(
            contact.host_id, now_ms, is_local=False
        )
        entry = self._state.members.entries_by_id.get(contact.host_id)
        if entry is not None:
            self._ping(entry, probe, now_ms)
            return
        message = self._state.message(data.MessageKind.PING, probe.number)
        self._state.outbox.send_plain(
            contact.seed.address, contact.seed.control_port, message
        )

    def _ping(
        self, target: data.MemberEntry, probe: pending_probes.Probe, now_ms: int
    ) -> None:
        """Sends a probe that tells the target of a doubt about it."""
        message = self._state.message(data.MessageKind.PING, probe.number)
        message = self._with_doubt(message, target)
        if self._state.is_remote(target):
            message = self._with_relayed(message, now_ms)
        self._state.outbox.send(target.host, message, now_ms)

    def _answer(self, message: data.GossipMessage, now_ms: int) -> None:
        """Answers a probe."""
        origin = message.origin
        known = self._state.members.entries_by_id.get(origin.host.host_id)
        answer = self._state.message(data.MessageKind.ACK, message.number)
        answer = self._with_doubt(answer, known or origin)
        self._state.outbox.send(origin.host, answer, now_ms)

    def _tell_if_doubted(self, origin: data.MemberEntry, now_ms: int) -> None:
        """Tells a host that is heard that it is not held as live."""
        known = self._state.members.entries_by_id.get(origin.host.host_id)
        if known is None or not _is_doubted(known):
            return
        self._probe_doubted(known, now_ms)

    def _probe_doubted(self, entry: data.MemberEntry, now_ms: int) -> None:
        """Tells a host by a probe that it is not held as live."""
        probe = self._pending_probes.open(
            entry.host.host_id, now_ms, is_local=False
        )
        self._ping(entry, probe, now_ms)

    def _forward(self, message: data.GossipMessage, now_ms: int) -> None:
        """Probes a host in place of another one."""
        target = self._state.members.live_entry(message.subject)
        if target is None:
            return
        probe = self._pending_probes.open(
            message.subject, now_ms, is_local=False
        )
        self._forwards_by_number[probe.number] = _Forward(
            message.origin.host.host_id, message.number
        )
        self._ping(target, probe, now_ms)

    def _on_ack(self, message: data.GossipMessage, now_ms: int) -> None:
        """Takes the answer to a probe."""
        current = self._state
        probe = self._pending_probes.probes_by_number.get(message.number)
        if probe is None:
            return
        if message.subject and message.subject != probe.target_id:
            return
        own_id = current.own.host.host_id
        is_doubted = any(
            entry.host.host_id == own_id and _is_doubted(entry)
            for entry in message.members
        )
        if not is_doubted:
            current.freshness.confirm(probe.sent_ms)
        if current.is_remote(message.origin):
            data_centre = message.origin.host.data_centre
            current.reachability.on_answer(data_centre, now_ms)
        del self._pending_probes.probes_by_number[message.number]
        if message.subject:
            self._failure_detector.note_heard(message.subject, now_ms)
        forward = self._forwards_by_number.pop(message.number, None)
        if forward is None:
            return
        requester = current.members.live_entry(forward.requester_id)
        if requester is None:
            return
        answer = current.message(
            data.MessageKind.ACK, forward.number, subject=probe.target_id
        )
        answer = self._with_doubt(answer, requester)
        current.outbox.send(requester.host, answer, now_ms)

    def _ask_others(self, probe: pending_probes.Probe, now_ms: int) -> None:
        """Asks other hosts to probe one that has not answered."""
        current = self._state
        helper_ids = current.pick_local(
            current.settings.indirect_probes, excluded_id=probe.target_id
        )
        for helper_id in helper_ids:
            message = current.message(
                data.MessageKind.INDIRECT_PING,
                probe.number,
                subject=probe.target_id,
            )
            helper = current.members.entries_by_id[helper_id].host
            current.outbox.send(helper, message, now_ms)

    def _with_relayed(
        self, message: data.GossipMessage, now_ms: int
    ) -> data.GossipMessage:
        """Adds what the own data centre has prepared.

        A host that has just become a relay elsewhere learns it by this.
        """
        own_data_centre = self._state.own.host.data_centre
        key = fact_scope.relayed_key(own_data_centre)
        fact = self._state.facts.get(key, now_ms)
        if fact is None:
            return message
        return dataclasses.replace(message, facts=(fact,))

    def _with_doubt(
        self, message: data.GossipMessage, target: data.MemberEntry
    ) -> data.GossipMessage:
        """Adds the entry of the receiver if it is not held as live."""
        if not _is_doubted(target):
            return message
        return dataclasses.replace(message, members=(target,))


def _is_doubted(entry: data.MemberEntry) -> bool:
    """Returns whether a host has to hear what is said of it."""
    return entry.state in (
        records.MemberState.SUSPECT,
        records.MemberState.DEAD,
    )
