"""Immutable records of tagged flows: packets, upstreams, routes, decisions."""

from collections.abc import Mapping
import dataclasses
import enum
from typing import NamedTuple

from sapphire_data import failures

Address = tuple[str, int]
# A 32-bit number, so that an address and port make a short dictionary key.
Endpoint = tuple[int, int]

NO_TAG = 0


class FlowId(NamedTuple):
    """The four addresses and ports that name a flow.

    Attributes:
        caller_address: The caller's IPv4 address as a number.
        caller_port: The caller's port.
        service_address: The IPv4 address that the caller called.
        service_port: The port that the caller called.
    """

    caller_address: int
    caller_port: int
    service_address: int
    service_port: int

    @property
    def endpoint(self) -> Endpoint:
        """The address and port that the caller called."""
        return (self.service_address, self.service_port)


@dataclasses.dataclass(frozen=True, slots=True)
class Packet:
    """One packet from a caller.

    Attributes:
        flow_id: The flow.
        is_opening: Whether it asks to open the flow.
        is_closing: Whether the caller has finished sending.
        is_reset: Whether the caller gives the flow up.
        tag: What the last packet to the caller carried; 0 for nothing.
        sequence: The number of the first byte of data.
        acknowledged: The number up to which the caller has received. On an
            opening packet, how many copies were sent before this one.
        payload_bytes: The length of the data.
        raw: The packet as it was received.
    """

    flow_id: FlowId
    is_opening: bool
    is_closing: bool
    is_reset: bool
    tag: int
    sequence: int
    acknowledged: int
    payload_bytes: int
    raw: bytes


class UpstreamState(enum.Enum):
    """What an upstream says of itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """An upstream as it registered itself.

    Attributes:
        upstream_id: Its identity, mostly new at each start.
        guard: The number by which it recognises packets that are meant for
            it; an address may belong to another upstream a moment later.
        address: Where it receives packets.
        service: The service that it belongs to.
        data_centre: The data centre that it runs in.
        slots: How many requests it works on at a time.
        state: Whether it takes new flows.
        cold_ms: How much longer it bears only its cold rate.
        started_ms: The Unix time of its start, by its own clock.
        heartbeat: Increases with each report since its start.
    """

    upstream_id: str
    guard: int
    address: Address
    service: str
    data_centre: str
    slots: int
    state: UpstreamState
    cold_ms: int
    started_ms: int
    heartbeat: int


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceShare:
    """The share of a route's new flows that a service gets.

    Attributes:
        service: The name of the service.
        weight: Its share among those of the route.
    """

    service: str
    weight: int


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where new flows to one endpoint go.

    Attributes:
        name: The name of the route.
        shares: The services; weights are above 0 and the list is not empty.
        priority: How urgent its requests are; 0 is the most urgent.
        objective_ms: The time within which callers want an answer.
    """

    name: str
    shares: tuple[ServiceShare, ...]
    priority: int
    objective_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """What the configuration says of a service.

    Attributes:
        name: The name of the service.
        cold_flows_per_s: The new flows a second that a cold upstream bears.
        warm_up_ms: How long an upstream stays cold after its start.
        max_flows: How many flows an upstream holds.
    """

    name: str
    cold_flows_per_s: float
    warm_up_ms: int
    max_flows: int


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operators' configuration.

    Attributes:
        version: Increases with each change.
        routes_by_endpoint: The routes by the endpoint that callers call.
        services_by_name: The services.
        idle_timeout_ms: After this time without packets a flow may be dropped.
    """

    version: int
    routes_by_endpoint: Mapping[Endpoint, Route]
    services_by_name: Mapping[str, Service]
    idle_timeout_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationChange:
    """A configuration was accepted.

    Attributes:
        configuration: The configuration.
    """

    configuration: Configuration


@dataclasses.dataclass(frozen=True, slots=True)
class DataCentreChange:
    """Operators took a data centre out or back.

    Attributes:
        data_centre: The data centre.
        is_out: Whether its upstreams are to get nothing new.
    """

    data_centre: str
    is_out: bool


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamChange:
    """An upstream registered or reported.

    Attributes:
        upstream: The upstream.
    """

    upstream: Upstream


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamRemoval:
    """The entry of an upstream is no longer in the registry.

    Attributes:
        upstream_id: The upstream.
    """

    upstream_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class FormerUpstream:
    """An upstream left the registry before this host knew of it.

    Attributes:
        upstream: Its last report.
    """

    upstream: Upstream


Change = (
    ConfigurationChange
    | DataCentreChange
    | UpstreamChange
    | UpstreamRemoval
    | FormerUpstream
)


class RemovalCause(enum.Enum):
    """Why the entry of an upstream is no longer in the registry."""

    # The upstream has ended, or is to be treated so.
    UPSTREAM_STOPPED = "left"
    # It may have lapsed only because the registry was away.
    REGISTRY_UNAVAILABLE = "registry_away"
    # It was removed before this host started.
    UNKNOWN = "unknown"


class Verdict(enum.StrEnum):
    """What happened to a packet, as logs and counters name it."""

    OPENED = "opened"
    FAILED_OVER = "opened_again"
    ANSWERED = "answered"
    CLOSED = "closed"
    DEFERRED = "gives_way"
    NO_ROUTE = "no_route"
    NO_UPSTREAM = "no_upstream"
    UPSTREAM_GONE = "upstream_gone"
    UNKNOWN_TAG = "unknown_tag"
    UNANSWERED = "unanswered"


@dataclasses.dataclass(frozen=True, slots=True)
class Forward:
    """Send a packet on to an upstream.

    Attributes:
        packet: The packet.
        upstream: The upstream.
        tag: The tag to write into the packet.
    """

    packet: Packet
    upstream: Upstream
    tag: int


@dataclasses.dataclass(frozen=True, slots=True)
class Reset:
    """End a flow with a reset to its caller.

    Attributes:
        packet: The packet that is answered by the reset.
        verdict: The reason.
    """

    packet: Packet
    verdict: Verdict


@dataclasses.dataclass(frozen=True, slots=True)
class Drop:
    """Send nothing.

    Attributes:
        packet: The packet.
        verdict: The reason.
    """

    packet: Packet
    verdict: Verdict


@dataclasses.dataclass(frozen=True, slots=True)
class Defer:
    """Send nothing yet; `Steering.tick` sends the packet later.

    Attributes:
        packet: The packet.
    """

    packet: Packet


Action = Forward | Reset | Drop | Defer


@dataclasses.dataclass(frozen=True, slots=True)
class UnreadablePacket(failures.Failure):
    """A datagram that is no packet.

    Attributes:
        problem: What is wrong with it.
    """

    problem: str
