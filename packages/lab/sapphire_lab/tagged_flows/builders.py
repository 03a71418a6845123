"""Builders of packets, upstreams, configurations, items and heartbeats."""

import random

from sapphire_core.peers import data as peer_data
from sapphire_core.replication import data as replication_data
from sapphire_core.tagged_flows import data
from sapphire_core.tagged_flows import decisions
from sapphire_core.tagged_flows import steering as steering_lib

SERVICE_ADDRESS = 0xC6120001  # 198.18.0.1
SERVICE_PORT = 443
CALLER_ADDRESS = 0x64400007  # 100.64.0.7
DATA_CENTRE = "tacoma"
SEED = 7
# The era of a store that came back from an older copy once.
COPY_ERA = 1


def upstream(
    upstream_id: str,
    service: str = "board",
    data_centre: str = DATA_CENTRE,
    *,
    address: data.Address | None = None,
    state: data.UpstreamState = data.UpstreamState.READY,
    slots: int = 3,
    cold_ms: int = 0,
    started_ms: int = 1,
    report_number: int = 1,
) -> data.Upstream:
    """Returns an upstream whose guard and address follow from its ID."""
    digits = sum(ord(letter) * 31 for letter in upstream_id) % 65_000
    return data.Upstream(
        upstream_id=upstream_id,
        guard=digits,
        address=address or (f"10.1.{digits % 250}.{digits // 260}", 6080),
        service=service,
        data_centre=data_centre,
        slots=slots,
        state=state,
        cold_ms=cold_ms,
        started_ms=started_ms,
        report_number=report_number,
    )


def configuration(
    version: int = 1,
    services: tuple[str, ...] = ("board",),
    *,
    cold_flows_per_s: float = 10.0,
    objective_ms: int = 200,
) -> data.Configuration:
    """Returns a configuration with one route to each service.

    The first route is at `SERVICE_PORT`, the next at the next port, and so on.
    """
    return data.Configuration(
        version=version,
        routes_by_endpoint={
            (SERVICE_ADDRESS, SERVICE_PORT + number): data.Route(
                f"route-{name}", (data.ServiceShare(name, 1),), 1, objective_ms
            )
            for number, name in enumerate(services)
        },
        services_by_name={
            name: data.Service(name, cold_flows_per_s, 2_000, 2_000)
            for name in services
        },
        idle_timeout_ms=15_000,
    )


def flow(number: int = 1, port: int = SERVICE_PORT) -> data.FlowId:
    """Returns a flow of the caller, which uses one port for each number."""
    return data.FlowId(CALLER_ADDRESS, 40_000 + number, SERVICE_ADDRESS, port)


def opening(
    number: int = 1,
    *,
    retransmissions: int = 0,
    tag: int = 0,
    port: int = SERVICE_PORT,
) -> data.Packet:
    """Returns an opening packet, or a retransmission of it."""
    return data.Packet(
        flow(number, port),
        True,
        False,
        False,
        tag,
        1,
        retransmissions,
        0,
        b"open",
    )


def packet(
    number: int = 1,
    *,
    tag: int,
    sequence: int = 2,
    acknowledged: int = 100,
    payload_bytes: int = 300,
    is_closing: bool = False,
    is_reset: bool = False,
) -> data.Packet:
    """Returns a packet of a flow that was opened before."""
    return data.Packet(
        flow(number),
        False,
        is_closing,
        is_reset,
        tag,
        sequence,
        acknowledged,
        payload_bytes,
        b"data",
    )


class SteeringBench:
    """The steering of one host with the given upstreams.

    Attributes:
        steering: The steering under test.
        decisions: The decisions that it reported.
    """

    def __init__(self, *upstreams: data.Upstream) -> None:
        self.decisions: list[decisions.Decision] = []
        self.steering = steering_lib.Steering(
            DATA_CENTRE, random.Random(SEED), self.decisions.append
        )
        self.steering.configure(configuration())
        for number, registered in enumerate(upstreams):
            self.steering.upstream_table.put(registered, number + 1, 0)

    def open(
        self, number: int, now_ms: int, retransmissions: int = 0
    ) -> data.Action:
        """Returns what the steering does with an opening packet."""
        return self.steering.handle(
            opening(number, retransmissions=retransmissions), now_ms
        )

    def answer(self, number: int, action: data.Action, now_ms: int) -> None:
        """Sends the caller's packet that follows the answer of an upstream."""
        if isinstance(action, data.Forward):
            self.steering.handle(packet(number, tag=action.tag), now_ms)

    def tell_pins(self, peer: "SteeringBench", now_ms: int) -> None:
        """Tells a peer the flow pins that the next heartbeat carries."""
        pins = self.steering.flow_pins.reported(now_ms, relays=False)
        peer.steering.flow_pins.merge(pins, now_ms)

    def verdicts(self) -> list[data.Verdict]:
        """Returns the verdicts reported so far."""
        return [decision.verdict for decision in self.decisions]


def item(
    key: str, revision: int, value: bytes | None = b"v"
) -> replication_data.Item:
    """Returns an item of the store; a tombstone if the value is None."""
    return replication_data.Item(key, revision, value)


def batch(
    *items: replication_data.Item, as_of: int, is_full: bool = False
) -> replication_data.Batch:
    """Returns a batch of items of one scope."""
    return replication_data.Batch(items, as_of, is_full)


def copy_batch(
    *items: replication_data.Item, as_of: int, is_full: bool = True
) -> replication_data.Batch:
    """Returns a batch of a store that came back from an older copy.

    Other batches and announcements are of era 0.
    """
    return replication_data.Batch(items, as_of, is_full, COPY_ERA)


def claims(
    ages_ms: dict[str, int], answered_ms: int | None = 1_000
) -> dict[str, peer_data.FollowerClaim]:
    """Returns claims of store followers by their ages.

    Args:
        ages_ms: How long ago the store answered each of them.
        answered_ms: When that was, by the clock of each.
    """
    return {
        host: peer_data.FollowerClaim(age_ms, answered_ms)
        for host, age_ms in ages_ms.items()
    }


def heartbeat(
    host: str,
    *,
    sequence: int = 1,
    start_id: int = 1,
    data_centre: str = DATA_CENTRE,
    is_leaving: bool = False,
    revision: int = 0,
    store_failed_ms: int | None = None,
    followers: dict[str, peer_data.FollowerClaim] | None = None,
    upstreams: tuple[peer_data.UpstreamReport, ...] = (),
    live_counts: dict[str, peer_data.LiveCount] | None = None,
    outcomes: tuple[peer_data.OutcomeReport, ...] = (),
    is_cut_off: bool = False,
    answered_ms: int | None = None,
    flow_pins: tuple[data.FlowPin, ...] = (),
) -> peer_data.Heartbeat:
    """Returns a heartbeat of a host."""
    return peer_data.Heartbeat(
        contact=peer_data.Contact(host, data_centre, "127.0.0.1", 7720),
        start_id=start_id,
        sequence=sequence,
        is_leaving=is_leaving,
        revisions=dict.fromkeys(replication_data.Scope, revision),
        store_failed_ms=store_failed_ms,
        followers=followers or {},
        upstreams=upstreams,
        live_counts=live_counts or {},
        outcomes=outcomes,
        is_cut_off=is_cut_off,
        answered_ms=answered_ms,
        flow_pins=flow_pins,
    )
