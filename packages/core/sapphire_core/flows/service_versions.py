"""What the known configurations say about each service address."""

from collections.abc import Sequence
import dataclasses
import functools
import ipaddress

from sapphire_data import records

PORT_BYTES = 2

Endpoint = tuple[str, int]


@functools.lru_cache(maxsize=65_536)
def service_key(address: str, port: int) -> bytes:
    """Returns the key of a service address.

    Args:
        address: The virtual IP number.
        port: The port.

    Returns:
        Four address bytes, 16 for IPv6, and two port bytes.
    """
    packed = ipaddress.ip_address(address).packed
    return packed + port.to_bytes(PORT_BYTES, "big")


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceVersions:
    """The services that known configurations have at one address.

    Attributes:
        versions: The different states of the service, oldest first.
        is_active: Whether the active configuration has the oldest of them.
        is_moving: Whether the address passes from one service to another.
    """

    versions: tuple[records.Service, ...]
    is_active: bool
    is_moving: bool


def by_key(
    configurations: Sequence[records.Configuration],
) -> dict[bytes, ServiceVersions]:
    """Collects the services of each address.

    Args:
        configurations: The active configuration and the prepared ones.

    Returns:
        The views by service key.
    """
    views_by_key: dict[bytes, list[records.Service]] = {}
    active_keys = set()
    for index, configuration in enumerate(configurations):
        for service in configuration.services_by_name.values():
            key = service_key(service.address, service.port)
            views = views_by_key.setdefault(key, [])
            # Most services are the same in all revisions; equal views are
            # dropped so that their routes are not computed again.
            is_known = bool(views) and (
                views[-1] is service or views[-1] == service
            )
            if not is_known:
                views.append(service)
            if index == 0:
                active_keys.add(key)
    result = {}
    for key, views in views_by_key.items():
        is_moving = False
        if len(views) > 1:
            is_moving = len({view.name for view in views}) > 1
        result[key] = ServiceVersions(
            tuple(views), key in active_keys, is_moving
        )
    return result


def reassigned_upstreams(
    configurations: Sequence[records.Configuration],
) -> dict[str, frozenset[str]]:
    """Finds upstreams whose name or address passed to another service.

    Args:
        configurations: The active configuration and the prepared ones.

    Returns:
        By service the names that it may no longer send packets to.
    """
    newest = configurations[-1]
    lost: dict[str, set[str]] = {}
    for configuration in configurations[:-1]:
        changed = _changed(configuration, newest)
        if not changed:
            continue
        users = _users(_changed(newest, configuration))
        for service in changed:
            names = _lost_of(service, users)
            if names:
                lost.setdefault(service.name, set()).update(names)
    return {name: frozenset(names) for name, names in lost.items()}


@dataclasses.dataclass(frozen=True, slots=True)
class _Users:
    """The services that use an endpoint or the name of an upstream."""

    by_endpoint: dict[Endpoint, set[str]]
    by_upstream: dict[str, set[str]]


def _changed(
    configuration: records.Configuration, other: records.Configuration
) -> list[records.Service]:
    """Returns the services that another configuration does not share.

    Configurations share the records of services that did not change. Such a
    service holds its upstreams in both, so that it neither loses one nor
    takes one over.
    """
    others = other.services_by_name
    changed = []
    for name, service in configuration.services_by_name.items():
        if others.get(name) is not service:
            changed.append(service)
    return changed


def _users(services: Sequence[records.Service]) -> _Users:
    """Collects who uses which endpoint and which name."""
    users = _Users({}, {})
    for service in services:
        for upstream in service.upstreams_by_name.values():
            endpoint = (upstream.address, upstream.packet_port)
            users.by_endpoint.setdefault(endpoint, set()).add(service.name)
            users.by_upstream.setdefault(upstream.name, set()).add(service.name)
    return users


def _lost_of(service: records.Service, users: _Users) -> set[str]:
    """Returns the upstreams of a service that now belong to others."""
    lost = set()
    for upstream in service.upstreams_by_name.values():
        endpoint = (upstream.address, upstream.packet_port)
        found = users.by_endpoint.get(endpoint, set())
        found = found | users.by_upstream.get(upstream.name, set())
        if found and service.name not in found:
            lost.add(upstream.name)
    return lost
