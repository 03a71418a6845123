"""When this host tells the others what it allows to cut."""

from sapphire_core.flows import history_permits
from sapphire_node import messages
from sapphire_wire import permit_facts

REFRESH_MS = 120_000
TTL_MS = 300_000


class PermitPublisher:
    """Makes one small fact of the reports of this host.

    Args:
        host_id: The identity of this host.
    """

    def __init__(self, host_id: str) -> None:
        self._key = permit_facts.KEY_PREFIX + host_id
        self._sent: history_permits.PermitReport | None = None
        self._sent_ms = 0
        # The identity of a host is new at each start, so counting is enough.
        self._version = 0

    def next_fact(
        self, report: history_permits.PermitReport, now_ms: int
    ) -> messages.PublishFact | None:
        """Returns the fact to publish, None if the others know enough.

        Args:
            report: What this host allows now.
            now_ms: The current time.
        """
        is_old = now_ms - self._sent_ms >= REFRESH_MS
        if self._sent is None or not self._sent.keep_from_by_service:
            # Others forget what is not refreshed, so nothing is said twice.
            if not report.keep_from_by_service:
                return None
        elif report == self._sent and not is_old:
            return None
        self._sent = report
        self._sent_ms = now_ms
        self._version += 1
        return messages.PublishFact(
            self._key, self._version, permit_facts.encode(report), TTL_MS
        )
