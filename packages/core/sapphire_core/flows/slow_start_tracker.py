"""Which upstreams are cold, from activations and overlays."""

import xxhash

from sapphire_core.flows import bucket_table
from sapphire_core.flows import data
from sapphire_core.flows import rendezvous
from sapphire_core.flows import revisions as revisions_lib
from sapphire_core.flows import slow_start
from sapphire_data import records


class SlowStartTracker:
    """Starts and ends ramps.

    Attributes:
        ramp: The admission to cold upstreams.
        noted: The configuration whose activation was noted last.

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
        self.ramp = slow_start.SlowStartLimiter(self._is_holder)
        self.noted: records.Configuration | None = None
        self._host_id = host_id
        self._revisions = revisions
        self._orders = orders
        self._buckets_by_upstream: dict[str, tuple[str, tuple[int, ...]]] = {}

    def note_activation(
        self, configuration: records.Configuration, now_ms: int
    ) -> None:
        """Starts the ramps of upstreams that a configuration brought in.

        Args:
            configuration: The configuration that is now active.
            now_ms: The current time.
        """
        previous = self.noted
        self.noted = configuration
        cold = self.ramp.cold_upstreams()
        present: set[str] = set()
        self._buckets_by_upstream = {}
        for service in configuration.services_by_name.values():
            before = None
            if previous is not None:
                before = previous.services_by_name.get(service.name)
            is_cold = not cold.isdisjoint(service.upstreams_by_name)
            if before is service and not is_cold:
                # An unchanged service brings nothing in.
                continue
            if is_cold:
                present.update(cold & service.upstreams_by_name.keys())
            self._start(
                service, _brought_in(service, before, previous is None), now_ms
            )
        for name in cold - present:
            self.ramp.forget(name)
        # The buckets that stand for slots may have moved.
        self.ramp.note_view(now_ms)

    def note_overlay(
        self,
        before: data.UpstreamObservation | None,
        overlay: data.UpstreamObservation,
        now_ms: int,
    ) -> None:
        """Starts a ramp if an overlay says that an upstream turned cold.

        Args:
            before: The overlay that it replaces.
            overlay: The new overlay.
            now_ms: The current time.
        """
        if overlay.state is not data.ObservedState.COLD:
            return
        is_same_start = (
            before is not None
            and before.state is data.ObservedState.COLD
            and before.boot_id == overlay.boot_id
        )
        if is_same_start or self._revisions.active is None:
            return
        for service in self._revisions.active.services_by_name.values():
            if overlay.upstream in service.upstreams_by_name:
                self._start(service, {overlay.upstream}, now_ms)

    def adopt(self, ramps: tuple[data.SlowStart, ...], now_ms: int) -> None:
        """Takes the ramps that a peer knows.

        Args:
            ramps: The ramps.
            now_ms: The current time.
        """
        if self._revisions.active is None:
            return
        cold = self.ramp.cold_upstreams()
        for ramp in ramps:
            if ramp.upstream in cold:
                continue
            since_ms = now_ms - ramp.age_ms
            for service in self._revisions.active.services_by_name.values():
                if ramp.upstream in service.upstreams_by_name:
                    self._start(service, {ramp.upstream}, since_ms)

    def note_view(self, now_ms: int) -> None:
        """Assigns slots again after a change of membership."""
        self.ramp.note_view(now_ms)

    def _start(
        self, service: records.Service, names: set[str], now_ms: int
    ) -> None:
        """Starts ramps and finds the slots of all that are on one."""
        cold = self.ramp.cold_upstreams() & service.upstreams_by_name.keys()
        cold = cold | names
        if not cold or not service.generations:
            return
        self._find_buckets(service, set(cold))
        for name in sorted(names):
            upstream = service.upstreams_by_name.get(name)
            if upstream is not None:
                self.ramp.note_cold(upstream, now_ms)

    def _is_holder(self, upstream: str, slot: int) -> bool:
        """Returns whether this host holds a slot of an upstream.

        The first keeper of one of the upstream's buckets holds it, since
        opening packets of that bucket come to it anyway.
        """
        found = self._buckets_by_upstream.get(upstream)
        if found is None:
            return False
        service, buckets = found
        digest = xxhash.xxh3_64_intdigest(f"{upstream}\0{slot}".encode())
        bucket = buckets[digest % len(buckets)]
        return self._orders.primary_host(service, bucket) == self._host_id

    def _find_buckets(self, service: records.Service, names: set[str]) -> None:
        """Collects the buckets that cold upstreams own."""
        pool = service.generations[-1].upstreams
        table = bucket_table.owners(service.name, service.bucket_count, pool)
        buckets_by_upstream: dict[str, list[int]] = {}
        for bucket, index in enumerate(table):
            if index == bucket_table.NO_OWNER or pool[index] not in names:
                continue
            buckets_by_upstream.setdefault(pool[index], []).append(bucket)
        for name, buckets in buckets_by_upstream.items():
            self._buckets_by_upstream[name] = (service.name, tuple(buckets))


def _brought_in(
    service: records.Service,
    before: records.Service | None,
    is_first: bool,
) -> set[str]:
    """Returns the upstreams that may have started since the last activation.

    A host that has just booted cannot tell when an upstream came in; it takes
    each that is not in all carried generations as cold.

    Args:
        service: The service in the new configuration.
        before: The service in the previous one.
        is_first: Whether there is no previous configuration.
    """
    if not service.generations:
        return set()
    newest = set(service.generations[-1].upstreams)
    steady = set(newest)
    for generation in service.generations:
        is_seen = (
            before is not None
            and before.generations
            and (generation.number < before.generations[-1].number)
        )
        if not is_seen:
            steady &= set(generation.upstreams)
    if before is not None and before.generations:
        steady &= set(before.generations[-1].upstreams)
    elif not is_first:
        steady = set()
    return newest - steady
