"""Slopes of an entry host on a fabric that returns tags.

Prints one JSON object: what grows with upstreams, routes, hosts and flows.
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
from sapphire_net import bounded_output
from sapphire_net import event_log
from sapphire_wire import peer_messages

UPSTREAMS = 20_000
UPSTREAMS_PER_SERVICE = 4
OPENINGS = 2_000
PACKETS = 20_000
BEATS = 500
HOSTS = 7_000
REPORTS = 40
FLOW_RECORDS = 5_000
LOG_LINES = 20_000

app = typer.Typer(add_completion=False)


@app.command()
def main(
    seed: Annotated[int, typer.Option(help="Decides what is drawn.")] = 1,
) -> None:
    """Measure what an entry host costs."""
    rng = random.Random(seed)
    slopes = {
        **_table_slopes(),
        **_packet_slopes(),
        **_beat_slopes(rng),
        **_replica_slopes(),
        **_log_slopes(),
    }
    print(json.dumps({"seed": seed, **slopes}, indent=2))


def _cpu_us(begin_s: float, count: int) -> float:
    """Returns the processor time of one of several steps."""
    return round((time.process_time() - begin_s) * 1e6 / count, 2)


def _service(number: int) -> str:
    return f"s{number // UPSTREAMS_PER_SERVICE}"


def _table_slopes() -> dict[str, float]:
    """Returns what an upstream costs in the table."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    table = upstream_table.UpstreamTable()
    for number in range(UPSTREAMS):
        one = builders.upstream(
            f"i-{number:08x}", _service(number), address=("10.0.0.1", number)
        )
        table.put(one, number, 0)
    size = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return {"upstream_bytes": round(size / UPSTREAMS)}


def _packet_slopes() -> dict[str, float]:
    """Returns what openings and packets cost with many upstreams."""
    bench = builders.SteeringBench()
    services = tuple({_service(number) for number in range(UPSTREAMS)})
    bench.steering.configure(builders.configuration(2, services[:9]))
    for number in range(UPSTREAMS):
        one = builders.upstream(
            f"i-{number:08x}", _service(number), address=("10.0.0.1", number)
        )
        bench.steering.upstream_table.put(one, number, 0)
    begin_s = time.process_time()
    actions = [bench.open(number, 0) for number in range(OPENINGS)]
    opening_us = _cpu_us(begin_s, OPENINGS)
    first = next(a for a in actions if isinstance(a, data.Forward))
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
    size = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return {
        "opening_us": opening_us,
        "packet_us": packet_us,
        "flow_record_bytes": round(size / FLOW_RECORDS),
    }


def _beat_slopes(rng: random.Random) -> dict[str, float]:
    """Returns what beats cost, and how many hosts get one."""
    reports = tuple(
        peer_data.UpstreamReport(rng.getrandbits(32), 1.0, 0)
        for _ in range(REPORTS)
    )
    plain = peer_messages.encode_beat(builders.heartbeat("edge-tacoma-1"))
    beat = builders.heartbeat("edge-tacoma-1", upstreams=reports)
    datagram = peer_messages.encode_beat(beat)
    begin_s = time.process_time()
    for _ in range(BEATS):
        peer_messages.encode_beat(beat)
    encode_us = _cpu_us(begin_s, BEATS)
    begin_s = time.process_time()
    for _ in range(BEATS):
        peer_messages.decode_beat(datagram)
    decode_us = _cpu_us(begin_s, BEATS)
    peer_table = peer_table_lib.PeerTable(beat.contact, rng)
    peer_table.set_host_list(
        builders.heartbeat(f"h{number}").contact for number in range(HOSTS)
    )
    begin_s = time.process_time()
    for _ in range(BEATS // 10):
        receivers = peer_table.heartbeat_targets()
    receivers_us = _cpu_us(begin_s, BEATS // 10)
    return {
        "beat_bytes": len(plain),
        "beat_bytes_per_report": round(
            (len(datagram) - len(plain)) / REPORTS, 1
        ),
        "beat_encode_us": encode_us,
        "beat_decode_us": decode_us,
        "receivers": len(receivers),
        "receivers_us_at_7000_hosts": receivers_us,
    }


def _replica_slopes() -> dict[str, float]:
    """Returns what an item costs in the copy and in a full batch."""
    value = b"x" * 160
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    copy = replica_lib.Replica()
    items = tuple(
        replication_data.Item(f"servers/i-{number:08x}", number + 1, value)
        for number in range(UPSTREAMS)
    )
    copy.apply(replication_data.Batch(items, UPSTREAMS, True), 0)
    size = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    begin_s = time.process_time()
    changes = copy.changes_after(UPSTREAMS - 10)
    changes_us = _cpu_us(begin_s, 1)
    body = peer_messages.encode_batch(copy.changes_after(0))
    return {
        "item_bytes": round(size / UPSTREAMS),
        "changes_after_us_at_20000_items": changes_us,
        "changes": len(changes.items),
        "full_batch_bytes": len(body),
    }


def _log_slopes() -> dict[str, float]:
    """Returns what a log line of an opening costs, and one that is left out."""
    logger = logging.getLogger("measure")
    reader, writer = os.pipe()
    null = os.open(os.devnull, os.O_WRONLY)
    costs_us: dict[str, float] = {}
    for name, descriptor in (
        ("log_line_us", null),
        ("log_line_us_nobody_reads", writer),
    ):
        handler = bounded_output.BoundedHandler(descriptor)
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
        costs_us[name] = _cpu_us(begin_s, LOG_LINES)
    for descriptor in (reader, writer, null):
        os.close(descriptor)
    return costs_us


if __name__ == "__main__":
    app()
