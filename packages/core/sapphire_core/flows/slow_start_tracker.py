"""Which upstreams are cold, from activated configurations and observations."""

import xxhash

from sapphire_core.flows import bucket_table
from sapphire_core.flows import data
from sapphire_core.flows import rendezvous
from sapphire_core.flows import revisions as revisions_lib
from sapphire_core.flows import slow_start
from sapphire_data import records


class SlowStartTracker:
    """Starts and ends the slow starts of upstreams.

    Attributes:
        limiter: Limits the new flows to cold upstreams.
        activated: The configuration that was applied last.

    Args:
        host_id: The identity of this host.
        revisions: The known configurations.
        orders: The rendezvous orders.
    """

    def __init__(
        self,
        host_id: str,
        revisions: revisions_lib.Revisions,
        orders: rendezvous.RendezvousOrders,
    ) -> None:
        self.limiter = slow_start.SlowStartLimiter(self._is_holder)
        self.activated: records.Configuration | None = None
        self._host_id = host_id
        self._revisions = revisions
        self._orders = orders
        self._buckets_by_upstream: dict[str, tuple[str, tuple[int, ...]]] = {}

    def apply_activation(
        self, configuration: records.Configuration, now_ms: int
    ) -> None:
        """Starts the slow starts of upstreams that a configuration adds.

        Ends those of upstreams that it removes.

        Args:
            configuration: The configuration that is now active.
            now_ms: The current time.
        """
        previous = self.activated
        self.activated = configuration
        cold = self.limiter.cold_upstreams()
        present: set[str] = set()
        self._buckets_by_upstream = {}
        for service in configuration.services_by_name.values():
            before = None
            if previous is not None:
                before = previous.services_by_name.get(service.name)
            is_cold = not cold.isdisjoint(service.upstreams_by_name)
            if before is service and not is_cold:
                # An unchanged service adds no upstreams.
                continue
            if is_cold:
                present.update(cold & service.upstreams_by_name.keys())
            self._start(
                service,
                _new_upstreams(service, before, previous is None),
                now_ms,
            )
        for name in cold - present:
            self.limiter.end(name)
        # The buckets that determine the holders of slots may have changed.
        self.limiter.reassign_slots(now_ms)

    def apply_observation(
        self,
        before: data.UpstreamObservation | None,
        observation: data.UpstreamObservation,
        now_ms: int,
    ) -> None:
        """Starts a slow start if an upstream was observed to have turned cold.

        Args:
            before: The observation that the new one replaces.
            observation: The new observation.
            now_ms: The current time.
        """
        if observation.state is not data.ObservedState.COLD:
            return
        is_same_start = (
            before is not None
            and before.state is data.ObservedState.COLD
            and before.boot_id == observation.boot_id
        )
        if is_same_start or self._revisions.active is None:
            return
        for service in self._revisions.active.services_by_name.values():
            if observation.upstream in service.upstreams_by_name:
                self._start(service, {observation.upstream}, now_ms)

    def adopt(
        self, slow_starts: tuple[data.SlowStart, ...], now_ms: int
    ) -> None:
        """Adopts slow starts of a peer that this host does not know of.

        Args:
            slow_starts: The slow starts that the peer knows.
            now_ms: The current time.
        """
        if self._revisions.active is None:
            return
        cold = self.limiter.cold_upstreams()
        for slow in slow_starts:
            if slow.upstream in cold:
                continue
            since_ms = now_ms - slow.age_ms
            for service in self._revisions.active.services_by_name.values():
                if slow.upstream in service.upstreams_by_name:
                    self._start(service, {slow.upstream}, since_ms)

    def reassign_slots(self, now_ms: int) -> None:
        """Assigns the slots again after a change of membership."""
        self.limiter.reassign_slots(now_ms)

    def _start(
        self, service: records.Service, names: set[str], now_ms: int
    ) -> None:
        """Starts slow starts and updates the buckets of all cold upstreams.

        Args:
            service: The service.
            names: The upstreams that turned cold; may be empty.
            now_ms: When they turned cold.
        """
        cold = self.limiter.cold_upstreams() & service.upstreams_by_name.keys()
        cold = cold | names
        if not cold or not service.generations:
            return
        self._find_buckets(service, set(cold))
        for name in sorted(names):
            upstream = service.upstreams_by_name.get(name)
            if upstream is not None:
                self.limiter.start(upstream, now_ms)

    def _is_holder(self, upstream: str, slot: int) -> bool:
        """Returns whether this host holds a slot of an upstream.

        The primary replica host of one of the upstream's buckets holds it,
        since opening packets of that bucket reach this host anyway.
        """
        found = self._buckets_by_upstream.get(upstream)
        if found is None:
            return False
        service, buckets = found
        digest = xxhash.xxh3_64_intdigest(f"{upstream}\0{slot}".encode())
        bucket = buckets[digest % len(buckets)]
        return self._orders.primary_host(service, bucket) == self._host_id

    def _find_buckets(self, service: records.Service, names: set[str]) -> None:
        """Collects the buckets that the given upstreams own in the newest pool.

        Args:
            service: The service.
            names: Its cold upstreams.
        """
        pool = service.generations[-1].upstreams
        table = bucket_table.owners(service.name, service.bucket_count, pool)
        buckets_by_upstream: dict[str, list[int]] = {}
        for bucket, index in enumerate(table):
            if index == bucket_table.NO_OWNER or pool[index] not in names:
                continue
            buckets_by_upstream.setdefault(pool[index], []).append(bucket)
        for name, buckets in buckets_by_upstream.items():
            self._buckets_by_upstream[name] = (service.name, tuple(buckets))


def _new_upstreams(
    service: records.Service,
    before: records.Service | None,
    is_first: bool,
) -> set[str]:
    """Returns the upstreams that may have started since the last activation.

    A host that has just started cannot tell when an upstream was added; it
    treats each upstream that is not in all known generations as cold.

    Args:
        service: The service in the new configuration.
        before: The service in the previous one.
        is_first: Whether there is no previous configuration.
    """
    if not service.generations:
        return set()
    newest = set(service.generations[-1].upstreams)
    # Upstreams that have served since before the last activation.
    old = set(newest)
    for generation in service.generations:
        is_before = (
            before is not None
            and before.generations
            and (generation.number < before.generations[-1].number)
        )
        if not is_before:
            old &= set(generation.upstreams)
    if before is not None and before.generations:
        old &= set(before.generations[-1].upstreams)
    elif not is_first:
        old = set()
    return newest - old
