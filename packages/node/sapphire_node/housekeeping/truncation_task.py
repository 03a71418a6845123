"""The task that reports what this host allows, and cuts what all allow."""

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

WATCH_MS = 500
REPORT_MS = 60_000
# The gossip holds 256 facts and has other uses for most of them.
MAX_HOSTS = 64


async def run(components: components_lib.Components) -> None:
    """Keeps the pool histories short until cancelled.

    Args:
        components: The other tasks; their state is only read here.
    """
    settings = components.loaded.settings.store
    urls = [str(url) for url in settings.endpoints]
    async with store_client.open_http_client(urls[0]) as http:
        store = store_client.EtcdStore(http, urls[1:])
        environment = environments.Environment(store, settings.prefix)
        keeper = HistoryTruncator(components, environment)
        async with anyio.create_task_group() as tasks:
            # A slow store must not interrupt the observation.
            tasks.start_soon(_watch, keeper)
            while True:
                if keeper.is_due():
                    await keeper.run_once()
                await anyio.sleep(WATCH_MS / clock.MS_PER_SECOND)


async def _watch(keeper: "HistoryTruncator") -> None:
    """Observes until cancelled."""
    while True:
        keeper.observe()
        await anyio.sleep(WATCH_MS / clock.MS_PER_SECOND)


class HistoryTruncator:
    """Carries out the observation and the decisions of one host.

    Args:
        components: The other tasks.
        environment: The environment.
    """

    def __init__(
        self,
        components: components_lib.Components,
        environment: environments.Environment,
    ) -> None:
        now_ms = components.time.now_ms()
        self._components = components
        self._environment = environment
        self._observer = history_permits.StabilityTracker(
            flow_table.IDLE_PERIOD_MS, now_ms
        )
        self._publisher = permit_publisher.PermitPublisher(
            components.own_address.host_id
        )
        self._decider = history_truncation.TruncationDecider(
            components.own_address.host_id
        )
        self._worked_ms = now_ms
        self._noted: records.Configuration | None = None
        self._was_too_large = False

    def observe(self) -> None:
        """Notes what changes the keepers or the generations."""
        now_ms = self._components.time.now_ms()
        view = self._components.control_plane.membership.view()
        if self._is_too_large(view):
            return
        self._observer.record_view(view, now_ms)
        configuration = (
            self._components.configuration_sync.status().configuration
        )
        if configuration is not None and configuration is not self._noted:
            self._noted = configuration
            self._observer.record_configuration(configuration, now_ms)

    def is_due(self) -> bool:
        """Returns whether it is time to report and to decide."""
        return self._components.time.now_ms() - self._worked_ms >= REPORT_MS

    async def run_once(self) -> None:
        """Reports what this host allows, and cuts what all allow."""
        now_ms = self._components.time.now_ms()
        self._worked_ms = now_ms
        view = self._components.control_plane.membership.view()
        if self._noted is None or self._is_too_large(view):
            return
        report = self._report(now_ms)
        fact = self._publisher.next_fact(report, now_ms)
        if fact is not None:
            await self._components.to_control.send(fact)
        permits = self._permits(report)
        if self._decider.decide(self._noted, view, permits, now_ms):
            await self._cut()

    def _is_too_large(self, view: records.MemberView) -> bool:
        """Returns whether the fleet is too large for cuts; logs a change."""
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
        """Returns what this host allows now."""
        configuration = self._noted
        if configuration is None:
            return history_permits.PermitReport(0, {})
        needs = self._components.forwarder.router.history_usage_reports(now_ms)
        return self._observer.report(configuration, needs, now_ms)

    def _permits(
        self, own: history_permits.PermitReport
    ) -> Mapping[str, history_permits.PermitReport]:
        """Returns the newest report of each host."""
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
        permits_by_host[self._components.own_address.host_id] = own
        return permits_by_host

    def _agreed(self, configuration: records.Configuration) -> dict[str, int]:
        """Returns what may be cut of the configuration in the store."""
        self.observe()
        now_ms = self._components.time.now_ms()
        return self._decider.agreed_truncations(
            configuration,
            self._components.control_plane.membership.view(),
            self._permits(self._report(now_ms)),
        )

    async def _cut(self) -> None:
        """Writes a cut; whatever fails is tried again by a later decision."""
        outcome = await truncation.cut(
            self._environment,
            self._agreed,
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
