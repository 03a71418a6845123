"""Immutable records of querying the hosts of a fleet."""

import dataclasses

from sapphire_ctl import failures
from sapphire_wire import api


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A host to query.

    Attributes:
        address: Its IP address and API port, as in a URL.
        host_id: Its identity if a peer has reported it, else empty.
        data_centre: Its data centre if a peer has reported it, else empty.
    """

    address: str
    host_id: str = ""
    data_centre: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class UnansweredHost:
    """A host without a valid response.

    Attributes:
        target: The host.
        failure: Why there is none.
    """

    target: Target
    failure: failures.HostFailure


@dataclasses.dataclass(frozen=True, slots=True)
class FleetStatus:
    """The status of all hosts.

    Attributes:
        statuses: The status of each host that answered.
        unanswered: The hosts that did not.
        told: The hosts of a large fleet that were not queried, as their peers
            report them.
        is_complete: Whether all hosts were queried and list their upstreams.
    """

    statuses: tuple[api.HostStatus, ...]
    unanswered: tuple[UnansweredHost, ...] = ()
    told: tuple[api.MemberStatus, ...] = ()
    is_complete: bool = True


def url_address(address: str, port: int) -> str:
    """Returns an IP address and port in the form of a URL."""
    if ":" in address:
        return f"[{address}]:{port}"
    return f"{address}:{port}"
