"""The task that truncates the histories of pool generations.

Each host publishes which truncations it permits. One host writes those that
all hosts permit to the store, as a new revision of the configuration.
"""

from collections.abc import Mapping
import logging

import anyio

from sapphire_core.flows import flow_table
from sapphire_core.flows import history_permits
from sapphire_core.flows import history_truncation
from sapphire_data import clock
from sapphire_data import records
from sapphire_net import event_log
from sapphire_net.store import client as store_client
from sapphire_net.store import environment as environments
from sapphire_node import components as components_lib
from sapphire_node.housekeeping import permit_publisher
from sapphire_node.housekeeping import truncation
from sapphire_wire import permit_facts

_LOGGER = logging.getLogger(__name__)

OBSERVATION_INTERVAL_MS = 500
RUN_INTERVAL_MS = 60_000
# Each host publishes one fact. Gossip holds at most 256 facts, most of which
# are needed for other purposes.
MAX_HOSTS = 64


async def run(components: components_lib.Components) -> None:
    """Publishes permits and truncates histories until cancelled.

    Args:
        components: The other tasks of the host. Their state is read, and the
            permits are sent to the control task.
    """
    settings = components.loaded.settings.store
    urls = [str(url) for url in settings.endpoints]
    async with store_client.open_http_client(urls[0]) as http:
        store = store_client.EtcdStore(http, urls[1:])
        environment = environments.Environment(store, settings.prefix)
        truncator = HistoryTruncator(components, environment)
        async with anyio.create_task_group() as tasks:
            # In a task of its own, since a slow store must not interrupt the
            # observation.
            tasks.start_soon(_observe_periodically, truncator)
            while True:
                if truncator.is_due():
                    await truncator.run_once()
                await anyio.sleep(OBSERVATION_INTERVAL_MS / clock.MS_PER_SECOND)


async def _observe_periodically(truncator: "HistoryTruncator") -> None:
    """Observes members and generations until cancelled."""
    while True:
        truncator.observe()
        await anyio.sleep(OBSERVATION_INTERVAL_MS / clock.MS_PER_SECOND)


class HistoryTruncator:
    """Publishes the permits of one host, and truncates if it is to do so.

    Args:
        components: The other tasks of the host.
        environment: The store of the environment and the names of its keys.
    """

    def __init__(
        self,
        components: components_lib.Components,
        environment: environments.Environment,
    ) -> None:
        now_ms = components.time.now_ms()
        self._components = components
        self._environment = environment
        self._stability_tracker = history_permits.StabilityTracker(
            flow_table.IDLE_PERIOD_MS, now_ms
        )
        self._publisher = permit_publisher.PermitPublisher(
            components.own_address.host_id
        )
        self._decider = history_truncation.TruncationDecider(
            components.own_address.host_id
        )
        self._last_run_ms = now_ms
        self._configuration: records.Configuration | None = None
        self._was_too_large = False

    def observe(self) -> None:
        """Records changes of the members and of the pool generations."""
        now_ms = self._components.time.now_ms()
        view = self._components.control_plane.membership.view()
        if self._is_too_large(view):
            return
        self._stability_tracker.record_view(view, now_ms)
        configuration = (
            self._components.configuration_sync.status().configuration
        )
        if (
            configuration is not None
            and configuration is not self._configuration
        ):
            self._configuration = configuration
            self._stability_tracker.record_configuration(configuration, now_ms)

    def is_due(self) -> bool:
        """Returns whether it is time for `run_once`."""
        return (
            self._components.time.now_ms() - self._last_run_ms
            >= RUN_INTERVAL_MS
        )

    async def run_once(self) -> None:
        """Publishes what this host permits, and truncates what all permit."""
        now_ms = self._components.time.now_ms()
        self._last_run_ms = now_ms
        view = self._components.control_plane.membership.view()
        if self._configuration is None or self._is_too_large(view):
            return
        report = self._report(now_ms)
        fact = self._publisher.next_fact(report, now_ms)
        if fact is not None:
            await self._components.to_control.send(fact)
        permits = self._collect_permits(report)
        if self._decider.decide(self._configuration, view, permits, now_ms):
            await self._truncate()

    def _is_too_large(self, view: records.MemberView) -> bool:
        """Returns whether the fleet is too large; logs when it becomes so."""
        hosts = len(view.members_by_id)
        is_too_large = hosts > MAX_HOSTS
        if is_too_large and not self._was_too_large:
            event_log.log(
                _LOGGER,
                logging.WARNING,
                "history_cuts_off",
                hosts=hosts,
                max_hosts=MAX_HOSTS,
            )
        self._was_too_large = is_too_large
        return is_too_large

    def _report(self, now_ms: int) -> history_permits.PermitReport:
        """Returns the truncations that this host permits now."""
        configuration = self._configuration
        if configuration is None:
            return history_permits.PermitReport(0, {})
        usages = self._components.forwarder.router.history_usage_reports(now_ms)
        return self._stability_tracker.report(configuration, usages, now_ms)

    def _collect_permits(
        self, own_report: history_permits.PermitReport
    ) -> Mapping[str, history_permits.PermitReport]:
        """Returns the newest report of each host, including this one.

        Args:
            own_report: The report of this host, which its published fact may
                lag behind.
        """
        permits_by_host = {}
        now_ms = self._components.time.now_ms()
        facts = self._components.control_plane.membership.facts(now_ms)
        for key, fact in facts.items():
            if not key.startswith(permit_facts.KEY_PREFIX):
                continue
            decoded = permit_facts.decode(fact.value)
            if decoded.is_error():
                event_log.log_failure(
                    _LOGGER, "permit_unreadable", decoded.error
                )
                continue
            host_id = key.removeprefix(permit_facts.KEY_PREFIX)
            permits_by_host[host_id] = decoded.ok
        permits_by_host[self._components.own_address.host_id] = own_report
        return permits_by_host

    def _agreed_truncations(
        self, configuration: records.Configuration
    ) -> dict[str, int]:
        """Returns the oldest generation to keep, by service.

        Args:
            configuration: The configuration in the store, which may be newer
                than that of this host.
        """
        self.observe()
        now_ms = self._components.time.now_ms()
        return self._decider.agreed_truncations(
            configuration,
            self._components.control_plane.membership.view(),
            self._collect_permits(self._report(now_ms)),
        )

    async def _truncate(self) -> None:
        """Truncates the histories in the store; later runs retry a failure."""
        outcome = await truncation.truncate_history(
            self._environment,
            self._agreed_truncations,
            self._components.own_address.host_id,
            self._components.time,
        )
        if outcome.is_error():
            event_log.log_failure(_LOGGER, "history_not_cut", outcome.error)
            return
        event_log.log(
            _LOGGER,
            logging.INFO,
            "history_cut",
            revision=outcome.ok.stored.revision,
        )
