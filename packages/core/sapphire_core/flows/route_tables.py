"""The routes of all service addresses; only those that changed are rebuilt."""

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
    """What the routes of more than one service depend on.

    Attributes:
        out_in_active: Data centres that are out of rotation in the active
            configuration.
        out_in_any: Data centres that are out of rotation in any known one.
        out_in_newest: Data centres that are out of rotation in the newest one.
        unsettled: Upstreams whose observation makes their buckets ambiguous,
            cold ones included.
        propagated: The subset of `unsettled` whose observation every host has
            received by now.
        failed: Upstreams that were observed to have failed.
        reassigned_by_service: By service, the upstreams whose name or address
            now belongs to another service.
    """

    out_in_active: frozenset[str]
    out_in_any: frozenset[str]
    out_in_newest: frozenset[str]
    unsettled: frozenset[str]
    propagated: frozenset[str]
    failed: frozenset[str]
    reassigned_by_service: Mapping[str, frozenset[str]]

    def changed_upstreams(
        self, before: "_CommonInputs | None"
    ) -> frozenset[str] | None:
        """Returns the upstreams whose state differs from earlier inputs.

        Args:
            before: The earlier inputs.

        Returns:
            Their names; None if the routes of all services have to be built
            again.
        """
        if before is None:
            return None
        data_centres = (self.out_in_active, self.out_in_any, self.out_in_newest)
        if data_centres != (
            before.out_in_active,
            before.out_in_any,
            before.out_in_newest,
        ):
            return None
        return (
            (self.unsettled ^ before.unsettled)
            | (self.propagated ^ before.propagated)
            | (self.failed ^ before.failed)
        )


class RouteTables:
    """The routes of a host by service key.

    Attributes:
        routes_by_key: The routes of each service address in use.

    Args:
        revisions: The known configurations.
        observations: The known observations of upstreams.
    """

    def __init__(
        self,
        revisions: revisions_lib.Revisions,
        observations: upstream_observations.UpstreamObservations,
    ) -> None:
        self.routes_by_key: dict[bytes, Routes] = {}
        self._moving_keys: set[bytes] = set()
        self._withdrawn_keys: set[bytes] = set()
        self._revisions = revisions
        self._observations = observations
        self._propagated: frozenset[str] = frozenset()
        self._common: _CommonInputs | None = None

    def find(self, service_key: bytes) -> Routes | None:
        """Returns the routes of a service address, None if it has none."""
        return self.routes_by_key.get(service_key)

    def by_name(self, service: str) -> Routes | None:
        """Returns the routes of an active service, None if it is not active."""
        for routes in self.routes_by_key.values():
            if routes.name == service and routes.inputs.is_active:
                return routes
        return None

    def decide_without_routes(
        self, service_key: bytes, is_opening: bool
    ) -> data.Decision:
        """Decides about a packet to an address that has no routes.

        Flows of an address that was withdrawn are reset, so that no packet of
        them arrives when another service gets the address.

        Args:
            service_key: The service key.
            is_opening: Whether the packet opens a flow.

        Returns:
            A reset or a drop.
        """
        reason: data_failures.Failure = failures.UnknownService()
        if service_key in self._moving_keys:
            reason = failures.ServiceAddressMoving()
        elif service_key not in self._withdrawn_keys:
            return data.Drop(reason)
        return data.Drop(reason) if is_opening else data.Reset(reason)

    def has_propagation_changed(self, now_ms: int) -> bool:
        """Returns whether `propagated` differs from the last rebuild."""
        return self._observations.propagated(now_ms) != self._propagated

    def rebuild(self, cold: frozenset[str], now_ms: int) -> None:
        """Computes the routes whose inputs changed.

        Args:
            cold: The upstreams in slow start.
            now_ms: The current time.
        """
        configurations = self._revisions.known()
        if not configurations:
            return
        self._propagated = self._observations.propagated(now_ms)
        common = _CommonInputs(
            out_in_active=_data_centres_out(configurations[:1]),
            out_in_any=_data_centres_out(configurations),
            out_in_newest=_data_centres_out(configurations[-1:]),
            unsettled=self._observations.unsettled() | cold,
            propagated=self._propagated,
            failed=self._observations.failed(),
            reassigned_by_service=service_versions.reassigned_upstreams(
                configurations
            ),
        )
        changed = common.changed_upstreams(self._common)
        reassigned_before = (
            self._common.reassigned_by_service if self._common else {}
        )
        self._common = common
        routes_by_key: dict[bytes, Routes] = {}
        self._moving_keys = set()
        for key, found in service_versions.by_key(configurations).items():
            if found.is_moving:
                self._moving_keys.add(key)
                continue
            previous = self._previous_version(found.versions[0])
            routes = self.routes_by_key.get(key)
            name = found.versions[0].name
            is_unchanged = (
                routes is not None
                and changed is not None
                and common.reassigned_by_service.get(name)
                == reassigned_before.get(name)
                and _has_same_records(routes.inputs, found, previous)
                and _has_none_of(changed, found)
            )
            if routes is None or not is_unchanged:
                inputs = _inputs(common, found, previous)
                if routes is None or routes.inputs != inputs:
                    routes = routes_lib.build(inputs)
            routes_by_key[key] = routes
        self._withdrawn_keys |= self.routes_by_key.keys()
        self._withdrawn_keys -= routes_by_key.keys()
        self.routes_by_key = routes_by_key

    def _previous_version(
        self, service: records.Service
    ) -> records.Service | None:
        """Returns the previous version of a service.

        Returns:
            The service in the previous configuration; None if its oldest
            generation, which determines the default owners, is the same.
        """
        if self._revisions.previous is None:
            return None
        services_by_name = self._revisions.previous.services_by_name
        previous = services_by_name.get(service.name)
        if previous is None or previous is service:
            return None
        if previous.generations[:1] == service.generations[:1]:
            return None
        return previous


def _has_same_records(
    inputs: routes_lib.RouteInputs,
    found: service_versions.ServiceVersions,
    previous: records.Service | None,
) -> bool:
    """Returns whether routes were built from the same service records.

    Configurations share the records of services that did not change, so that
    a comparison of object identities finds nearly all unchanged services.
    """
    if inputs.is_active is not found.is_active:
        return False
    if inputs.previous is not previous:
        return False
    if len(inputs.versions) != len(found.versions):
        return False
    for known, version in zip(inputs.versions, found.versions, strict=True):
        if known is not version:
            return False
    return True


def _has_none_of(
    names: frozenset[str], found: service_versions.ServiceVersions
) -> bool:
    """Returns whether no version of a service has any of the upstreams."""
    for version in found.versions:
        if not names.isdisjoint(version.upstreams_by_name):
            return False
    return True


def _inputs(
    common: _CommonInputs,
    found: service_versions.ServiceVersions,
    previous: records.Service | None,
) -> routes_lib.RouteInputs:
    """Returns all that the routes of one service depend on."""
    names = frozenset(
        name for version in found.versions for name in version.upstreams_by_name
    )
    return routes_lib.RouteInputs(
        versions=found.versions,
        is_active=found.is_active,
        previous=previous,
        data_centres_out_in_active=common.out_in_active,
        data_centres_out_in_any=common.out_in_any,
        data_centres_out_in_newest=common.out_in_newest,
        unsettled=common.unsettled & names,
        propagated=common.propagated & names,
        failed=common.failed & names,
        reassigned=common.reassigned_by_service.get(
            found.versions[0].name, frozenset()
        ),
    )


def _data_centres_out(
    configurations: list[records.Configuration],
) -> frozenset[str]:
    """Returns the data centres out of rotation in any given configuration."""
    names = set()
    for configuration in configurations:
        for name, data_centre in configuration.data_centres_by_name.items():
            if data_centre.state is records.DataCentreState.OUT:
                names.add(name)
    return frozenset(names)
