"""A simulated fleet whose hosts learn of changes with random delays."""

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

MEMBER_UPDATE_DELAY_MS = (50, 900)
CONFIGURATION_DELAY_MS = (0, 1_500)
OBSERVATION_DELAY_MS = (50, 900)
CRASH_DETECTION_MS = (1_000, 2_200)
MEMBER_SYNC_DELAY_MS = 1_000
VIEW_INTERVAL_MS = 200


@dataclasses.dataclass(slots=True)
class Host:
    """A running host.

    Attributes:
        data_centre: Its data centre.
        known_members: The members as this host knows them, by ID.
        is_leaving: Whether it has begun to leave.
    """

    data_centre: str
    known_members: dict[str, records.Member]
    is_leaving: bool = False


class SimulatedFleet:
    """Running hosts, and the messages that are on the way to them.

    A host has a router for each of the three compared methods: the full router
    (in the fabric) and the two of `sapphire_core.flows.baselines`.

    Attributes:
        rng: Makes the random choices.
        now_ms: The current time.
        fabric: Carries packets between the full routers.
        hash_routers_by_id: The routers without flow state (method 0).
        local_table_routers_by_id: The routers with a table of flows that
            they routed (method 1).
        hosts_by_id: The running hosts, oldest first.
        newest_configuration: The configuration that was committed last.

    Args:
        seed: Seeds the random choices.
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
        self._observations_by_upstream: dict[str, data.UpstreamObservation] = {}
        self._incarnations: dict[str, int] = {}
        self._scheduled: list[tuple[int, int, Callable[[], None]]] = []
        self._sequence = 0

    def baseline_router(
        self, method: int, host_id: str
    ) -> baselines.HashRouter | baselines.LocalTableRouter:
        """Returns a host's router of a baseline method, 0 or 1."""
        if method == 0:
            return self.hash_routers_by_id[host_id]
        return self.local_table_routers_by_id[host_id]

    def schedule(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Schedules an action for a later step.

        Args:
            delay_ms: The time until then.
            action: The action.
        """
        self._sequence += 1
        due_ms = self.now_ms + int(delay_ms)
        heapq.heappush(self._scheduled, (due_ms, self._sequence, action))

    def join(self, host_id: str, data_centre: str) -> None:
        """Starts a host with the newest configuration and a peer's members."""
        known_members = {}
        slow_starts: tuple[data.SlowStart, ...] = ()
        if self.hosts_by_id:
            peer = self.rng.choice(list(self.hosts_by_id))
            known_members.update(self.hosts_by_id[peer].known_members)
            slow_starts = self.fabric.routers_by_id[peer].slow_starts(
                self.now_ms
            )
        prepared = (
            self.newest_configuration.revision
            if self.newest_configuration is not None
            else 0
        )
        own_entry = builders.member(host_id, data_centre, prepared=prepared)
        known_members[host_id] = own_entry
        self.hosts_by_id[host_id] = Host(data_centre, known_members)
        router = router_lib.Router(host_id)
        self.fabric.routers_by_id[host_id] = router
        self.hash_routers_by_id[host_id] = baselines.HashRouter()
        self.local_table_routers_by_id[host_id] = baselines.LocalTableRouter()
        self._update_view(host_id)
        if self.newest_configuration is not None:
            self._prepare(host_id, self.newest_configuration)
        router.adopt_slow_starts(slow_starts, self.now_ms)
        for observation in self._observations_by_upstream.values():
            router.apply_observation(observation, self.now_ms)
        self._announce_member(own_entry)
        self.schedule(MEMBER_SYNC_DELAY_MS, lambda: self._sync_members(host_id))

    def leave(self, host_id: str) -> None:
        """Lets a host begin to leave; `step` removes it after the handover."""
        host = self.hosts_by_id[host_id]
        host.is_leaving = True
        own_entry = dataclasses.replace(
            host.known_members[host_id], state=records.MemberState.LEAVING
        )
        host.known_members[host_id] = own_entry
        self._update_view(host_id)
        self._announce_member(own_entry)

    def remove_host(self, host_id: str, is_announced: bool = False) -> None:
        """Stops a host at once; its peers learn of it with random delays.

        Args:
            host_id: The host.
            is_announced: Whether it notifies its peers. Without that it has
                crashed, and they have to detect it.
        """
        delay_range_ms = (
            MEMBER_UPDATE_DELAY_MS if is_announced else CRASH_DETECTION_MS
        )
        own_entry = self.hosts_by_id.pop(host_id).known_members[host_id]
        del self.fabric.routers_by_id[host_id]
        del self.hash_routers_by_id[host_id]
        del self.local_table_routers_by_id[host_id]
        dead = dataclasses.replace(own_entry, state=records.MemberState.DEAD)
        for peer_id in self.hosts_by_id:
            delay_ms = self.rng.randint(*delay_range_ms)
            self._send_member(peer_id, dead, delay_ms)

    def commit(self, configuration: records.Configuration) -> None:
        """Publishes a configuration, which hosts get with random delays."""
        self.newest_configuration = configuration
        for host_id in self.hosts_by_id:
            delay_ms = self.rng.randint(*CONFIGURATION_DELAY_MS)

            def deliver(receiver: str = host_id) -> None:
                if receiver in self.hosts_by_id:
                    self._prepare(receiver, configuration)

            self.schedule(delay_ms, deliver)

    def publish_observation(
        self, observation: data.UpstreamObservation
    ) -> None:
        """Publishes an observation, which hosts get with random delays."""
        self._observations_by_upstream[observation.upstream] = observation
        for host_id in self.hosts_by_id:

            def deliver(receiver: str = host_id) -> None:
                router = self.fabric.routers_by_id.get(receiver)
                if router is not None:
                    router.apply_observation(observation, self.now_ms)

            self.schedule(self.rng.randint(*OBSERVATION_DELAY_MS), deliver)

    def step(self, delta_ms: int) -> None:
        """Advances the time and runs the actions that are due."""
        self.now_ms += delta_ms
        while self._scheduled and self._scheduled[0][0] <= self.now_ms:
            heapq.heappop(self._scheduled)[2]()
        if self.now_ms % VIEW_INTERVAL_MS == 0:
            for host_id in self.hosts_by_id:
                self._update_view(host_id)
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
        """Prepares a configuration on a host and announces its revision."""
        router = self.fabric.routers_by_id[host_id]
        if configuration.revision > router.prepared_revision:
            self.hash_routers_by_id[host_id].prepare(configuration)
            self.local_table_routers_by_id[host_id].prepare(configuration)
        router.prepare(configuration, self.now_ms)
        host = self.hosts_by_id[host_id]
        own_entry = dataclasses.replace(
            host.known_members[host_id],
            prepared_revision=router.prepared_revision,
        )
        host.known_members[host_id] = own_entry
        self._announce_member(own_entry)

    def _announce_member(self, member: records.Member) -> None:
        """Sends the state of a member to all other hosts."""
        for peer_id in self.hosts_by_id:
            if peer_id != member.host.host_id:
                self._send_member(
                    peer_id, member, self.rng.randint(*MEMBER_UPDATE_DELAY_MS)
                )

    def _sync_members(self, host_id: str) -> None:
        """Sends a host the members, and removes those that are gone.

        Announcements from before its start did not reach it.
        """
        if host_id not in self.hosts_by_id:
            return
        for peer_id, host in self.hosts_by_id.items():
            if peer_id != host_id:
                delay_ms = self.rng.randint(*MEMBER_UPDATE_DELAY_MS)
                self._send_member(
                    host_id, host.known_members[peer_id], delay_ms
                )
        known_members = self.hosts_by_id[host_id].known_members
        for peer_id in list(known_members):
            if peer_id not in self.hosts_by_id:
                del known_members[peer_id]

    def _send_member(
        self, receiver: str, member: records.Member, delay_ms: int
    ) -> None:
        """Sends the state of a member to one host.

        Messages may overtake each other; an older state is ignored.
        """
        subject_id = member.host.host_id
        self._incarnations[subject_id] = (
            self._incarnations.get(subject_id, 0) + 1
        )
        numbered = dataclasses.replace(
            member, incarnation=self._incarnations[subject_id]
        )

        def deliver() -> None:
            host = self.hosts_by_id.get(receiver)
            if host is None:
                return
            known = host.known_members.get(subject_id)
            if known is not None and known.incarnation >= numbered.incarnation:
                return
            if member.state is records.MemberState.DEAD:
                host.known_members.pop(subject_id, None)
            elif subject_id in self.hosts_by_id:
                host.known_members[subject_id] = numbered
            self._update_view(receiver)

        self.schedule(delay_ms, deliver)

    def _update_view(self, host_id: str) -> None:
        """Sets the view of a host's router to the members that it knows."""
        known_members = self.hosts_by_id[host_id].known_members
        prepared = min(
            item.prepared_revision for item in known_members.values()
        )
        view = records.MemberView(dict(known_members), True, prepared)
        self.fabric.routers_by_id[host_id].set_view(view, self.now_ms)
