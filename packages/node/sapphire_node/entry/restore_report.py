"""Reports what a restore of the store lost, and what was written again."""

import logging

from sapphire_core.replication import data
from sapphire_core.replication import replica
from sapphire_net import event_log

_LOG = logging.getLogger(__name__)

# By then, upstreams and hosts that live have written again: two seconds are
# asked of them, and the news reaches each host within another one or two.
REPORT_DELAY_MS = 5_000


class RestoreReport:
    """Collects what the scopes of a host lost by one restore of the store.

    Args:
        former_era: The era before.
        era: The era of the restored store.
        now_ms: When this host read the first scope of the restored store.

    Attributes:
        era: The era of the restored store.
    """

    def __init__(self, former_era: int, era: int, now_ms: int) -> None:
        self._former_era = former_era
        self.era = era
        self._started_ms = now_ms
        self._last_ms = now_ms
        self._missing_by_scope: dict[data.Scope, frozenset[str]] = {}
        self._masked_count = 0
        self._rewritten: set[tuple[data.Scope, str]] = set()

    def record_scope(
        self, scope: data.Scope, scope_replica: replica.Replica, now_ms: int
    ) -> None:
        """Records that a scope was read from the restored store.

        Args:
            scope: The scope.
            scope_replica: Its replica, just after that.
            now_ms: The current time.
        """
        self._missing_by_scope[scope] = scope_replica.missing_keys
        self._masked_count += len(scope_replica.masked_keys)
        self._last_ms = now_ms

    def record_changes(
        self, scope: data.Scope, items: list[data.Item], now_ms: int
    ) -> None:
        """Records changes that were made after that.

        Args:
            scope: The scope.
            items: The items that changed.
            now_ms: The current time.
        """
        missing = self._missing_by_scope.get(scope, frozenset())
        for item in items:
            if item.value is None or item.key not in missing:
                continue
            self._rewritten.add((scope, item.key))
            self._last_ms = now_ms

    def is_due(self, now_ms: int) -> bool:
        """Whether enough time has passed to log the report.

        Args:
            now_ms: The current time.
        """
        return now_ms - self._started_ms >= REPORT_DELAY_MS

    def log(self) -> None:
        """Logs the report as one line."""
        missing_count = sum(map(len, self._missing_by_scope.values()))
        event_log.log(
            _LOG,
            logging.INFO,
            "store_restored",
            former_era=self._former_era,
            era=self.era,
            scopes=len(self._missing_by_scope),
            missing=missing_count,
            written_again=len(self._rewritten),
            returned=self._masked_count,
            took_ms=self._last_ms - self._started_ms,
        )
