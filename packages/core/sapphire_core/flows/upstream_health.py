"""The state of upstreams as the hosts of their data centre observe it.

What a host saw itself counts for more than what an upstream's endpoints say,
which lag or mislead. Only new connections judge an upstream: one connection
that has gone silent does not fail an upstream that answers new ones.
"""

import dataclasses

from sapphire_core.flows import data

FAILURES_TO_FAIL = 3
FAILING_TIME_MS = 1_000
SUCCESSES_TO_RECOVER = 2
# An endpoint may speak for an upstream that this host has not tried lately.
OWN_EVIDENCE_MS = 5_000


@dataclasses.dataclass(slots=True)
class _Record:
    """What is known of one upstream.

    Attributes:
        boot_id: The identity of its process, empty if unknown.
        failures: Failed new connections in a row.
        first_failure_ms: The time of the first of them.
        successes: Successful new connections in a row.
        tried_ms: When a new connection was last tried.
        state: The state that was proposed last.
    """

    boot_id: str = ""
    failures: int = 0
    first_failure_ms: int = 0
    successes: int = 0
    tried_ms: int | None = None
    state: data.ObservedState = data.ObservedState.NORMAL


class UpstreamHealth:
    """Turns observations of upstreams into proposals of overlays.

    A host reports on upstreams of its own data centre only, so that a broken
    path between data centres does not fail their upstreams for all.
    """

    def __init__(self) -> None:
        self._records_by_upstream: dict[str, _Record] = {}

    def set_agreed_state(self, overlay: data.UpstreamObservation) -> None:
        """Takes the state that the hosts have agreed on.

        Args:
            overlay: The overlay in force.
        """
        record = self._record(overlay.upstream)
        record.state = overlay.state
        if overlay.boot_id:
            record.boot_id = overlay.boot_id

    def record_boot_id(
        self, upstream: str, boot_id: str, version: int
    ) -> data.UpstreamObservation | None:
        """Takes the process identity that an answer of an upstream carried.

        Args:
            upstream: The upstream.
            boot_id: The identity of its process.
            version: The version of its overlay in force, 0 for none.

        Returns:
            A proposal that it turned cold, if it has started anew.
        """
        record = self._record(upstream)
        if not record.boot_id or record.boot_id == boot_id:
            record.boot_id = boot_id
            return None
        record.boot_id = boot_id
        record.failures = 0
        return self._propose(upstream, record, data.ObservedState.COLD, version)

    def record_connection(
        self, upstream: str, is_answered: bool, version: int, now_ms: int
    ) -> data.UpstreamObservation | None:
        """Takes the outcome of a new connection of this host's own.

        Args:
            upstream: The upstream.
            is_answered: Whether it was answered rather than reset or lost.
            version: The version of its overlay in force, 0 for none.
            now_ms: The current time.

        Returns:
            A proposal if its state changes.
        """
        record = self._record(upstream)
        record.tried_ms = now_ms
        if is_answered:
            return self._note_success(upstream, record, version)
        record.successes = 0
        if record.failures == 0:
            record.first_failure_ms = now_ms
        record.failures += 1
        if record.state is data.ObservedState.FAILED:
            return None
        if record.failures < FAILURES_TO_FAIL:
            return None
        if now_ms - record.first_failure_ms < FAILING_TIME_MS:
            return None
        return self._propose(
            upstream, record, data.ObservedState.FAILED, version
        )

    def record_health_check(
        self, upstream: str, is_healthy: bool, version: int, now_ms: int
    ) -> data.UpstreamObservation | None:
        """Takes what an upstream's health endpoint says.

        It fails an upstream only in the absence of newer evidence of this
        host's own, and never clears a failure.

        Args:
            upstream: The upstream.
            is_healthy: What the endpoint says.
            version: The version of its overlay in force, 0 for none.
            now_ms: The current time.

        Returns:
            A proposal if its state changes.
        """
        record = self._record(upstream)
        if is_healthy or record.state is data.ObservedState.FAILED:
            return None
        is_tried = record.tried_ms is not None and (
            now_ms - record.tried_ms < OWN_EVIDENCE_MS
        )
        if is_tried and record.failures == 0:
            return None
        return self._propose(
            upstream, record, data.ObservedState.FAILED, version
        )

    def _note_success(
        self, upstream: str, record: _Record, version: int
    ) -> data.UpstreamObservation | None:
        """Counts a success; a failed upstream comes back cold."""
        record.failures = 0
        record.successes += 1
        if record.state is not data.ObservedState.FAILED:
            return None
        if record.successes < SUCCESSES_TO_RECOVER:
            return None
        return self._propose(upstream, record, data.ObservedState.COLD, version)

    def _propose(
        self,
        upstream: str,
        record: _Record,
        state: data.ObservedState,
        version: int,
    ) -> data.UpstreamObservation:
        """Returns the overlay that follows the one in force."""
        record.state = state
        record.successes = 0
        return data.UpstreamObservation(
            upstream, state, record.boot_id, version + 1
        )

    def _record(self, upstream: str) -> _Record:
        """Returns the record of an upstream."""
        return self._records_by_upstream.setdefault(upstream, _Record())
