"""The state that the tasks of a host share: lifecycle, counters, durations."""

import collections
import dataclasses

import anyio

from sapphire_core.peers import data as peer_data
from sapphire_core.replication import data as replication_data
from sapphire_core.tagged_flows.flows import flow_pins as flow_pins_lib
from sapphire_net import pauses
from sapphire_node.entry import platform_interface
from sapphire_node.entry import store_eras

# A host can forward flows only when it knows these scopes.
ROUTING_SCOPES = frozenset(
    {replication_data.Scope.INTENT, replication_data.Scope.REGISTRY}
)

# Tasks that routing does not need start after this time at the latest: a host
# that is still not ready may need data from its peers to become ready.
STARTUP_WAIT_MS = 500
STARTUP_POLL_MS = 20
# How many durations of each kind are kept until the next read of the metrics;
# older ones are dropped.
MAX_DURATIONS = 4_096
OPENING_ANSWERED = "opening.answered"
STORE_CALL = "store.call"


def new_durations() -> dict[str, collections.deque[int]]:
    """Returns an empty queue for each kind of duration, by name."""
    return {
        name: collections.deque(maxlen=MAX_DURATIONS)
        for name in (OPENING_ANSWERED, STORE_CALL)
    }


@dataclasses.dataclass(slots=True)
class HostState:
    """The state of one host process.

    Attributes:
        settings: The settings in force.
        is_ready: Whether the host can select upstreams for new flows.
        is_cut_off: Whether the host can reach no upstream, though others may.
        has_found_cut: Whether it has found that itself; its peers hear of it.
        leaving: Set when the host, after a request to stop, has withdrawn from
            rotation: its readiness check fails from then on.
        is_near_host_away: Whether another host of its data centre is leaving,
            or has sent no heartbeats for a short time and may come back.
        last_packet_ms: When the last packet arrived.
        peer_bytes_sent: What this host has sent in heartbeats.
        startup_read: Set when the store has been read after the start.
        startup_revision: The revision of the store at that read.
        startup_era: The era of the store at that read.
        startup_listing: The entry of this host in the host list at that read;
            None if it had none.
        unlisted_as_of: The revision of the newest host list, if it lacks this
            host; None if it has the host.
        last_store_failure_ms: When a call to the store last failed, here or at
            a peer; None if none has.
        store_answer_ms_by_scope: When the store last answered a call of this
            host for each scope.
        as_of_by_scope: The revision up to which each scope is known.
        change_revision_by_scope: The revision of the newest known change of
            each scope.
        era_by_scope: The era of the store that the revisions of each scope
            belong to.
        eras: The newest eras, by who has named them.
        configuration_version: The version of the configuration in force on this
            host; None before the first.
        carried_answers: How many peers have told, at the start of this host,
            what they carry from before.
        followed_scopes: The scopes that this host follows in the store and
            whose last call succeeded.
        flow_pins: The upstreams of flows that two may have answered.
        counts: Counters by name, for metrics.
        durations_ms_by_name: Recent durations by name, for metrics.
    """

    settings: platform_interface.HostSettings
    is_ready: bool = False
    is_cut_off: bool = False
    has_found_cut: bool = False
    leaving: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    is_near_host_away: bool = False
    last_packet_ms: int = 0
    peer_bytes_sent: int = 0
    startup_read: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    startup_revision: int = 0
    startup_era: int = 0
    startup_listing: replication_data.HostListing | None = None
    unlisted_as_of: int | None = None
    last_store_failure_ms: int | None = None
    store_answer_ms_by_scope: dict[replication_data.Scope, int] = (
        dataclasses.field(default_factory=dict)
    )
    as_of_by_scope: dict[replication_data.Scope, int] = dataclasses.field(
        default_factory=dict
    )
    change_revision_by_scope: dict[replication_data.Scope, int] = (
        dataclasses.field(default_factory=dict)
    )
    era_by_scope: dict[replication_data.Scope, int] = dataclasses.field(
        default_factory=dict
    )
    eras: store_eras.StoreEras = dataclasses.field(
        default_factory=store_eras.StoreEras
    )
    configuration_version: int | None = None
    carried_answers: int = 0
    followed_scopes: set[replication_data.Scope] = dataclasses.field(
        default_factory=set
    )
    flow_pins: flow_pins_lib.FlowPins = dataclasses.field(
        default_factory=flow_pins_lib.FlowPins
    )
    counts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    durations_ms_by_name: dict[str, collections.deque[int]] = dataclasses.field(
        default_factory=new_durations
    )

    _must_follow_store: anyio.Event = dataclasses.field(
        default_factory=anyio.Event
    )

    @property
    def is_leaving(self) -> bool:
        """Whether the host is stopping and has withdrawn from rotation."""
        return self.leaving.is_set()

    @property
    def must_follow_store(self) -> bool:
        """Whether this host has to follow the store itself."""
        return self._must_follow_store.is_set()

    def set_must_follow_store(self, must_follow_store: bool) -> None:
        """Sets whether this host has to follow the store itself.

        Args:
            must_follow_store: Whether it has to.
        """
        if must_follow_store:
            self._must_follow_store.set()
        elif self._must_follow_store.is_set():
            self._must_follow_store = anyio.Event()

    async def wait_until_must_follow_store(self) -> None:
        """Waits until this host has to follow the store itself."""
        await self._must_follow_store.wait()

    def position(
        self, scope: replication_data.Scope
    ) -> replication_data.Position:
        """Returns the position up to which a scope is known.

        Args:
            scope: The scope.
        """
        return replication_data.Position(
            self.era_by_scope.get(scope, 0), self.as_of_by_scope.get(scope, 0)
        )

    def newest_position(
        self, scope: replication_data.Scope
    ) -> replication_data.Position:
        """Returns the position of the newest known change of a scope.

        Args:
            scope: The scope.
        """
        return replication_data.Position(
            self.era_by_scope.get(scope, 0),
            self.change_revision_by_scope.get(scope, 0),
        )

    @property
    def knows_all_scopes(self) -> bool:
        """Whether all that a host needs for routing is known."""
        return self.as_of_by_scope.keys() >= ROUTING_SCOPES

    @property
    def knows_former_era(self) -> bool:
        """Whether it ran before the store last came back, or has been told."""
        return self.carried_answers > 0 or self.eras.restored_ms is not None

    @property
    def has_eras(self) -> bool:
        """Whether the store names its era, so it may be an older copy."""
        return max(self.era_by_scope.values(), default=0) > 0

    def newest_revisions(self, era: int) -> dict[replication_data.Scope, int]:
        """Returns the revision of the newest known change of each scope.

        Args:
            era: The era of the revisions; scopes known in another are left out.
        """
        return {
            scope: revision
            for scope, revision in self.change_revision_by_scope.items()
            if self.era_by_scope.get(scope, 0) == era
        }

    def record_store_era(self, era: int, now_ms: int) -> None:
        """Records the era that an answer of the store names.

        Args:
            era: The era.
            now_ms: The current time.
        """
        if era <= self.eras.named:
            return
        self.eras.named = era
        if all(known >= era for known in self.era_by_scope.values()):
            # Nothing is known from before.
            return
        self.counts["store_restored"] += 1
        # Upstreams may be missing because they have not registered again.
        self.last_store_failure_ms = now_ms
        self.eras.record_restore(now_ms)

    async def wait_for_startup(self) -> None:
        """Waits until the host is ready, `STARTUP_WAIT_MS` at most.

        Tasks that the host does not need to become ready wait for this.
        """
        for _ in range(STARTUP_WAIT_MS // STARTUP_POLL_MS):
            if self.is_ready:
                return
            await pauses.sleep_ms(STARTUP_POLL_MS)

    @property
    def is_following_store(self) -> bool:
        """Whether this host is a store follower of all routing scopes."""
        return self.must_follow_store and self.followed_scopes >= ROUTING_SCOPES

    @property
    def answered_ms(self) -> int | None:
        """When the store last answered for the scope it answered longest ago.

        Of the routing scopes; None if it has not answered for each of them.
        """
        if not self.store_answer_ms_by_scope.keys() >= ROUTING_SCOPES:
            return None
        return min(
            self.store_answer_ms_by_scope[scope] for scope in ROUTING_SCOPES
        )

    def follower_claim(self, now_ms: int) -> peer_data.FollowerClaim | None:
        """Returns the claim of this host to follow the store, if it does.

        Args:
            now_ms: The current time.
        """
        answered_ms = self.answered_ms
        if not self.is_following_store or answered_ms is None:
            return None
        return peer_data.FollowerClaim(now_ms - answered_ms, answered_ms)
