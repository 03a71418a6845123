"""The task that serves metrics.

Hot paths increment plain integers and append recent durations. The metrics
library is imported only when the metrics are first read: importing it takes a
fifth of the start-up time and a quarter of the memory of a host.
"""

import importlib
from typing import Any

from sapphire_core.replication import data as replication_data
from sapphire_data import clock as clock_lib
from sapphire_net import http1
from sapphire_node.entry import host_state

PATH = "/metrics"
_PREFIX = "sapphirearch.host"


class MetricsTask:
    """Serves the counters and durations of one process.

    Args:
        state: The state of the process.
        clock: The clock.
    """

    def __init__(
        self, state: host_state.HostState, clock: clock_lib.Clock
    ) -> None:
        self._state = state
        self._clock = clock
        self._metrics: Any = None
        self._histograms_by_name: dict[str, Any] = {}

    async def run(self) -> None:
        """Serves metrics until cancelled."""
        address = self._state.settings.metrics_address
        await http1.listen_and_serve(address, self.answer)

    async def answer(self, method: str, path: str) -> http1.Response:
        """Returns the response to one request."""
        if method != "GET" or path != PATH:
            return http1.Response(http1.NOT_FOUND, b"")
        return http1.Response(http1.OK, self.render())

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        if self._metrics is None:
            self._metrics = self._create_metrics()
        for name, histogram in self._histograms_by_name.items():
            durations_ms = self._state.durations_ms_by_name[name]
            while durations_ms:
                histogram.record(durations_ms.popleft())
        rendered: bytes = self._metrics.render()
        return rendered

    def _create_metrics(self) -> Any:
        """Imports the library and registers all instruments."""
        library = importlib.import_module("sapphire_net.metrics")
        metrics = library.Metrics(
            "sapphirearchd", self._state.settings.host_name
        )
        metrics.register_counter(
            f"{_PREFIX}.events",
            "{event}",
            "Events of this process by name, as its logs name them.",
            self._read_counts,
        )
        metrics.register_gauge(
            f"{_PREFIX}.knowledge.age",
            "ms",
            "The time since a source told of a scope of the store.",
            self._read_scope_ages,
        )
        metrics.register_gauge(
            f"{_PREFIX}.knowledge.revision",
            "{revision}",
            "The revision of the newest known change of a scope.",
            self._read_revisions,
        )
        metrics.register_gauge(
            f"{_PREFIX}.knowledge.era",
            "{era}",
            "The era of the store in which a scope is known.",
            self._read_eras,
        )
        metrics.register_gauge(
            f"{_PREFIX}.configuration.version",
            "{version}",
            "The version of the configuration that the host acts on.",
            self._read_configuration_version,
        )
        metrics.register_gauge(
            f"{_PREFIX}.state",
            "1",
            "Whether the host is ready, stopping, follows the store.",
            self._read_state,
        )
        for name in self._state.durations_ms_by_name:
            self._histograms_by_name[name] = metrics.meter.create_histogram(
                f"{_PREFIX}.{name}", unit="ms"
            )
        return metrics

    def _read_counts(self) -> dict[tuple[tuple[str, str], ...], float]:
        """Returns the counters by name."""
        return {
            (("event", name),): float(count)
            for name, count in self._state.counts.items()
        }

    def _read_scope_ages(self) -> dict[tuple[tuple[str, str], ...], float]:
        """Returns the time since the last store answer, by scope."""
        now_ms = self._clock.now_ms()
        return {
            _scope_attributes(scope): float(now_ms - answer_ms)
            for scope, answer_ms in self._state.store_answer_ms_by_scope.items()
        }

    def _read_revisions(self) -> dict[tuple[tuple[str, str], ...], float]:
        """Returns the revision of the newest known change, by scope."""
        return {
            _scope_attributes(scope): float(revision)
            for scope, revision in self._state.change_revision_by_scope.items()
        }

    def _read_eras(self) -> dict[tuple[tuple[str, str], ...], float]:
        """Returns the era of the store, by scope."""
        return {
            _scope_attributes(scope): float(era)
            for scope, era in self._state.era_by_scope.items()
        }

    def _read_configuration_version(
        self,
    ) -> dict[tuple[tuple[str, str], ...], float]:
        """Returns the version in force, nothing before the first."""
        version = self._state.configuration_version
        return {} if version is None else {(): float(version)}

    def _read_state(self) -> dict[tuple[tuple[str, str], ...], float]:
        """Returns the lifecycle flags of the process as 0 or 1."""
        return {
            (("state", "ready"),): float(self._state.is_ready),
            (("state", "stopping"),): float(self._state.is_leaving),
            (("state", "following"),): float(self._state.is_following_store),
        }


def _scope_attributes(
    scope: replication_data.Scope,
) -> tuple[tuple[str, str], ...]:
    """Returns the metric attributes that name a scope."""
    return (("scope", scope.name.lower()),)
