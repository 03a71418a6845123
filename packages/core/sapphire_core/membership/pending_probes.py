"""The order in which hosts are probed, and the probes without an answer yet."""

import dataclasses
import random


@dataclasses.dataclass(slots=True)
class Probe:
    """A probe that waits for an answer.

    Attributes:
        number: The number of the probe, which the answer repeats.
        target_id: The host that is probed, or empty if the host at the probed
            address is not known.
        sent_ms: When the probe was sent, in milliseconds.
        triggers_suspicion: Whether its failure makes the target suspect. This
            holds for the regular probes of hosts in the own data centre.
        is_indirect_sent: Whether peers have been asked for indirect probes.
    """

    number: int
    target_id: str
    sent_ms: int
    triggers_suspicion: bool
    is_indirect_sent: bool = False


class ProbeOrder:
    """Selects each host once per round, in a new random order each round.

    This bounds the time between two probes of a host.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._remaining: list[str] = []

    def next_target(
        self, candidates: list[str], live_ids: set[str]
    ) -> str | None:
        """Returns the next host to probe.

        Args:
            candidates: The hosts to probe if a new round starts.
            live_ids: The hosts that are live now; others are skipped in a
                running round.

        Returns:
            The host, or None if there is none to probe.
        """
        while self._remaining:
            host_id = self._remaining.pop()
            if host_id in live_ids:
                return host_id
        if not candidates:
            return None
        self._remaining = list(candidates)
        self._rng.shuffle(self._remaining)
        return self._remaining.pop()


class PendingProbes:
    """The probes that wait for an answer.

    Attributes:
        probes_by_number: The probes by number.
    """

    def __init__(self) -> None:
        self.probes_by_number: dict[int, Probe] = {}
        self._last_number = 0

    def open(
        self, target_id: str, now_ms: int, triggers_suspicion: bool
    ) -> Probe:
        """Adds a probe with the next number.

        Args:
            target_id: The host, or empty if it is not known.
            now_ms: The time in milliseconds.
            triggers_suspicion: Whether its failure makes the target suspect.

        Returns:
            The probe.
        """
        self._last_number += 1
        probe = Probe(self._last_number, target_id, now_ms, triggers_suspicion)
        self.probes_by_number[probe.number] = probe
        return probe

    def take_due_indirect(
        self, now_ms: int, ack_timeout_ms: int
    ) -> list[Probe]:
        """Returns the probes for which indirect probes are now to be requested.

        These are regular probes of local hosts; each is returned once.

        Args:
            now_ms: The time in milliseconds.
            ack_timeout_ms: The time allowed for a direct answer.
        """
        due: list[Probe] = []
        for probe in self.probes_by_number.values():
            if not probe.triggers_suspicion or probe.is_indirect_sent:
                continue
            if now_ms - probe.sent_ms < ack_timeout_ms:
                continue
            probe.is_indirect_sent = True
            due.append(probe)
        return due

    def remove_timed_out(self, now_ms: int, timeout_ms: int) -> list[Probe]:
        """Removes and returns the probes that have timed out.

        Args:
            now_ms: The time in milliseconds.
            timeout_ms: The time allowed for an answer, direct or indirect.
        """
        timed_out = [
            probe
            for probe in self.probes_by_number.values()
            if now_ms - probe.sent_ms >= timeout_ms
        ]
        for probe in timed_out:
            del self.probes_by_number[probe.number]
        return timed_out

    def clear(self) -> None:
        """Discards all probes, so that answers to them are ignored."""
        self.probes_by_number.clear()
