"""Decides when a host publishes which truncations it permits."""

from sapphire_core.flows import history_permits
from sapphire_node import messages
from sapphire_wire import permit_facts

REFRESH_MS = 120_000
TTL_MS = 300_000


class PermitPublisher:
    """Turns the permit reports of a host into versions of one gossip fact.

    Args:
        host_id: The identity of this host.
    """

    def __init__(self, host_id: str) -> None:
        self._key = permit_facts.KEY_PREFIX + host_id
        self._published: history_permits.PermitReport | None = None
        self._published_ms = 0
        # A process gets a new host identity, and thus a new key, at each start,
        # so its versions may start at 0.
        self._version = 0

    def next_fact(
        self, report: history_permits.PermitReport, now_ms: int
    ) -> messages.PublishFact | None:
        """Returns the fact to publish, None if the published one is up to date.

        Args:
            report: What this host permits now.
            now_ms: The current time.
        """
        is_refresh_due = now_ms - self._published_ms >= REFRESH_MS
        if self._published is None or not self._published.keep_from_by_service:
            # No permits are published. An empty report needs no refresh, since
            # the last fact expires after its TTL.
            if not report.keep_from_by_service:
                return None
        elif report == self._published and not is_refresh_due:
            return None
        self._published = report
        self._published_ms = now_ms
        self._version += 1
        return messages.PublishFact(
            self._key, self._version, permit_facts.encode(report), TTL_MS
        )
