"""Records of tagged flows: packets, upstreams, configuration, actions."""

from collections.abc import Mapping
import dataclasses
import enum
from typing import NamedTuple

from sapphire_data import failures

Address = tuple[str, int]
# A 32-bit address and a port, which make a short dictionary key.
Endpoint = tuple[int, int]

# In the tag field of a packet: no upstream has been selected yet.
NO_TAG = 0


class FlowId(NamedTuple):
    """The addresses and ports that identify a flow.

    Attributes:
        caller_address: The caller's IPv4 address as a number.
        caller_port: The caller's port.
        service_address: The destination IPv4 address as a number.
        service_port: The destination port.
    """

    caller_address: int
    caller_port: int
    service_address: int
    service_port: int

    @property
    def endpoint(self) -> Endpoint:
        """The destination address and port, which select the route."""
        return (self.service_address, self.service_port)


class FlowPin(NamedTuple):
    """Which upstream has a flow whose opening packet went to several.

    Attributes:
        flow_id: The flow.
        tag: The tag of the upstream; `NO_TAG` while it is not known.
        acknowledged: What the caller had acknowledged when that was found, in
            the numbers of this upstream; 0 while it is not known.
    """

    flow_id: FlowId
    tag: int
    acknowledged: int


@dataclasses.dataclass(frozen=True, slots=True)
class Packet:
    """One packet from a caller.

    Attributes:
        flow_id: The flow of the packet.
        is_opening: Whether it opens the flow, like a TCP SYN.
        is_closing: Whether the caller has finished sending, like a TCP FIN.
        is_reset: Whether the caller aborts the flow, like a TCP RST.
        tag: The tag of the last packet that the caller received, as the fabric
            returns it; 0 for none.
        sequence: The sequence number of the first byte of payload.
        acknowledged: The sequence number up to which the caller has received
            data. On an opening packet, how many copies of it the caller sent
            before this one.
        payload_bytes: The length of the payload.
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
    """Whether an upstream accepts new flows, by its own report."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """An upstream as registered by its last report.

    Attributes:
        upstream_id: Its identity, mostly new at each start.
        guard: A number in each packet forwarded to it, by which it rejects
            packets meant for another upstream: its address may be reused at
            any time.
        address: Where it receives packets.
        service: The name of its service.
        data_centre: The data centre that it runs in.
        slots: How many requests it processes concurrently.
        state: Whether it accepts new flows.
        cold_ms: The time left until its slow start ends; until then it can
            handle only the cold rate of its service.
        started_ms: The Unix time of its start, by its own clock.
        report_number: Counts its reports since its start.
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
    report_number: int


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceShare:
    """The weight of a service in a route.

    Attributes:
        service: The name of the service.
        weight: Its part of the route's new flows, relative to the sum of the
            weights.
    """

    service: str
    weight: int


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """The services that get the new flows to one endpoint.

    Attributes:
        name: The name of the route.
        shares: The weighted services; weights are above 0 and the tuple is
            not empty.
        priority: The priority of its requests; 0 is the most urgent.
        objective_ms: The latency objective of its requests; 0 for none.
    """

    name: str
    shares: tuple[ServiceShare, ...]
    priority: int
    objective_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """The configuration of a service.

    Attributes:
        name: The name of the service.
        cold_flows_per_s: The cold rate: new flows a second that an upstream can
            handle during slow start.
        warm_up_ms: How long slow start lasts.
        max_flows: How many flows an upstream can hold.
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
        routes_by_endpoint: The routes, by destination address and port.
        services_by_name: The services that routes refer to.
        idle_timeout_ms: A flow without packets for this long may be dropped.
    """

    version: int
    routes_by_endpoint: Mapping[Endpoint, Route]
    services_by_name: Mapping[str, Service]
    idle_timeout_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationChange:
    """The operators published a configuration.

    Attributes:
        configuration: The new configuration.
    """

    configuration: Configuration


@dataclasses.dataclass(frozen=True, slots=True)
class DataCentreChange:
    """Operators took a data centre out of rotation, or put it back.

    Attributes:
        data_centre: The name of the data centre.
        is_out: Whether its upstreams get no new flows.
    """

    data_centre: str
    is_out: bool


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamChange:
    """An upstream registered itself or renewed its report.

    Attributes:
        upstream: The new report.
    """

    upstream: Upstream


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamRemoval:
    """The entry of an upstream was removed from the registry.

    Attributes:
        upstream_id: The identity of the upstream.
    """

    upstream_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class FormerUpstream:
    """An upstream was removed from the registry before this host knew it.

    Flows may still carry its tag.

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
    """Why the entry of an upstream was removed from the registry."""

    # The upstream has stopped, or is treated as stopped.
    UPSTREAM_STOPPED = "left"
    # The entry may have lapsed only because the registry was unavailable.
    REGISTRY_UNAVAILABLE = "registry_away"
    # The entry was removed before this host knew the upstream.
    UNKNOWN = "unknown"


class Verdict(enum.StrEnum):
    """What happened to a packet; the value is its name in logs and counters.

    Attributes:
        OPENED: The opening packet was sent to a first upstream.
        FAILED_OVER: The opening packet was sent to another upstream, since the
            last one did not answer in time.
        ANSWERED: The caller's next packet shows that an upstream has answered.
        CLOSED: The caller closed or reset the flow.
        DEFERRED: The opening packet is held until an upstream has a free slot.
        SHED: The service responds too late for its callers; the caller of an
            opening packet that no upstream has got gets a reset.
        NO_ROUTE: No route exists for the destination; the caller gets a reset.
        NO_UPSTREAM: No upstream is eligible; the caller gets a reset.
        UPSTREAM_GONE: The upstream of an open flow is dead or its address is
            reused; the caller gets a reset.
        STALLED: The caller repeats its data on an open flow; the packet is
            forwarded.
        UNKNOWN_TAG: No known upstream has the tag; the packet is dropped.
        UNANSWERED: No upstream answered before the caller timed out.
        SPARED: The upstream did not answer in time, but the opening packet is
            not sent to another one until the caller retransmits.
        SECOND_ANSWER: The caller's packets name another upstream than the one
            that opened the flow; they are forwarded to the latter.
        GIVEN_UP: The caller timed out while its opening packet was held.
    """

    OPENED = "opened"
    FAILED_OVER = "opened_again"
    ANSWERED = "answered"
    CLOSED = "closed"
    DEFERRED = "gives_way"
    SHED = "shed"
    NO_ROUTE = "no_route"
    NO_UPSTREAM = "no_upstream"
    UPSTREAM_GONE = "upstream_gone"
    STALLED = "stalled"
    UNKNOWN_TAG = "unknown_tag"
    UNANSWERED = "unanswered"
    SPARED = "not_opened_again"
    SECOND_ANSWER = "second_answer"
    GIVEN_UP = "given_up"


@dataclasses.dataclass(frozen=True, slots=True)
class Forward:
    """Forward a packet to an upstream.

    Attributes:
        packet: The packet to forward.
        upstream: The upstream that gets it.
        tag: The tag to write into the packet.
    """

    packet: Packet
    upstream: Upstream
    tag: int


@dataclasses.dataclass(frozen=True, slots=True)
class Reset:
    """Send a reset to the caller, which ends the flow.

    Attributes:
        packet: The packet that the reset answers.
        verdict: The reason.
    """

    packet: Packet
    verdict: Verdict


@dataclasses.dataclass(frozen=True, slots=True)
class Drop:
    """Drop a packet.

    Attributes:
        packet: The packet to drop.
        verdict: The reason.
    """

    packet: Packet
    verdict: Verdict


@dataclasses.dataclass(frozen=True, slots=True)
class Defer:
    """Hold an opening packet; `Steering.tick` decides about it later.

    Attributes:
        packet: The opening packet.
    """

    packet: Packet


Action = Forward | Reset | Drop | Defer


@dataclasses.dataclass(frozen=True, slots=True)
class UnreadablePacket(failures.Failure):
    """A datagram that cannot be decoded as a packet.

    Attributes:
        problem: What is wrong with it.
    """

    problem: str
