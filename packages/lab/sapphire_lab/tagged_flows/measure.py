"""Measures the costs of an entry host on a fabric that returns tags.

Prints one JSON object: CPU time, memory and message sizes, mostly for one
upstream, packet, heartbeat, item or log line.
"""

import json
import logging
import os
import random
import time
import tracemalloc
from typing import Annotated

import typer

from sapphire_core.peers import data as peer_data
from sapphire_core.peers import peer_table as peer_table_lib
from sapphire_core.replication import data as replication_data
from sapphire_core.replication import replica as replica_lib
from sapphire_core.tagged_flows import data
from sapphire_core.tagged_flows import upstream_table
from sapphire_lab.tagged_flows import builders
from sapphire_net import bounded_log_handler
from sapphire_net import event_log
from sapphire_wire import peer_messages

UPSTREAMS = 20_000
UPSTREAMS_PER_SERVICE = 4
OPENINGS = 2_000
PACKETS = 20_000
HEARTBEATS = 500
HOSTS = 7_000
REPORTS = 40
FLOW_RECORDS = 5_000
LINES_PER_WRITE = 50
LOG_LINES = 20_000

app = typer.Typer(add_completion=False)


@app.command()
def main(
    seed: Annotated[int, typer.Option(help="Seeds the random numbers.")] = 1,
) -> None:
    """Measure the costs of an entry host."""
    rng = random.Random(seed)
    costs = {
        **_upstream_costs(),
        **_packet_costs(),
        **_heartbeat_costs(rng),
        **_replica_costs(),
        **_log_costs(),
    }
    print(json.dumps({"seed": seed, **costs}, indent=2))


def _cpu_us(begin_s: float, count: int) -> float:
    """Returns the CPU time of one operation.

    Args:
        begin_s: The CPU time of the process before the first operation.
        count: How many operations were run since.
    """
    return round((time.process_time() - begin_s) * 1e6 / count, 2)


def _service(number: int) -> str:
    return f"s{number // UPSTREAMS_PER_SERVICE}"


def _upstream_costs() -> dict[str, float]:
    """Returns the memory of one upstream in the upstream table."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    table = upstream_table.UpstreamTable()
    for number in range(UPSTREAMS):
        upstream = builders.upstream(
            f"i-{number:08x}", _service(number), address=("10.0.0.1", number)
        )
        table.put(upstream, number, 0)
    memory_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return {"upstream_bytes": round(memory_bytes / UPSTREAMS)}


def _packet_costs() -> dict[str, float]:
    """Returns the costs of opening packets, packets and flow records."""
    bench = builders.SteeringBench()
    services = tuple({_service(number) for number in range(UPSTREAMS)})
    bench.steering.configure(builders.configuration(2, services[:9]))
    for number in range(UPSTREAMS):
        upstream = builders.upstream(
            f"i-{number:08x}", _service(number), address=("10.0.0.1", number)
        )
        bench.steering.upstream_table.put(upstream, number, 0)
    begin_s = time.process_time()
    actions = [bench.open(number, 0) for number in range(OPENINGS)]
    opening_us = _cpu_us(begin_s, OPENINGS)
    first = next(
        action for action in actions if isinstance(action, data.Forward)
    )
    packet = builders.packet(0, tag=first.tag)
    begin_s = time.process_time()
    for _ in range(PACKETS):
        bench.steering.handle(packet, 1)
    packet_us = _cpu_us(begin_s, PACKETS)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for number in range(FLOW_RECORDS):
        bench.steering.handle(
            builders.packet(10_000 + number, tag=first.tag), 1
        )
    memory_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return {
        "opening_us": opening_us,
        "packet_us": packet_us,
        "flow_record_bytes": round(memory_bytes / FLOW_RECORDS),
    }


def _heartbeat_costs(rng: random.Random) -> dict[str, float]:
    """Returns the costs of heartbeats and the number of their targets."""
    reports = tuple(
        peer_data.UpstreamReport(rng.getrandbits(32), 1.0, 0)
        for _ in range(REPORTS)
    )
    plain_datagram = peer_messages.encode_heartbeat(
        builders.heartbeat("edge-tacoma-1")
    )
    heartbeat = builders.heartbeat("edge-tacoma-1", upstreams=reports)
    datagram = peer_messages.encode_heartbeat(heartbeat)
    begin_s = time.process_time()
    for _ in range(HEARTBEATS):
        peer_messages.encode_heartbeat(heartbeat)
    encode_us = _cpu_us(begin_s, HEARTBEATS)
    begin_s = time.process_time()
    for _ in range(HEARTBEATS):
        peer_messages.decode_heartbeat(datagram)
    decode_us = _cpu_us(begin_s, HEARTBEATS)
    peer_table = peer_table_lib.PeerTable(heartbeat.contact, rng, 4_000)
    contacts = [
        builders.heartbeat(f"h{number}").contact for number in range(HOSTS)
    ]
    peer_table.set_host_list(contacts, 0)
    begin_s = time.process_time()
    for _ in range(HEARTBEATS // 10):
        targets = peer_table.near_targets()
    targets_us = _cpu_us(begin_s, HEARTBEATS // 10)
    return {
        "beat_bytes": len(plain_datagram),
        "beat_bytes_per_report": round(
            (len(datagram) - len(plain_datagram)) / REPORTS, 1
        ),
        "beat_encode_us": encode_us,
        "beat_decode_us": decode_us,
        "receivers": len(targets),
        "receivers_us_at_7000_hosts": targets_us,
    }


def _replica_costs() -> dict[str, float]:
    """Returns the costs of items in a replica and in batches."""
    value = b"x" * 160
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    replica = replica_lib.Replica()
    items = tuple(
        replication_data.Item(f"servers/i-{number:08x}", number + 1, value)
        for number in range(UPSTREAMS)
    )
    replica.apply(replication_data.Batch(items, UPSTREAMS, True), 0)
    memory_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    begin_s = time.process_time()
    changes = replica.changes_after(UPSTREAMS - 10)
    changes_us = _cpu_us(begin_s, 1)
    full_batch = peer_messages.encode_batch(replica.changes_after(0))
    return {
        "item_bytes": round(memory_bytes / UPSTREAMS),
        "changes_after_us_at_20000_items": changes_us,
        "changes": len(changes.items),
        "full_batch_bytes": len(full_batch),
    }


def _log_costs() -> dict[str, float]:
    """Returns the CPU time of a log line, with and without a reader.

    The lines are written as often as the handler's task does, each time that
    `LINES_PER_WRITE` have been buffered. Without a reader the pipe fills, and
    lines are dropped above the handler's bound.
    """
    logger = logging.getLogger("measure")
    reader, writer = os.pipe()
    null = os.open(os.devnull, os.O_WRONLY)
    costs_us: dict[str, float] = {}
    for name, descriptor in (
        ("log_line_us", null),
        ("log_line_us_nobody_reads", writer),
    ):
        handler = bounded_log_handler.BoundedLogHandler(descriptor)
        event_log.configure_handler("info", handler)
        begin_s = time.process_time()
        for number in range(LOG_LINES):
            event_log.log(
                logger,
                logging.INFO,
                "opened",
                flow=f"100.64.0.7:{number}-198.18.0.1:443",
                upstream="i-3f1d2e2499",
                service="board",
                copy=0,
                busy=1.5,
            )
            if number % LINES_PER_WRITE == 0:
                handler.write_buffered()
        costs_us[name] = _cpu_us(begin_s, LOG_LINES)
    for descriptor in (reader, writer, null):
        os.close(descriptor)
    return costs_us


if __name__ == "__main__":
    app()
