"""Builders of a router with held flows, and of the packets of these."""

from collections.abc import Sequence
import functools
import socket

from sapphire_core.flows import bucket_table
from sapphire_core.flows import router as flow_router
from sapphire_data import clock
from sapphire_data import records
from sapphire_wire import ip_packet
from sapphire_wire import packet_builders

HOST_ID = "host-1"
SERVICE = ("198.51.100.1", 443)
SERVICE_KEY = ip_packet.service_key(socket.inet_aton(SERVICE[0]), SERVICE[1])
UPSTREAMS = 8
BUCKETS = 4_093
SETTLE_MS = 20_000
STEP_MS = 100
VIEW_STEP_MS = 400
PORTS_PER_CALLER = 60_000
FIRST_PORT = 1_024
PAYLOAD = b"x" * 64


def build_configuration(
    revision: int, address: str, port: int, pools: tuple[int, ...]
) -> records.Configuration:
    """Builds a configuration with one service.

    Args:
        revision: The revision.
        address: The IP number that all upstreams share.
        port: The UDP port that all upstreams share.
        pools: The number of upstreams of each generation, oldest first.

    Returns:
        The configuration.
    """
    names = [f"u{number}" for number in range(max(pools))]
    upstreams_by_name = {
        name: records.Upstream(
            name, "tacoma", address, port, port, warm_up_ms=0
        )
        for name in names
    }
    generations = tuple(
        records.PoolGeneration(number, tuple(sorted(names[:size])))
        for number, size in enumerate(pools)
    )
    service = records.Service(
        name="rota",
        address=SERVICE[0],
        port=SERVICE[1],
        bucket_count=BUCKETS,
        upstreams_by_name=upstreams_by_name,
        generations=generations,
    )
    return records.Configuration(
        revision,
        f"digest-{revision}",
        {"rota": service},
        {"tacoma": records.DataCentre("tacoma")},
    )


def build_view(revision: int) -> records.MemberView:
    """Builds the view of a host that is alone.

    Args:
        revision: The revision that it has prepared.

    Returns:
        The view.
    """
    host = records.HostAddress(HOST_ID, "tacoma", "127.0.0.1", 1, 2)
    member = records.Member(host, 1, records.MemberState.ALIVE, revision, 0)
    return records.MemberView({HOST_ID: member}, True, revision)


def build_router(
    time: clock.ManualClock, address: str, port: int
) -> flow_router.Router:
    """Builds a router with a part of its buckets ambiguous.

    Args:
        time: The clock; it is moved past all timers.
        address: The IP number that all upstreams share.
        port: The UDP port that all upstreams share.

    Returns:
        The router, with a view that is fresh at the time of the clock.
    """
    router = flow_router.Router(HOST_ID)
    for revision, pools in ((1, (UPSTREAMS,)), (2, (UPSTREAMS, UPSTREAMS + 1))):
        configuration = build_configuration(revision, address, port, pools)
        router.prepare(configuration, time.now_ms())
        advance_past_timers(router, time, revision)
    return router


def advance_past_timers(
    router: flow_router.Router, time: clock.ManualClock, revision: int
) -> None:
    """Moves the clock past all timers of a router.

    Args:
        router: The router.
        time: The clock.
        revision: The revision that every host has prepared.
    """
    end_ms = time.now_ms() + SETTLE_MS
    while time.now_ms() < end_ms:
        time.advance(STEP_MS)
        if time.now_ms() % VIEW_STEP_MS == 0:
            router.set_view(build_view(revision), time.now_ms())
        router.tick(time.now_ms())
    router.set_view(build_view(revision), time.now_ms())


def build_packet(number: int, flags: int) -> bytes:
    """Builds a packet of one of many flows.

    Only addresses and ports are filled into a template, so that a million
    packets are built in seconds; checksums are those of the template.

    Args:
        number: The number of the flow.
        flags: The TCP flags.

    Returns:
        The IP packet.
    """
    caller, port = divmod(number, PORTS_PER_CALLER)
    template = _template(flags)
    address = (10 << 24 | caller).to_bytes(4, "big")
    ports = (FIRST_PORT + port).to_bytes(2, "big")
    return template[:12] + address + template[16:20] + ports + template[22:]


@functools.cache
def _template(flags: int) -> bytes:
    """Returns a packet with any caller."""
    payload = PAYLOAD
    if flags & packet_builders.SYN:
        payload = b""
    return packet_builders.tcp_packet(
        ("10.0.0.0", FIRST_PORT), SERVICE, flags, payload=payload
    )


def ambiguous_buckets() -> frozenset[int]:
    """Returns the buckets whose owner changes with the second pool."""
    before = _owners(UPSTREAMS)
    after = _owners(UPSTREAMS + 1)
    moved = set()
    for bucket in range(BUCKETS):
        if before[bucket] != after[bucket]:
            moved.add(bucket)
    return frozenset(moved)


def decode_fields(packet: bytes) -> ip_packet.PacketFields:
    """Reads a packet that a builder made.

    Args:
        packet: The packet.

    Returns:
        Its fields.
    """
    fields = ip_packet.decode(packet)
    assert isinstance(fields, ip_packet.PacketFields)
    return fields


def _owners(upstreams: int) -> Sequence[int]:
    """Returns the index of the owner of each bucket.

    The names sort in the order of their numbers, so that indices of both
    pools are comparable.
    """
    names = tuple(f"u{number}" for number in range(upstreams))
    return bucket_table.owners("rota", BUCKETS, names)
