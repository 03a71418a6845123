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
class ServiceViews:
    """The services that known configurations have at one address.

    Attributes:
        views: The different states of the service, oldest first.
        is_active: Whether the active configuration has the oldest of them.
        is_moving: Whether the address passes from one service to another.
    """

    views: tuple[records.Service, ...]
    is_active: bool
    is_moving: bool


def by_key(
    configurations: Sequence[records.Configuration],
) -> dict[bytes, ServiceViews]:
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
            if not views or views[-1] != service:
                views.append(service)
            if index == 0:
                active_keys.add(key)
    result = {}
    for key, views in views_by_key.items():
        names = {view.name for view in views}
        result[key] = ServiceViews(
            tuple(views), key in active_keys, len(names) > 1
        )
    return result


def lost_upstreams(
    configurations: Sequence[records.Configuration],
) -> dict[str, frozenset[str]]:
    """Finds upstreams whose name or address passed to another service.

    Args:
        configurations: The active configuration and the prepared ones.

    Returns:
        By service the names that it may no longer send packets to.
    """
    if len(configurations) < 2:  # noqa: PLR2004 - a change needs two.
        return {}
    newest = configurations[-1]
    services_by_endpoint: dict[Endpoint, set[str]] = {}
    services_by_upstream: dict[str, set[str]] = {}
    for service in newest.services_by_name.values():
        for upstream in service.upstreams_by_name.values():
            endpoint = (upstream.address, upstream.packet_port)
            services_by_endpoint.setdefault(endpoint, set()).add(service.name)
            services_by_upstream.setdefault(upstream.name, set()).add(
                service.name
            )
    lost: dict[str, set[str]] = {}
    for configuration in configurations[:-1]:
        for service in configuration.services_by_name.values():
            for upstream in service.upstreams_by_name.values():
                endpoint = (upstream.address, upstream.packet_port)
                users = services_by_endpoint.get(endpoint, set())
                users = users | services_by_upstream.get(upstream.name, set())
                if users and service.name not in users:
                    lost.setdefault(service.name, set()).add(upstream.name)
    return {name: frozenset(names) for name, names in lost.items()}
