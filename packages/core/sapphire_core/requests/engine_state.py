"""The state that the request functions of one host share."""

import collections
import dataclasses
import heapq
import random

from sapphire_core.requests import attempts
from sapphire_core.requests import claims
from sapphire_core.requests import data
from sapphire_core.requests import life_cycle
from sapphire_core.requests import service_pool


@dataclasses.dataclass(slots=True)
class EngineState:
    """The requests of one host; owned by its engine.

    Attributes:
        host_id: The identity of the host process, new at each start.
        rng: The source of random choices.
        claim_batcher: The batcher of claims.
        counters: Counts of events by name.
        is_draining: Whether new requests are refused.
        pools_by_service: The services.
        progress_by_serial: The requests that are not final.
        serials_by_claim_key: The requests that hold or wait for a claim.
        attempt_table: The attempts in flight.
        attempt_count: The attempts made.
        peer_ids: The other live hosts.
        loan_count: The loans made.
        timers: A heap of times in milliseconds, each with a request to look
            at then.
        cancel_times_ms: When the attempts at an upstream end, by service and
            name of the upstream, because its data centre was taken out.
        actions: The actions that the current event has caused so far.
    """

    host_id: str
    rng: random.Random
    claim_batcher: claims.ClaimBatcher
    counters: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    is_draining: bool = False
    pools_by_service: dict[str, service_pool.ServicePool] = dataclasses.field(
        default_factory=dict
    )
    progress_by_serial: dict[int, life_cycle.Progress] = dataclasses.field(
        default_factory=dict
    )
    serials_by_claim_key: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    attempt_table: attempts.AttemptTable = dataclasses.field(
        default_factory=attempts.AttemptTable
    )
    attempt_count: int = 0
    peer_ids: tuple[str, ...] = ()
    loan_count: int = 0
    timers: list[tuple[int, int]] = dataclasses.field(default_factory=list)
    cancel_times_ms: dict[tuple[str, str], int] = dataclasses.field(
        default_factory=dict
    )
    actions: list[data.Action] = dataclasses.field(default_factory=list)

    def add_timer(self, at_ms: int, serial: int) -> None:
        """Asks for a look at a request at a time."""
        heapq.heappush(self.timers, (at_ms, serial))

    def pool_of(
        self, progress: life_cycle.Progress
    ) -> service_pool.ServicePool:
        """Returns the pool of an admitted request."""
        return self.pools_by_service[progress.request.service]

    def take_actions(self) -> list[data.Action]:
        """Returns the actions so far and forgets them."""
        actions = self.actions
        self.actions = []
        return actions
