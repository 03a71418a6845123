"""Immutable records of asking a fleet."""

import dataclasses

from sapphire_ctl import failures
from sapphire_wire import api


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A host to ask.

    Attributes:
        address: Its IP number and API port, as in a URL.
        host_id: Its identity where a peer has told it, else empty.
        data_centre: Its data centre where a peer has told it, else empty.
    """

    address: str
    host_id: str = ""
    data_centre: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class UnansweredHost:
    """A host that has not answered.

    Attributes:
        target: The host.
        failure: Why there is no answer.
    """

    target: Target
    failure: failures.HostFailure


@dataclasses.dataclass(frozen=True, slots=True)
class FleetStatus:
    """The status of all hosts.

    Attributes:
        statuses: The answers, one for each host.
        unanswered: The hosts without one.
        told: The hosts of a large fleet that were not asked, as their peers
            know them.
        is_complete: Whether all hosts were asked and list their upstreams.
    """

    statuses: tuple[api.HostStatus, ...]
    unanswered: tuple[UnansweredHost, ...] = ()
    told: tuple[api.MemberStatus, ...] = ()
    is_complete: bool = True


def url_address(address: str, port: int) -> str:
    """Returns an IP number and port as a URL has them."""
    if ":" in address:
        return f"[{address}]:{port}"
    return f"{address}:{port}"
