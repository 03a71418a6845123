"""The changes during a simulation of flow routing, and their times."""

from collections.abc import Callable
import random

from sapphire_core.flows import data
from sapphire_data import records
from sapphire_lab.flows import configuration_editor
from sapphire_lab.flows import measurement_counters
from sapphire_lab.flows import simulated_fleet

MAX_JITTER_MS = 900
OBSERVATION_DELAY_MS = (300, 1_000)
MAX_BARRIER_MS = 2_500
SPARE_SERVICE = "spare"
SUCCESSOR_SERVICE = "heir"
SPARE_UPSTREAMS = 2


class ChangeSchedule:
    """Changes the configuration, the hosts and the upstreams at set times.

    Attributes:
        data_centre_by_upstream: The data centre of each upstream ever used.

    Args:
        fleet: The hosts.
        editor: Edits the configuration.
        counters: Gets the times of changes, against which it checks packets.
        rng: Makes the random choices.
    """

    def __init__(
        self,
        fleet: simulated_fleet.SimulatedFleet,
        editor: configuration_editor.ConfigurationEditor,
        counters: measurement_counters.MeasurementCounters,
        rng: random.Random,
    ) -> None:
        self.data_centre_by_upstream: dict[str, str] = {}
        self._fleet = fleet
        self._editor = editor
        self._counters = counters
        self._rng = rng
        self._larger_service, self._smaller_service = (
            editor.deployment.upstream_counts_by_service
        )
        self._host_count = 0
        self._observation_version = 0
        counters.draining_since_ms = editor.draining_since_ms
        counters.out_since_ms = editor.out_since_ms

    @property
    def weighted_services(self) -> list[str]:
        """The names of services in use, repeated by their share of new flows.

        A service of the deployment is listed once for each of its upstreams,
        the spare service and its successor once.
        """
        names = []
        for (
            service,
            upstream_count,
        ) in self._editor.deployment.upstream_counts_by_service.items():
            names.extend([service] * upstream_count)
        for service in (SPARE_SERVICE, SUCCESSOR_SERVICE):
            if service in self._editor.addresses_by_service:
                names.append(service)
        return names

    def start(self, is_planned: bool) -> None:
        """Starts the hosts and schedules the changes.

        Args:
            is_planned: Whether to leave out crashes and failed upstreams.
        """
        editor = self._editor
        editor.create_service(SPARE_SERVICE, "192.0.2.100")
        for _ in range(SPARE_UPSTREAMS):
            editor.add_upstream(SPARE_SERVICE)
        self._commit()
        for _ in range(configuration_editor.HOST_COUNT):
            self._start_host()
        for delay_ms, change in self._planned():
            jitter_ms = self._rng.randrange(MAX_JITTER_MS)
            self._fleet.schedule(delay_ms + jitter_ms, change)
        if is_planned:
            return
        for delay_ms, change in self._unplanned():
            jitter_ms = self._rng.randrange(MAX_JITTER_MS)
            self._fleet.schedule(delay_ms + jitter_ms, change)

    def _planned(self) -> list[tuple[int, Callable[[], None]]]:
        """Returns the planned changes by time; some overlap."""
        return [
            (10_000, self._drain_larger_service),
            (10_600, self._add_upstream),
            (11_000, self._replace_host),
            (20_000, self._replace_upstream),
            (20_800, self._drain_larger_service),
            (21_500, self._replace_host),
            (22_000, self._replace_host),
            (30_000, self._restart_upstream),
            (40_000, self._take_data_centre_out),
            (40_500, self._replace_host),
            (41_200, self._add_upstream),
            (60_000, self._move_upstream),
            (66_000, self._remove_spare_service),
            (80_000, self._bring_data_centre_back),
            (80_700, self._replace_host),
            (95_000, self._reuse_service_address),
            (100_000, self._replace_host),
            (101_000, self._replace_host),
            (102_000, self._replace_host),
            (102_200, self._replace_upstream),
            (110_000, self._add_upstream),
            (111_000, self._restart_upstream),
            (125_000, self._drain_larger_service),
        ]

    def _unplanned(self) -> list[tuple[int, Callable[[], None]]]:
        """Returns crashes and a failed upstream, during the planned changes."""
        return [
            (12_000, lambda: self._crash_hosts(1)),
            (21_800, lambda: self._crash_hosts(1)),
            (41_500, lambda: self._crash_hosts(2)),
            (51_000, self._fail_upstream),
            (81_500, lambda: self._crash_hosts(1)),
            (103_000, lambda: self._crash_hosts(2)),
            (126_000, lambda: self._crash_hosts(1)),
        ]

    def _commit(self) -> None:
        """Commits the edited configuration as a revision."""
        for service, upstreams in self._editor.upstreams_by_service.items():
            for upstream in upstreams.values():
                self._counters.record_service(service, upstream)
                data_centre = upstream.data_centre
                self.data_centre_by_upstream[upstream.name] = data_centre
        self._fleet.commit(self._editor.next_configuration())

    def _start_host(self) -> None:
        """Starts a host; data centres are assigned in turn."""
        data_centres = self._editor.deployment.data_centres
        data_centre = data_centres[self._host_count % len(data_centres)]
        self._fleet.join(f"host-{self._host_count}", data_centre)
        self._host_count += 1

    def _replace_host(self) -> None:
        """Starts a host and lets the oldest one leave within 3 s."""
        self._start_host()
        self._fleet.schedule(
            self._rng.randrange(3_000), self._leave_oldest_host
        )

    def _leave_oldest_host(self) -> None:
        """Lets the oldest host that is not leaving leave."""
        for host_id, host in self._fleet.hosts_by_id.items():
            if not host.is_leaving:
                self._fleet.leave(host_id)
                return

    def _crash_hosts(self, count: int) -> None:
        """Crashes random hosts at once; each is replaced after 5 s."""
        for _ in range(count):
            host_id = self._rng.choice(list(self._fleet.hosts_by_id))
            self._fleet.remove_host(host_id)
            self._fleet.schedule(5_000, self._start_host)

    def _drain_larger_service(self) -> None:
        """Drains a random upstream of the larger service."""
        self._drain_upstream(self._larger_service)
        self._commit()

    def _drain_upstream(self, service: str) -> None:
        """Drains a random upstream without committing."""
        names = self._editor.serving_upstreams(service)
        name = self._rng.choice(names)
        self._editor.drain_upstream(service, name, self._fleet.now_ms)

    def _add_upstream(self) -> None:
        """Adds an upstream to the larger service."""
        self._record_slow_start(self._editor.add_upstream(self._larger_service))
        self._commit()

    def _replace_upstream(self) -> None:
        """Replaces an upstream of the smaller service in one revision."""
        self._drain_upstream(self._smaller_service)
        self._record_slow_start(
            self._editor.add_upstream(self._smaller_service)
        )
        self._commit()

    def _record_slow_start(
        self, upstream: records.Upstream, unknown_ms: int = 0
    ) -> None:
        """Records that an upstream has just started.

        Args:
            upstream: The upstream.
            unknown_ms: How long hosts cannot know of it.
        """
        now_ms = self._fleet.now_ms
        self._counters.record_slow_start(upstream, now_ms, unknown_ms)

    def _restart_upstream(self) -> None:
        """Restarts an upstream, which loses its flows and is cold.

        Hosts observe it after a delay.
        """
        name = self._rng.choice(
            self._editor.serving_upstreams(self._larger_service)
        )
        now_ms = self._fleet.now_ms
        self._counters.flows_lost_ms_by_upstream[name] = now_ms
        delay_ms = self._rng.randint(*OBSERVATION_DELAY_MS)
        upstream = self._editor.upstreams_by_service[self._larger_service][name]
        self._record_slow_start(upstream, delay_ms + MAX_BARRIER_MS)
        self._fleet.schedule(
            delay_ms,
            lambda: self._publish_observation(
                name, data.ObservedState.COLD, f"b{now_ms}"
            ),
        )

    def _publish_observation(
        self, upstream: str, state: data.ObservedState, boot_id: str
    ) -> None:
        """Publishes an observation of an upstream to all hosts."""
        self._observation_version += 1
        self._fleet.publish_observation(
            data.UpstreamObservation(
                upstream, state, boot_id, self._observation_version
            )
        )

    def _fail_upstream(self) -> None:
        """Reports a random upstream as failed for 9 s."""
        name = self._rng.choice(
            self._editor.serving_upstreams(self._larger_service)
        )
        self._publish_observation(name, data.ObservedState.FAILED, "b")
        self._fleet.schedule(
            9_000,
            lambda: self._publish_observation(
                name, data.ObservedState.NORMAL, "b"
            ),
        )

    def _take_data_centre_out(self) -> None:
        """Takes the second data centre out."""
        data_centre = self._editor.deployment.data_centres[1]
        self._editor.out_since_ms[data_centre] = self._fleet.now_ms
        self._record_flows_given_up(data_centre)
        self._commit()

    def _bring_data_centre_back(self) -> None:
        """Brings the second data centre back; its upstreams are cold."""
        data_centre = self._editor.deployment.data_centres[1]
        del self._editor.out_since_ms[data_centre]
        self._record_flows_given_up(data_centre)
        for service, upstreams in self._editor.upstreams_by_service.items():
            serving = self._editor.serving_upstreams(service)
            for name, upstream in upstreams.items():
                if upstream.data_centre == data_centre and name in serving:
                    self._record_slow_start(upstream)
        self._commit()

    def _record_flows_given_up(self, data_centre: str) -> None:
        """Records that the flows of a data centre are given up."""
        for name, upstream_data_centre in self.data_centre_by_upstream.items():
            if upstream_data_centre == data_centre:
                self._counters.flows_lost_ms_by_upstream[name] = (
                    self._fleet.now_ms
                )

    def _move_upstream(self) -> None:
        """Moves an upstream of the spare service to the larger one."""
        name = self._editor.serving_upstreams(SPARE_SERVICE)[0]
        self._counters.removed_upstreams.add(name)
        upstream = self._editor.move_upstream(
            name, SPARE_SERVICE, self._larger_service
        )
        self._counters.record_address_move(upstream, self._larger_service)
        self._record_slow_start(upstream)
        self._commit()

    def _remove_spare_service(self) -> None:
        """Removes the spare service, whose flows are given up."""
        self._counters.removed_upstreams.update(
            self._editor.upstreams_by_service[SPARE_SERVICE]
        )
        self._spare_address = self._editor.remove_service(SPARE_SERVICE)
        self._commit()

    def _reuse_service_address(self) -> None:
        """Creates a successor at the address of the removed spare service."""
        self._editor.create_service(SUCCESSOR_SERVICE, self._spare_address)
        for _ in range(SPARE_UPSTREAMS):
            self._record_slow_start(
                self._editor.add_upstream(SUCCESSOR_SERVICE)
            )
        self._commit()
