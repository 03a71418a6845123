"""Builders of a router with ambiguous buckets, and of packets of its flows."""

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
UPSTREAM_COUNT = 8
BUCKETS = 4_093
# Longer than all timers of a router.
SETTLE_MS = 20_000
STEP_MS = 100
VIEW_INTERVAL_MS = 400
PORTS_PER_CALLER = 60_000
FIRST_PORT = 1_024
PAYLOAD = b"x" * 64


def build_configuration(
    revision: int, address: str, port: int, pools: tuple[int, ...]
) -> records.Configuration:
    """Builds a configuration with one service.

    Args:
        revision: The revision.
        address: The IP address of all upstreams.
        port: The UDP port of all upstreams.
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
    """Builds the membership view of a host that is the only one.

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
    """Builds a router of which some buckets are ambiguous.

    Args:
        time: The clock, which is advanced past all timers.
        address: The IP address of all upstreams.
        port: The UDP port of all upstreams.

    Returns:
        The router, with a view that is valid at the time of the clock.
    """
    router = flow_router.Router(HOST_ID)
    for revision, pools in (
        (1, (UPSTREAM_COUNT,)),
        (2, (UPSTREAM_COUNT, UPSTREAM_COUNT + 1)),
    ):
        configuration = build_configuration(revision, address, port, pools)
        router.prepare(configuration, time.now_ms())
        advance_past_timers(router, time, revision)
    return router


def advance_past_timers(
    router: flow_router.Router, time: clock.ManualClock, revision: int
) -> None:
    """Advances the clock past all timers of a router, and ticks it meanwhile.

    Args:
        router: The router.
        time: The clock.
        revision: The revision that every host has prepared.
    """
    end_ms = time.now_ms() + SETTLE_MS
    while time.now_ms() < end_ms:
        time.advance(STEP_MS)
        if time.now_ms() % VIEW_INTERVAL_MS == 0:
            router.set_view(build_view(revision), time.now_ms())
        router.tick(time.now_ms())
    router.set_view(build_view(revision), time.now_ms())


def build_packet(number: int, flags: int) -> bytes:
    """Builds a packet of one of many flows.

    Only the caller's address and port are written into a template, so that a
    million packets are built in seconds. The checksums are not recomputed.

    Args:
        number: The number of the flow; the caller's address and port follow
            from it.
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
    """Returns a packet in which the caller is a placeholder."""
    payload = PAYLOAD
    if flags & packet_builders.SYN:
        payload = b""
    return packet_builders.tcp_packet(
        ("10.0.0.0", FIRST_PORT), SERVICE, flags, payload=payload
    )


def ambiguous_buckets() -> frozenset[int]:
    """Returns the buckets whose owner differs between the two pools."""
    before = _owners(UPSTREAM_COUNT)
    after = _owners(UPSTREAM_COUNT + 1)
    ambiguous = set()
    for bucket in range(BUCKETS):
        if before[bucket] != after[bucket]:
            ambiguous.add(bucket)
    return frozenset(ambiguous)


def decode_fields(packet: bytes) -> ip_packet.PacketFields:
    """Decodes a packet from `build_packet`.

    Args:
        packet: The packet.

    Returns:
        Its fields.
    """
    fields = ip_packet.decode(packet)
    assert isinstance(fields, ip_packet.PacketFields)
    return fields


def _owners(upstreams: int) -> Sequence[int]:
    """Returns the index of the upstream that owns each bucket.

    Names of up to ten upstreams sort by their numbers, so indices of both pools
    can be compared.
    """
    names = tuple(f"u{number}" for number in range(upstreams))
    return bucket_table.owners("rota", BUCKETS, names)
