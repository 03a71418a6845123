"""Hosts with uneven knowledge of each other, for the measurement."""

from collections.abc import Callable
import dataclasses
import heapq
import random

from sapphire_core.flows import baselines
from sapphire_core.flows import data
from sapphire_core.flows import router as router_lib
from sapphire_data import records
from sapphire_lab.flows import builders
from sapphire_lab.flows import fake_fabric

MEMBER_DELAY_MS = (50, 900)
CONFIGURATION_DELAY_MS = (0, 1_500)
OVERLAY_DELAY_MS = (50, 900)
DETECTION_MS = (1_000, 2_200)
SYNC_MS = 1_000
VIEW_PERIOD_MS = 200


@dataclasses.dataclass(slots=True)
class Host:
    """A live host.

    Attributes:
        data_centre: Its data centre.
        known: The members as this host knows them.
        is_leaving: Whether it was asked to stop.
    """

    data_centre: str
    known: dict[str, records.Member]
    is_leaving: bool = False


class SimulatedFleet:
    """Live hosts, and the news that are on the way to them.

    Attributes:
        now_ms: The current time.
        fabric: Carries packets between the routers.
        hash_routers_by_id: The routers of baseline A.
        local_table_routers_by_id: The routers of baseline B.
        newest_configuration: The configuration that was committed last.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now_ms = 100_000
        self.fabric = fake_fabric.FakeFabric()
        self.hash_routers_by_id: dict[str, baselines.HashRouter] = {}
        self.local_table_routers_by_id: dict[
            str, baselines.LocalTableRouter
        ] = {}
        self.hosts_by_id: dict[str, Host] = {}
        self.newest_configuration: records.Configuration | None = None
        self._overlays: dict[str, data.UpstreamObservation] = {}
        self._versions: dict[str, int] = {}
        self._news: list[tuple[int, int, Callable[[], None]]] = []
        self._sequence = 0

    def baseline_router(
        self, method: int, host_id: str
    ) -> baselines.HashRouter | baselines.LocalTableRouter:
        """Returns a host's router of baseline A (0) or B (1)."""
        if method == 0:
            return self.hash_routers_by_id[host_id]
        return self.local_table_routers_by_id[host_id]

    def schedule(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Schedules an action."""
        self._sequence += 1
        due_ms = self.now_ms + int(delay_ms)
        heapq.heappush(self._news, (due_ms, self._sequence, action))

    def join(self, host_id: str, data_centre: str) -> None:
        """Starts a host that knows the newest configuration."""
        known = {}
        ramps: tuple[data.SlowStart, ...] = ()
        if self.hosts_by_id:
            peer = self.rng.choice(list(self.hosts_by_id))
            known.update(self.hosts_by_id[peer].known)
            ramps = self.fabric.routers_by_id[peer].slow_starts(self.now_ms)
        prepared = (
            self.newest_configuration.revision
            if self.newest_configuration is not None
            else 0
        )
        own = builders.member(host_id, data_centre, prepared=prepared)
        known[host_id] = own
        self.hosts_by_id[host_id] = Host(data_centre, known)
        router = router_lib.Router(host_id)
        self.fabric.routers_by_id[host_id] = router
        self.hash_routers_by_id[host_id] = baselines.HashRouter()
        self.local_table_routers_by_id[host_id] = baselines.LocalTableRouter()
        self._push_view(host_id)
        if self.newest_configuration is not None:
            self._prepare(host_id, self.newest_configuration)
        router.adopt_slow_starts(ramps, self.now_ms)
        for overlay in self._overlays.values():
            router.apply_observation(overlay, self.now_ms)
        self._announce(own)
        self.schedule(SYNC_MS, lambda: self._sync(host_id))

    def leave(self, host_id: str) -> None:
        """Asks a host to stop; it goes once its records are handed over."""
        host = self.hosts_by_id[host_id]
        host.is_leaving = True
        own = dataclasses.replace(
            host.known[host_id], state=records.MemberState.LEAVING
        )
        host.known[host_id] = own
        self._push_view(host_id)
        self._announce(own)

    def remove_host(self, host_id: str, is_announced: bool = False) -> None:
        """Stops a host at once; the others find out unevenly.

        Args:
            host_id: The host.
            is_announced: Whether it tells the others.
        """
        delays_ms = MEMBER_DELAY_MS if is_announced else DETECTION_MS
        own = self.hosts_by_id.pop(host_id).known[host_id]
        del self.fabric.routers_by_id[host_id]
        del self.hash_routers_by_id[host_id]
        del self.local_table_routers_by_id[host_id]
        dead = dataclasses.replace(own, state=records.MemberState.DEAD)
        for other in self.hosts_by_id:
            delay_ms = self.rng.randint(*delays_ms)
            self._tell(other, dead, delay_ms)

    def commit(self, configuration: records.Configuration) -> None:
        """Spreads a configuration unevenly."""
        self.newest_configuration = configuration
        for host_id in self.hosts_by_id:
            delay_ms = self.rng.randint(*CONFIGURATION_DELAY_MS)

            def arrive(receiver: str = host_id) -> None:
                if receiver in self.hosts_by_id:
                    self._prepare(receiver, configuration)

            self.schedule(delay_ms, arrive)

    def publish_observation(self, overlay: data.UpstreamObservation) -> None:
        """Spreads an overlay unevenly."""
        self._overlays[overlay.upstream] = overlay
        for host_id in self.hosts_by_id:

            def arrive(receiver: str = host_id) -> None:
                router = self.fabric.routers_by_id.get(receiver)
                if router is not None:
                    router.apply_observation(overlay, self.now_ms)

            self.schedule(self.rng.randint(*OVERLAY_DELAY_MS), arrive)

    def step(self, delta_ms: int) -> None:
        """Moves the time on and delivers what is due."""
        self.now_ms += delta_ms
        while self._news and self._news[0][0] <= self.now_ms:
            heapq.heappop(self._news)[2]()
        if self.now_ms % VIEW_PERIOD_MS == 0:
            for host_id in self.hosts_by_id:
                self._push_view(host_id)
        if self.now_ms % 100:
            return
        self.fabric.tick_hosts(self.now_ms)
        for host_id, host in list(self.hosts_by_id.items()):
            router = self.fabric.routers_by_id[host_id]
            if host.is_leaving and router.is_handover_complete(self.now_ms):
                self.remove_host(host_id, is_announced=True)

    def _prepare(
        self, host_id: str, configuration: records.Configuration
    ) -> None:
        """Lets a host prepare a configuration and say so."""
        router = self.fabric.routers_by_id[host_id]
        if configuration.revision > router.prepared_revision:
            self.hash_routers_by_id[host_id].prepare(configuration)
            self.local_table_routers_by_id[host_id].prepare(configuration)
        router.prepare(configuration, self.now_ms)
        host = self.hosts_by_id[host_id]
        own = dataclasses.replace(
            host.known[host_id], prepared_revision=router.prepared_revision
        )
        host.known[host_id] = own
        self._announce(own)

    def _announce(self, member: records.Member) -> None:
        """Tells all others about a member."""
        for other in self.hosts_by_id:
            if other != member.host.host_id:
                self._tell(other, member, self.rng.randint(*MEMBER_DELAY_MS))

    def _sync(self, host_id: str) -> None:
        """Tells a host what it missed while it was starting."""
        if host_id not in self.hosts_by_id:
            return
        for other, host in self.hosts_by_id.items():
            if other != host_id:
                delay_ms = self.rng.randint(*MEMBER_DELAY_MS)
                self._tell(host_id, host.known[other], delay_ms)
        known = self.hosts_by_id[host_id].known
        for other in list(known):
            if other not in self.hosts_by_id:
                del known[other]

    def _tell(
        self, receiver: str, member: records.Member, delay_ms: int
    ) -> None:
        """Tells one host about a member; news may overtake each other."""
        about = member.host.host_id
        self._versions[about] = self._versions.get(about, 0) + 1
        stamped = dataclasses.replace(member, incarnation=self._versions[about])

        def arrive() -> None:
            host = self.hosts_by_id.get(receiver)
            if host is None:
                return
            known = host.known.get(about)
            if known is not None and known.incarnation >= stamped.incarnation:
                return
            if member.state is records.MemberState.DEAD:
                host.known.pop(about, None)
            elif about in self.hosts_by_id:
                host.known[about] = stamped
            self._push_view(receiver)

        self.schedule(delay_ms, arrive)

    def _push_view(self, host_id: str) -> None:
        """Gives a host's router the membership that the host knows."""
        known = self.hosts_by_id[host_id].known
        prepared = min(item.prepared_revision for item in known.values())
        view = records.MemberView(dict(known), True, prepared)
        self.fabric.routers_by_id[host_id].set_view(view, self.now_ms)
