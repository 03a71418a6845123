"""Compares the forwarding path of the daemon with a bare relay.

Both run in one process on the same kind of socket: the bare relay sends each
datagram on without looking at it; the daemon's forwarder reads, decides and
counts. Rounds alternate, so that a disturbance of the machine meets both, and
a ratio is the median over rounds.
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

HELD_FLOWS = 200_000
PACKETS_PER_ROUND = 6_400
ROUNDS = 9
BATCH = 64
FIRST_OPENING = 50_000_000
LOOPBACK = "127.0.0.1"
RECEIVE_BYTES = 2_048


class BareRelay:
    """Sends each datagram on without looking at it.

    Attributes:
        sent: The datagrams sent.
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
        """Relays until cancelled."""
        sendto = self._udp.sendto
        async for packet, _source in self._udp:
            self.sent += 1
            await sendto(packet, LOOPBACK, self._port)


async def _open() -> tuple[abc.UDPSocket, int]:
    """Opens a socket on a free loopback port."""
    udp = await anyio.create_udp_socket(
        family=socket.AF_INET, local_host=LOOPBACK, local_port=0
    )
    return udp, int(udp.extra(abc.SocketAttribute.local_port))


async def _rate(
    port: int,
    sink: socket.socket,
    packets: list[bytes],
    count: Callable[[], int],
) -> float:
    """Returns the packets a second through a relay.

    Batches are sent and received outside the timed part, so that the time is
    that of the relay's own loop.
    """
    elapsed_s = 0.0
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as source:
        source.connect((LOOPBACK, port))
        for start in range(0, len(packets), BATCH):
            batch = packets[start : start + BATCH]
            target = count() + len(batch)
            for packet in batch:
                source.send(packet)
            begin = time.perf_counter()
            while count() < target:
                await anyio.sleep(0)
            elapsed_s += time.perf_counter() - begin
            for _ in batch:
                sink.recv(RECEIVE_BYTES)
    return len(packets) / elapsed_s


def _flows(count: int, first: int, *, is_moved: bool) -> list[int]:
    """Returns numbers of flows in moved or in settled buckets."""
    moved = builders.ambiguous_buckets()
    numbers: list[int] = []
    number = first
    while len(numbers) < count:
        packet = builders.build_packet(number, packet_builders.ACK)
        fields = builders.decode_fields(packet)
        is_in_moved = fields.flow_hash % builders.BUCKETS in moved
        if is_in_moved is is_moved:
            numbers.append(number)
        number += 1
    return numbers


def _open_flows(
    daemon: forwarder.Forwarder, numbers: list[int], now_ms: int
) -> float:
    """Opens flows at the router; returns the memory that each takes."""
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
        seed: Seeds the choice of flows.

    Returns:
        The figures.
    """
    dice = random.Random(seed)
    sink = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sink.bind((LOOPBACK, 0))
    sink_port = sink.getsockname()[1]
    manual = clock.ManualClock()
    router = builders.build_router(manual, LOOPBACK, sink_port)
    outbox, _inbox = anyio.create_memory_object_stream[messages.ToControl](16)
    bare_udp, bare_port = await _open()
    daemon_udp, daemon_port = await _open()
    bare = BareRelay(bare_udp, sink_port)
    daemon = forwarder.Forwarder(
        builders.HOST_ID,
        router,
        forwarder.Sockets(daemon_udp, daemon_udp),
        outbox,
        time=manual,
    )
    now_ms = manual.now_ms()
    held = _flows(HELD_FLOWS, 0, is_moved=True)
    settled = _flows(PACKETS_PER_ROUND, 0, is_moved=False)
    opening = _flows(ROUNDS * PACKETS_PER_ROUND, FIRST_OPENING, is_moved=True)
    bytes_per_flow = _open_flows(daemon, held, now_ms)
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
                        dice.sample(held, PACKETS_PER_ROUND),
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
                        await _rate(bare_port, sink, packets, lambda: bare.sent)
                    )
                    rates_by_kind.setdefault(kind, []).append(
                        await _rate(
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
    figures: dict[str, object] = {"seed": seed, "held_flows": HELD_FLOWS}
    for kind in ("settled", "table_hit", "opening"):
        pairs = zip(
            rates_by_kind[kind], rates_by_kind[f"bare_{kind}"], strict=True
        )
        ratios = [full / bare for full, bare in pairs]
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
    """Runs the measurement and prints one JSON line last."""
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
