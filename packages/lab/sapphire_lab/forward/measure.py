"""Compares the forwarding path of the daemon with a bare relay.

Both run in one process on the same kind of socket. The bare relay forwards each
datagram without reading it; the daemon's forwarder decodes it, decides and
counts. Rounds of the two alternate, so that load from outside affects both, and
a ratio is the median over all rounds. The last line is one JSON object.
"""

import argparse
from collections.abc import Callable
import json
import random
import socket
import statistics
import time
import tracemalloc

import anyio
from anyio import abc

from sapphire_data import clock
from sapphire_lab.forward import builders
from sapphire_node import forwarder
from sapphire_node import messages
from sapphire_wire import packet_builders

RECORDED_FLOWS = 200_000
PACKETS_PER_ROUND = 6_400
ROUNDS = 9
PACKETS_PER_BATCH = 64
FIRST_OPENED_FLOW = 50_000_000
LOOPBACK = "127.0.0.1"
RECEIVE_BYTES = 2_048


class BareRelay:
    """Forwards each datagram without reading it.

    Attributes:
        sent: The number of datagrams, including the one that is being sent.
    """

    def __init__(self, udp: abc.UDPSocket, port: int) -> None:
        """Creates the relay.

        Args:
            udp: Its socket.
            port: The loopback port to send to.
        """
        self.sent = 0
        self._udp = udp
        self._port = port

    async def serve(self) -> None:
        """Forwards datagrams until cancelled."""
        sendto = self._udp.sendto
        async for packet, _source in self._udp:
            self.sent += 1
            await sendto(packet, LOOPBACK, self._port)


async def _open_socket() -> tuple[abc.UDPSocket, int]:
    """Opens a UDP socket on a free loopback port; returns both."""
    udp = await anyio.create_udp_socket(
        family=socket.AF_INET, local_host=LOOPBACK, local_port=0
    )
    return udp, int(udp.extra(abc.SocketAttribute.local_port))


async def _measure_rate(
    port: int,
    sink: socket.socket,
    packets: list[bytes],
    count: Callable[[], int],
) -> float:
    """Measures the packets per second of a relay.

    Sending to the relay and receiving from it is not timed, so that the time is
    that of the relay's own loop.

    Args:
        port: The loopback port of the relay.
        sink: The socket to which the relay sends.
        packets: The packets.
        count: Returns the number of packets that the relay has processed.

    Returns:
        The packets per second.
    """
    elapsed_s = 0.0
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as source:
        source.connect((LOOPBACK, port))
        for start in range(0, len(packets), PACKETS_PER_BATCH):
            batch = packets[start : start + PACKETS_PER_BATCH]
            expected_count = count() + len(batch)
            for packet in batch:
                source.send(packet)
            start_s = time.perf_counter()
            while count() < expected_count:
                await anyio.sleep(0)
            elapsed_s += time.perf_counter() - start_s
            for _ in batch:
                sink.recv(RECEIVE_BYTES)
    return len(packets) / elapsed_s


def _find_flows(count: int, first: int, *, is_ambiguous: bool) -> list[int]:
    """Returns the numbers of flows in ambiguous or in settled buckets.

    Args:
        count: How many flows to return.
        first: The number from which to search.
        is_ambiguous: Whether the buckets are ambiguous.
    """
    ambiguous = builders.ambiguous_buckets()
    numbers: list[int] = []
    number = first
    while len(numbers) < count:
        packet = builders.build_packet(number, packet_builders.ACK)
        fields = builders.decode_fields(packet)
        is_bucket_ambiguous = fields.flow_hash % builders.BUCKETS in ambiguous
        if is_bucket_ambiguous is is_ambiguous:
            numbers.append(number)
        number += 1
    return numbers


def _open_flows(
    daemon: forwarder.Forwarder, numbers: list[int], now_ms: int
) -> float:
    """Opens flows at the router; returns the bytes that each of them takes."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for number in numbers:
        packet = builders.build_packet(number, packet_builders.SYN)
        fields = builders.decode_fields(packet)
        daemon.router.route(*fields, now_ms)
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return (after - before) / len(numbers)


async def measure(seed: int) -> dict[str, object]:
    """Runs the measurement.

    Args:
        seed: Seeds the choice of flows that have records.

    Returns:
        The figures.
    """
    rng = random.Random(seed)
    sink = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sink.bind((LOOPBACK, 0))
    sink_port = sink.getsockname()[1]
    manual_clock = clock.ManualClock()
    router = builders.build_router(manual_clock, LOOPBACK, sink_port)
    outbox, _inbox = anyio.create_memory_object_stream[messages.ToControl](16)
    bare_udp, bare_port = await _open_socket()
    daemon_udp, daemon_port = await _open_socket()
    bare = BareRelay(bare_udp, sink_port)
    daemon = forwarder.Forwarder(
        builders.HOST_ID,
        router,
        forwarder.Sockets(daemon_udp, daemon_udp),
        outbox,
        time=manual_clock,
    )
    now_ms = manual_clock.now_ms()
    recorded = _find_flows(RECORDED_FLOWS, 0, is_ambiguous=True)
    settled = _find_flows(PACKETS_PER_ROUND, 0, is_ambiguous=False)
    opening = _find_flows(
        ROUNDS * PACKETS_PER_ROUND, FIRST_OPENED_FLOW, is_ambiguous=True
    )
    bytes_per_flow = _open_flows(daemon, recorded, now_ms)
    rates_by_kind: dict[str, list[float]] = {}
    with sink:
        async with bare_udp, daemon_udp, anyio.create_task_group() as tasks:
            tasks.start_soon(bare.serve)
            tasks.start_soon(daemon.serve_fabric)
            for index in range(ROUNDS):
                start = index * PACKETS_PER_ROUND
                rounds = {
                    "settled": (settled, packet_builders.ACK),
                    "table_hit": (
                        rng.sample(recorded, PACKETS_PER_ROUND),
                        packet_builders.ACK,
                    ),
                    "opening": (
                        opening[start : start + PACKETS_PER_ROUND],
                        packet_builders.SYN,
                    ),
                }
                for kind, (numbers, flags) in rounds.items():
                    packets = [
                        builders.build_packet(number, flags)
                        for number in numbers
                    ]
                    rates_by_kind.setdefault(f"bare_{kind}", []).append(
                        await _measure_rate(
                            bare_port, sink, packets, lambda: bare.sent
                        )
                    )
                    rates_by_kind.setdefault(kind, []).append(
                        await _measure_rate(
                            daemon_port,
                            sink,
                            packets,
                            lambda: daemon.counters.forwarded,
                        )
                    )
            tasks.cancel_scope.cancel()
    return _figures(seed, rates_by_kind, bytes_per_flow)


def _figures(
    seed: int, rates_by_kind: dict[str, list[float]], bytes_per_flow: float
) -> dict[str, object]:
    """Returns the figures of the JSON line."""
    figures: dict[str, object] = {"seed": seed, "held_flows": RECORDED_FLOWS}
    for kind in ("settled", "table_hit", "opening"):
        pairs = zip(
            rates_by_kind[kind], rates_by_kind[f"bare_{kind}"], strict=True
        )
        ratios = [daemon_rate / bare for daemon_rate, bare in pairs]
        figures[f"{kind}_packets_per_s"] = round(
            statistics.median(rates_by_kind[kind])
        )
        figures[f"{kind}_ratio"] = round(statistics.median(ratios), 3)
        figures[f"{kind}_ratio_min"] = round(min(ratios), 3)
    bare_rates = rates_by_kind["bare_settled"]
    figures["bare_packets_per_s"] = round(statistics.median(bare_rates))
    figures["bytes_per_held_flow"] = round(bytes_per_flow, 1)
    return figures


def main() -> None:
    """Runs the measurement and prints the JSON object."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    figures = anyio.run(
        measure,
        arguments.seed,
        backend="asyncio",
        backend_options={"use_uvloop": True},
    )
    print(json.dumps(figures))


if __name__ == "__main__":
    main()
