"""What the tasks of one process share: its life, and its counts."""

import collections
import dataclasses

import anyio

from sapphire_core.replication import data as replication_data
from sapphire_net import pauses
from sapphire_node.entry import platform_interface

# The scopes without which a host cannot place flows.
ROUTING_SCOPES = frozenset(
    {replication_data.Scope.INTENT, replication_data.Scope.REGISTRY}
)

# A host that is not ready by then may need its peers for it.
START_MS = 500
START_POLL_MS = 20
# How many durations of a kind are kept until they are read.
MAX_DURATIONS = 4_096
OPENING_ANSWERED = "opening.answered"
STORE_CALL = "store.call"


def new_durations() -> dict[str, collections.deque[int]]:
    """Returns the durations that a process keeps, all empty."""
    return {
        name: collections.deque(maxlen=MAX_DURATIONS)
        for name in (OPENING_ANSWERED, STORE_CALL)
    }


def _set_event() -> anyio.Event:
    """Returns an event that has happened."""
    event = anyio.Event()
    event.set()
    return event


@dataclasses.dataclass(slots=True)
class HostState:
    """The life of the process.

    Attributes:
        settings: The settings in force.
        is_ready: Whether the host can place new flows.
        leaving: Set when it was told to stop and has left the rotation.
        is_near_host_away: Whether another host of its data centre is leaving,
            or has been silent for a short time.
        last_packet_ms: When the last packet came.
        last_store_failure_ms: When a call to the store last failed; None if
            none has.
        store_answer_ms_by_scope: When the store last answered a call of this
            host for a scope.
        as_of_by_scope: Up to which revision each scope is known.
        change_revision_by_scope: The revision of the newest known change of
            each scope.
        followed_scopes: The scopes that this host follows in the store; the
            last call for each has succeeded.
        counts: Counters by name, for metrics.
        durations_ms_by_name: Recent durations, for metrics.
    """

    settings: platform_interface.HostSettings
    is_ready: bool = False
    leaving: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    is_near_host_away: bool = False
    last_packet_ms: int = 0
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
    followed_scopes: set[replication_data.Scope] = dataclasses.field(
        default_factory=set
    )
    counts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    durations_ms_by_name: dict[str, collections.deque[int]] = dataclasses.field(
        default_factory=new_durations
    )

    _must_follow_store: anyio.Event = dataclasses.field(
        default_factory=_set_event
    )

    @property
    def is_leaving(self) -> bool:
        """Whether the host was told to stop and has left the rotation."""
        return self.leaving.is_set()

    @property
    def must_follow_store(self) -> bool:
        """Whether this host is to follow the store itself."""
        return self._must_follow_store.is_set()

    def set_must_follow_store(self, must_follow_store: bool) -> None:
        """Decides whether this host is to follow the store itself.

        Args:
            must_follow_store: Whether it is to.
        """
        if must_follow_store:
            self._must_follow_store.set()
        elif self._must_follow_store.is_set():
            self._must_follow_store = anyio.Event()

    async def wait_until_must_follow_store(self) -> None:
        """Returns when this host is to follow the store itself."""
        await self._must_follow_store.wait()

    async def wait_for_startup(self) -> None:
        """Returns when the host is ready, or has been starting for long.

        What is not needed to become ready waits for this.
        """
        for _ in range(START_MS // START_POLL_MS):
            if self.is_ready:
                return
            await pauses.sleep_ms(START_POLL_MS)

    @property
    def is_following_store(self) -> bool:
        """Whether this host follows the store for others too."""
        return self.must_follow_store and self.followed_scopes >= ROUTING_SCOPES
