"""The order of probes and the probes that wait for an answer."""

import dataclasses
import random


@dataclasses.dataclass(slots=True)
class Probe:
    """A probe that waits for an answer.

    Attributes:
        number: Its number, which the answer repeats.
        target_id: The host that is probed, or empty for an address whose
            host is not known.
        sent_ms: When it was sent.
        is_local: Whether the target is in the own data centre.
        is_indirect_sent: Whether other hosts were asked to probe too.
    """

    number: int
    target_id: str
    sent_ms: int
    is_local: bool
    is_indirect_sent: bool = False


class ProbeOrder:
    """Visits all hosts once in a random order, then in another.

    The time to the next probe of each host is thus bounded.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._waiting: list[str] = []

    def next_id(self, candidates: list[str], live_ids: set[str]) -> str | None:
        """Returns the next host to probe.

        Args:
            candidates: The hosts of the next round.
            live_ids: The hosts that may be probed now.
        """
        while self._waiting:
            host_id = self._waiting.pop()
            if host_id in live_ids:
                return host_id
        if not candidates:
            return None
        self._waiting = list(candidates)
        self._rng.shuffle(self._waiting)
        return self._waiting.pop()


class PendingProbes:
    """The probes that wait for an answer, by number."""

    def __init__(self) -> None:
        self.probes_by_number: dict[int, Probe] = {}
        self._last_number = 0

    def open(self, target_id: str, now_ms: int, is_local: bool) -> Probe:
        """Opens a probe.

        Args:
            target_id: The host, or empty if it is not known.
            now_ms: The time in milliseconds.
            is_local: Whether the target is in the own data centre.

        Returns:
            The probe with its number.
        """
        self._last_number += 1
        probe = Probe(self._last_number, target_id, now_ms, is_local)
        self.probes_by_number[probe.number] = probe
        return probe

    def due_indirect(self, now_ms: int, ack_timeout_ms: int) -> list[Probe]:
        """Returns the local probes for which other hosts are to be asked.

        Args:
            now_ms: The time in milliseconds.
            ack_timeout_ms: The time that the direct answer had.
        """
        due: list[Probe] = []
        for probe in self.probes_by_number.values():
            if not probe.is_local or probe.is_indirect_sent:
                continue
            if now_ms - probe.sent_ms < ack_timeout_ms:
                continue
            probe.is_indirect_sent = True
            due.append(probe)
        return due

    def close_failed(self, now_ms: int, timeout_ms: int) -> list[Probe]:
        """Closes and returns the probes that got no answer in time.

        Args:
            now_ms: The time in milliseconds.
            timeout_ms: The time that the answer had.
        """
        failed = [
            probe
            for probe in self.probes_by_number.values()
            if now_ms - probe.sent_ms >= timeout_ms
        ]
        for probe in failed:
            del self.probes_by_number[probe.number]
        return failed

    def drop_all(self) -> None:
        """Forgets all probes; answers that still arrive confirm nothing."""
        self.probes_by_number.clear()
