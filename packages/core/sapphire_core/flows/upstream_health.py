"""The state of upstreams as hosts of their data centre observe it.

A host's own connections to an upstream count for more than the answer of its
health endpoint, which may be late or wrong. Of the connections only new ones
count: an open connection that gets no response does not fail an upstream that
answers new ones.
"""

import dataclasses

from sapphire_core.flows import data

FAILURES_TO_FAIL = 3
FAILING_TIME_MS = 1_000
SUCCESSES_TO_RECOVER = 2
# A failed health check counts for nothing within this time after a connection
# of this host's own that was answered.
OWN_CONNECTION_VALID_MS = 5_000


@dataclasses.dataclass(slots=True)
class _Record:
    """What this host has observed of one upstream.

    Attributes:
        boot_id: The identity of its process, empty if unknown.
        failures: The number of failed new connections in a row.
        first_failure_ms: The time of the first of these failures.
        successes: The number of successful new connections in a row.
        tried_ms: The time of the last new connection, None before the first.
        state: The state that this host proposed or the hosts agreed on last.
    """

    boot_id: str = ""
    failures: int = 0
    first_failure_ms: int = 0
    successes: int = 0
    tried_ms: int | None = None
    state: data.ObservedState = data.ObservedState.NORMAL


class UpstreamHealth:
    """Proposes new states of upstreams from connections and health checks.

    It is to be used by a host for upstreams of its own data centre, if that has
    any hosts, so that a broken path between two data centres does not make
    upstreams fail for all hosts.
    """

    def __init__(self) -> None:
        self._records_by_upstream: dict[str, _Record] = {}

    def set_agreed_state(self, observation: data.UpstreamObservation) -> None:
        """Replaces the state of an upstream by the one that hosts agreed on.

        Args:
            observation: The observation in force.
        """
        record = self._record(observation.upstream)
        record.state = observation.state
        if observation.boot_id:
            record.boot_id = observation.boot_id

    def record_boot_id(
        self, upstream: str, boot_id: str, version: int
    ) -> data.UpstreamObservation | None:
        """Records the process identity that a response of an upstream carried.

        Args:
            upstream: The upstream.
            boot_id: The identity of its process.
            version: The version of its observation in force, 0 for none.

        Returns:
            A proposal that it is cold, if it has restarted; else None.
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
        """Records the outcome of a new connection from this host.

        The upstream fails after `FAILURES_TO_FAIL` failures in a row over at
        least `FAILING_TIME_MS`.

        Args:
            upstream: The upstream.
            is_answered: Whether it was answered rather than reset or lost.
            version: The version of its observation in force, 0 for none.
            now_ms: The current time.

        Returns:
            A proposal if its state changes; else None.
        """
        record = self._record(upstream)
        record.tried_ms = now_ms
        if is_answered:
            return self._record_success(upstream, record, version)
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
        """Applies the result of a health check.

        An unhealthy result fails an upstream unless this host's own connections
        were answered lately. A healthy result never clears a failure.

        Args:
            upstream: The upstream.
            is_healthy: Whether its health endpoint reports it as healthy.
            version: The version of its observation in force, 0 for none.
            now_ms: The current time.

        Returns:
            A proposal if its state changes; else None.
        """
        record = self._record(upstream)
        if is_healthy or record.state is data.ObservedState.FAILED:
            return None
        was_tried = record.tried_ms is not None and (
            now_ms - record.tried_ms < OWN_CONNECTION_VALID_MS
        )
        if was_tried and record.failures == 0:
            return None
        return self._propose(
            upstream, record, data.ObservedState.FAILED, version
        )

    def _record_success(
        self, upstream: str, record: _Record, version: int
    ) -> data.UpstreamObservation | None:
        """Counts a success; after enough of them a failed upstream is cold."""
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
        """Returns the observation that replaces the one in force."""
        record.state = state
        record.successes = 0
        return data.UpstreamObservation(
            upstream, state, record.boot_id, version + 1
        )

    def _record(self, upstream: str) -> _Record:
        """Returns the record of an upstream, creating it if it is missing."""
        return self._records_by_upstream.setdefault(upstream, _Record())
