"""The versions of the service at each address in the known configurations."""

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
        address: The virtual IP address.
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
        versions: The different versions of the service, the oldest first.
        is_active: Whether the active configuration has the oldest version.
        is_moving: Whether the address moves from one service to another, so
            that the versions have different names.
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
        The versions by service key.
    """
    versions_by_key: dict[bytes, list[records.Service]] = {}
    active_keys = set()
    for index, configuration in enumerate(configurations):
        for service in configuration.services_by_name.values():
            key = service_key(service.address, service.port)
            versions = versions_by_key.setdefault(key, [])
            # Most services are the same in all revisions; equal versions are
            # dropped so that their routes are not computed again.
            is_known = bool(versions) and (
                versions[-1] is service or versions[-1] == service
            )
            if not is_known:
                versions.append(service)
            if index == 0:
                active_keys.add(key)
    result = {}
    for key, versions in versions_by_key.items():
        is_moving = False
        if len(versions) > 1:
            is_moving = len({version.name for version in versions}) > 1
        result[key] = ServiceVersions(
            tuple(versions), key in active_keys, is_moving
        )
    return result


def reassigned_upstreams(
    configurations: Sequence[records.Configuration],
) -> dict[str, frozenset[str]]:
    """Finds upstreams whose name or address now belongs to another service.

    Args:
        configurations: The active configuration and the prepared ones.

    Returns:
        By service the names of the upstreams that must not get packets of the
        service any more.
    """
    newest = configurations[-1]
    reassigned: dict[str, set[str]] = {}
    for configuration in configurations[:-1]:
        changed = _changed(configuration, newest)
        if not changed:
            continue
        users = _users(_changed(newest, configuration))
        for service in changed:
            names = _reassigned_of(service, users)
            if names:
                reassigned.setdefault(service.name, set()).update(names)
    return {name: frozenset(names) for name, names in reassigned.items()}


@dataclasses.dataclass(frozen=True, slots=True)
class _Users:
    """The names of the services that use an endpoint or an upstream name."""

    by_endpoint: dict[Endpoint, set[str]]
    by_upstream: dict[str, set[str]]


def _changed(
    configuration: records.Configuration, other: records.Configuration
) -> list[records.Service]:
    """Returns the services that another configuration has changed or removed.

    Configurations share the records of services that did not change. Such a
    service has the same upstreams in both, so it is not needed to find the
    upstreams that moved between services.
    """
    others = other.services_by_name
    changed = []
    for name, service in configuration.services_by_name.items():
        if others.get(name) is not service:
            changed.append(service)
    return changed


def _users(services: Sequence[records.Service]) -> _Users:
    """Collects which services use which endpoint and which upstream name."""
    users = _Users({}, {})
    for service in services:
        for upstream in service.upstreams_by_name.values():
            endpoint = (upstream.address, upstream.packet_port)
            users.by_endpoint.setdefault(endpoint, set()).add(service.name)
            users.by_upstream.setdefault(upstream.name, set()).add(service.name)
    return users


def _reassigned_of(service: records.Service, users: _Users) -> set[str]:
    """Returns the upstreams of a service that only other services use now."""
    reassigned = set()
    for upstream in service.upstreams_by_name.values():
        endpoint = (upstream.address, upstream.packet_port)
        found = users.by_endpoint.get(endpoint, set())
        found = found | users.by_upstream.get(upstream.name, set())
        if found and service.name not in found:
            reassigned.add(upstream.name)
    return reassigned
