"""The routes of all service addresses, rebuilt only where inputs change."""

from collections.abc import Mapping
import dataclasses

from sapphire_core.flows import data
from sapphire_core.flows import failures
from sapphire_core.flows import revisions as revisions_lib
from sapphire_core.flows import routes as routes_lib
from sapphire_core.flows import service_versions
from sapphire_core.flows import upstream_observations
from sapphire_data import failures as data_failures
from sapphire_data import records

Routes = routes_lib.Routes


@dataclasses.dataclass(frozen=True, slots=True)
class _CommonInputs:
    """What the routes of all services depend on alike."""

    closed: frozenset[str]
    out: frozenset[str]
    given_up: frozenset[str]
    unsettled: frozenset[str]
    spread: frozenset[str]
    failed: frozenset[str]
    lost_by_service: Mapping[str, frozenset[str]]

    def touched_since(
        self, before: "_CommonInputs | None"
    ) -> frozenset[str] | None:
        """Returns the upstreams whose state differs from earlier inputs.

        Args:
            before: The earlier inputs.

        Returns:
            Their names, None where all services are concerned.
        """
        if before is None:
            return None
        data_centres = (self.closed, self.out, self.given_up)
        if data_centres != (before.closed, before.out, before.given_up):
            return None
        return (
            (self.unsettled ^ before.unsettled)
            | (self.spread ^ before.spread)
            | (self.failed ^ before.failed)
        )


class RouteTables:
    """The routes of a host by service key.

    Attributes:
        routes_by_key: The routes of each service address in use.

    Args:
        revisions: The known configurations.
        overlays: The known overlays.
    """

    def __init__(
        self,
        revisions: revisions_lib.Revisions,
        overlays: upstream_observations.UpstreamObservations,
    ) -> None:
        self.routes_by_key: dict[bytes, Routes] = {}
        self._moving_keys: set[bytes] = set()
        self._withdrawn_keys: set[bytes] = set()
        self._revisions = revisions
        self._overlays = overlays
        self._spread: frozenset[str] = frozenset()
        self._common: _CommonInputs | None = None

    def find(self, service_key: bytes) -> Routes | None:
        """Returns the routes of a service address, None if it has none."""
        return self.routes_by_key.get(service_key)

    def by_name(self, service: str) -> Routes | None:
        """Returns the routes of a service that is active."""
        for routes in self.routes_by_key.values():
            if routes.name == service and routes.inputs.is_active:
                return routes
        return None

    def without_routes(
        self, service_key: bytes, is_opening: bool
    ) -> data.Decision:
        """Decides about a packet to an address that has no routes.

        Callers of an address that was withdrawn are told, so that none of
        their packets is left when another service gets the address.

        Args:
            service_key: The service key.
            is_opening: Whether the packet opens a flow.
        """
        reason: data_failures.Failure = failures.UnknownService()
        if service_key in self._moving_keys:
            reason = failures.ServiceAddressMoving()
        elif service_key not in self._withdrawn_keys:
            return data.Drop(reason)
        return data.Drop(reason) if is_opening else data.Reset(reason)

    def has_overlay_spread(self, now_ms: int) -> bool:
        """Returns whether an overlay passed its barrier since the rebuild."""
        return self._overlays.spread(now_ms) != self._spread

    def rebuild(self, cold: frozenset[str], now_ms: int) -> None:
        """Computes the routes whose inputs changed.

        Args:
            cold: The upstreams on their start ramp.
            now_ms: The current time.
        """
        configurations = self._revisions.known()
        if not configurations:
            return
        self._spread = self._overlays.spread(now_ms)
        common = _CommonInputs(
            closed=_out(configurations[:1]),
            out=_out(configurations),
            given_up=_out(configurations[-1:]),
            unsettled=self._overlays.unsettled() | cold,
            spread=self._spread,
            failed=self._overlays.failed(),
            lost_by_service=service_versions.reassigned_upstreams(
                configurations
            ),
        )
        touched = common.touched_since(self._common)
        lost_before = self._common.lost_by_service if self._common else {}
        self._common = common
        routes_by_key: dict[bytes, Routes] = {}
        self._moving_keys = set()
        for key, found in service_versions.by_key(configurations).items():
            if found.is_moving:
                self._moving_keys.add(key)
                continue
            retired = self._retired(found.versions[0])
            routes = self.routes_by_key.get(key)
            name = found.versions[0].name
            is_untouched = (
                routes is not None
                and touched is not None
                and common.lost_by_service.get(name) == lost_before.get(name)
                and _is_same(routes.inputs, found, retired)
                and _is_apart(touched, found)
            )
            if routes is None or not is_untouched:
                inputs = _inputs(common, found, retired)
                if routes is None or routes.inputs != inputs:
                    routes = routes_lib.build(inputs)
            routes_by_key[key] = routes
        self._withdrawn_keys |= self.routes_by_key.keys()
        self._withdrawn_keys -= routes_by_key.keys()
        self.routes_by_key = routes_by_key

    def _retired(self, service: records.Service) -> records.Service | None:
        """Returns the previous state of a service if its base differs."""
        if self._revisions.retired is None:
            return None
        services_by_name = self._revisions.retired.services_by_name
        previous = services_by_name.get(service.name)
        if previous is None or previous is service:
            return None
        if previous.generations[:1] == service.generations[:1]:
            return None
        return previous


def _is_same(
    inputs: routes_lib.ServiceInputs,
    found: service_versions.ServiceVersions,
    retired: records.Service | None,
) -> bool:
    """Returns whether a service is the very one that routes were built from.

    Configurations share the records of services that did not change, so that
    comparing identities tells nearly all of them apart from the changed ones.
    """
    if inputs.is_active is not found.is_active:
        return False
    if inputs.retired is not retired:
        return False
    if len(inputs.views) != len(found.versions):
        return False
    for known, view in zip(inputs.views, found.versions, strict=True):
        if known is not view:
            return False
    return True


def _is_apart(
    touched: frozenset[str], found: service_versions.ServiceVersions
) -> bool:
    """Returns whether no upstream of a service is among the named ones."""
    for view in found.versions:
        if not touched.isdisjoint(view.upstreams_by_name):
            return False
    return True


def _inputs(
    common: _CommonInputs,
    found: service_versions.ServiceVersions,
    retired: records.Service | None,
) -> routes_lib.ServiceInputs:
    """Returns all that the routes of one service depend on."""
    names = frozenset(
        name for view in found.versions for name in view.upstreams_by_name
    )
    return routes_lib.ServiceInputs(
        views=found.versions,
        is_active=found.is_active,
        retired=retired,
        closed_data_centres=common.closed,
        out_data_centres=common.out,
        given_up_data_centres=common.given_up,
        unsettled=common.unsettled & names,
        spread=common.spread & names,
        refused=common.failed & names,
        lost=common.lost_by_service.get(found.versions[0].name, frozenset()),
    )


def _out(configurations: list[records.Configuration]) -> frozenset[str]:
    """Returns the data centres that are out in any configuration."""
    names = set()
    for configuration in configurations:
        for name, data_centre in configuration.data_centres_by_name.items():
            if data_centre.state is records.DataCentreState.OUT:
                names.add(name)
    return frozenset(names)
