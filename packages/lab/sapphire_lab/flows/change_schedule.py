"""The schedule of changes of the measurement."""

from collections.abc import Callable
import random

from sapphire_core.flows import data
from sapphire_data import records
from sapphire_lab.flows import configuration_editor
from sapphire_lab.flows import measurement_counters
from sapphire_lab.flows import simulated_fleet

JITTER_MS = 900
OBSERVE_MS = (300, 1_000)
BARRIER_MS = 2_500
SPARE = "spare"
HEIR = "heir"
SPARE_TARGETS = 2


class ChangeSchedule:
    """Makes the changes at their times.

    Attributes:
        data_centre_by_upstream: The data centre of each upstream ever used.

    Args:
        fleet: The hosts.
        editor: Edits the configuration.
        counters: Learns what was promised from when on.
        rng: Chance.
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
        self._main, self._other = editor.deployment.upstream_counts_by_service
        self._host_count = 0
        self._overlay_version = 0
        counters.draining_since_ms = editor.draining_since_ms
        counters.out_since_ms = editor.out_since_ms

    @property
    def weighted_services(self) -> list[str]:
        """The services in use, each as often as it has upstreams."""
        names = []
        for (
            service,
            targets,
        ) in self._editor.deployment.upstream_counts_by_service.items():
            names.extend([service] * targets)
        for service in (SPARE, HEIR):
            if service in self._editor.addresses_by_service:
                names.append(service)
        return names

    def start(self, is_planned: bool) -> None:
        """Starts the hosts and schedules the changes."""
        editor = self._editor
        editor.create_service(SPARE, "192.0.2.100")
        for _ in range(SPARE_TARGETS):
            editor.add_upstream(SPARE)
        self._commit()
        for _ in range(configuration_editor.HOST_COUNT):
            self._join()
        for delay_ms, change in self._planned():
            jitter_ms = self._rng.randrange(JITTER_MS)
            self._fleet.schedule(delay_ms + jitter_ms, change)
        if is_planned:
            return
        for delay_ms, change in self._unplanned():
            jitter_ms = self._rng.randrange(JITTER_MS)
            self._fleet.schedule(delay_ms + jitter_ms, change)

    def _planned(self) -> list[tuple[int, Callable[[], None]]]:
        """Returns the planned changes; some arrive while others spread."""
        return [
            (10_000, self._drain),
            (10_600, self._add),
            (11_000, self._replace_host),
            (20_000, self._swap),
            (20_800, self._drain),
            (21_500, self._replace_host),
            (22_000, self._replace_host),
            (30_000, self._restart),
            (40_000, self._take_out),
            (40_500, self._replace_host),
            (41_200, self._add),
            (60_000, self._move_upstream),
            (66_000, self._withdraw),
            (80_000, self._bring_back),
            (80_700, self._replace_host),
            (95_000, self._reuse_address),
            (100_000, self._replace_host),
            (101_000, self._replace_host),
            (102_000, self._replace_host),
            (102_200, self._swap),
            (110_000, self._add),
            (111_000, self._restart),
            (125_000, self._drain),
        ]

    def _unplanned(self) -> list[tuple[int, Callable[[], None]]]:
        """Returns the deaths, in the midst of the planned changes."""
        return [
            (12_000, lambda: self._lose_hosts(1)),
            (21_800, lambda: self._lose_hosts(1)),
            (41_500, lambda: self._lose_hosts(2)),
            (51_000, self._fail),
            (81_500, lambda: self._lose_hosts(1)),
            (103_000, lambda: self._lose_hosts(2)),
            (126_000, lambda: self._lose_hosts(1)),
        ]

    def _commit(self) -> None:
        """Commits what the operator has edited."""
        for service, upstreams in self._editor.upstreams_by_service.items():
            for upstream in upstreams.values():
                self._counters.record_service(service, upstream)
                centre = upstream.data_centre
                self.data_centre_by_upstream[upstream.name] = centre
        self._fleet.commit(self._editor.next_configuration())

    def _join(self) -> None:
        """Starts a host, each data centre in its turn."""
        centres = self._editor.deployment.data_centres
        centre = centres[self._host_count % len(centres)]
        self._fleet.join(f"host-{self._host_count}", centre)
        self._host_count += 1

    def _replace_host(self) -> None:
        """Starts a host and asks an old one to stop a little later."""
        self._join()
        self._fleet.schedule(self._rng.randrange(3_000), self._leave_one)

    def _leave_one(self) -> None:
        """Asks the oldest host that stays to stop."""
        for host_id, host in self._fleet.hosts_by_id.items():
            if not host.is_leaving:
                self._fleet.leave(host_id)
                return

    def _lose_hosts(self, count: int) -> None:
        """Kills hosts at once; others take their places after a while."""
        for _ in range(count):
            host_id = self._rng.choice(list(self._fleet.hosts_by_id))
            self._fleet.remove_host(host_id)
            self._fleet.schedule(5_000, self._join)

    def _drain(self) -> None:
        """Drains an upstream of the larger service."""
        self._drain_one(self._main)
        self._commit()

    def _drain_one(self, service: str) -> None:
        """Drains an upstream without committing."""
        names = self._editor.serving_upstreams(service)
        name = self._rng.choice(names)
        self._editor.drain_upstream(service, name, self._fleet.now_ms)

    def _add(self) -> None:
        """Adds an upstream to the larger service."""
        self._note_cold(self._editor.add_upstream(self._main))
        self._commit()

    def _swap(self) -> None:
        """Replaces an upstream of the smaller service in one revision."""
        self._drain_one(self._other)
        self._note_cold(self._editor.add_upstream(self._other))
        self._commit()

    def _note_cold(
        self, upstream: records.Upstream, unknown_ms: int = 0
    ) -> None:
        """Notes that an upstream has just started."""
        now_ms = self._fleet.now_ms
        self._counters.record_slow_start(upstream, now_ms, unknown_ms)

    def _restart(self) -> None:
        """Lets an upstream lose all its flows and turn cold."""
        name = self._rng.choice(self._editor.serving_upstreams(self._main))
        now_ms = self._fleet.now_ms
        self._counters.flows_lost_ms_by_upstream[name] = now_ms
        delay_ms = self._rng.randint(*OBSERVE_MS)
        upstream = self._editor.upstreams_by_service[self._main][name]
        self._note_cold(upstream, delay_ms + BARRIER_MS)
        self._fleet.schedule(
            delay_ms,
            lambda: self._observe(name, data.ObservedState.COLD, f"b{now_ms}"),
        )

    def _observe(
        self, upstream: str, state: data.ObservedState, boot_id: str
    ) -> None:
        """Spreads an overlay."""
        self._overlay_version += 1
        self._fleet.publish_observation(
            data.UpstreamObservation(
                upstream, state, boot_id, self._overlay_version
            )
        )

    def _fail(self) -> None:
        """Lets hosts take an upstream as failed for a while."""
        name = self._rng.choice(self._editor.serving_upstreams(self._main))
        self._observe(name, data.ObservedState.FAILED, "b")
        self._fleet.schedule(
            9_000, lambda: self._observe(name, data.ObservedState.NORMAL, "b")
        )

    def _take_out(self) -> None:
        """Takes a data centre out."""
        centre = self._editor.deployment.data_centres[1]
        self._editor.out_since_ms[centre] = self._fleet.now_ms
        self._mark_gone(centre)
        self._commit()

    def _bring_back(self) -> None:
        """Brings the data centre back."""
        centre = self._editor.deployment.data_centres[1]
        del self._editor.out_since_ms[centre]
        self._mark_gone(centre)
        for service, upstreams in self._editor.upstreams_by_service.items():
            serving = self._editor.serving_upstreams(service)
            for name, upstream in upstreams.items():
                if upstream.data_centre == centre and name in serving:
                    self._note_cold(upstream)
        self._commit()

    def _mark_gone(self, centre: str) -> None:
        """Notes that the flows of a data centre are given up."""
        for name, home in self.data_centre_by_upstream.items():
            if home == centre:
                self._counters.flows_lost_ms_by_upstream[name] = (
                    self._fleet.now_ms
                )

    def _move_upstream(self) -> None:
        """Gives an upstream of the spare service to the larger one."""
        name = self._editor.serving_upstreams(SPARE)[0]
        self._counters.removed_upstreams.add(name)
        upstream = self._editor.move_upstream(name, SPARE, self._main)
        self._counters.record_address_move(upstream, self._main)
        self._note_cold(upstream)
        self._commit()

    def _withdraw(self) -> None:
        """Removes the spare service, whose flows are given up."""
        self._counters.removed_upstreams.update(
            self._editor.upstreams_by_service[SPARE]
        )
        self._spare_address = self._editor.remove_service(SPARE)
        self._commit()

    def _reuse_address(self) -> None:
        """Gives the address of the spare service to a new one."""
        self._editor.create_service(HEIR, self._spare_address)
        for _ in range(SPARE_TARGETS):
            self._note_cold(self._editor.add_upstream(HEIR))
        self._commit()
