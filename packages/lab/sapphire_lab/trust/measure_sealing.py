"""Measures the cost of sealed control datagrams in time and memory.

Run with `python -m sapphire_lab.trust.measure_sealing`; the last line is one
JSON object.
"""

import json
import time
import tracemalloc

from sapphire_lab.trust import builders
from sapphire_net.trust import replay
from sapphire_net.trust import sealing
from sapphire_wire import message_kind

_ROUNDS = 20_000
_SENDERS = 7_000
_NS_PER_US = 1_000


def measure(body_bytes: int, rounds: int = _ROUNDS) -> dict[str, float]:
    """Measures sealing and opening of datagrams.

    Args:
        body_bytes: The length of the body of a datagram.
        rounds: The number of datagrams.

    Returns:
        The microseconds to seal and to open a datagram, its length, and how
        many were accepted.
    """
    sealer = sealing.Sealer("0123456789abcdef", builders.key_ring(1))
    opener = sealing.Opener(builders.OWN_NAME, builders.key_ring(1))
    body = bytes(body_bytes)
    kind = message_kind.MessageKind.RELAYED_PACKET
    datagrams = []
    start_ns = time.perf_counter_ns()
    for _ in range(rounds):
        datagrams.append(
            sealer.seal(builders.OWN_NAME, kind, body, builders.WALL_CLOCK_MS)
        )
    sealing_end_ns = time.perf_counter_ns()
    accepted = 0
    for datagram in datagrams:
        opened = opener.open(datagram, builders.WALL_CLOCK_MS)
        accepted += isinstance(opened, sealing.OpenedDatagram)
    opening_end_ns = time.perf_counter_ns()
    return {
        "body_bytes": body_bytes,
        "datagram_bytes": len(datagrams[0]),
        "accepted": accepted,
        "seal_us": round((sealing_end_ns - start_ns) / rounds / _NS_PER_US, 2),
        "open_us": round(
            (opening_end_ns - sealing_end_ns) / rounds / _NS_PER_US, 2
        ),
    }


def measure_refusal(rounds: int = _ROUNDS) -> dict[str, float]:
    """Measures the refusal of datagrams with a bad tag or an unknown key.

    Args:
        rounds: The number of datagrams of each kind.

    Returns:
        The microseconds for each refusal.
    """
    body = bytes(100)
    kind = message_kind.MessageKind.RELAYED_PACKET
    costs_us = {}
    for name, ring in (
        ("refuse_bad_tag_us", builders.key_ring(1)),
        ("refuse_unknown_key_us", builders.key_ring(2)),
    ):
        sealer = sealing.Sealer("0123456789abcdef", ring)
        datagram = sealer.seal(
            builders.OTHER_NAME, kind, body, builders.WALL_CLOCK_MS
        )
        opener = sealing.Opener(builders.OWN_NAME, builders.key_ring(1))
        start_ns = time.perf_counter_ns()
        for _ in range(rounds):
            opener.open(datagram, builders.WALL_CLOCK_MS)
        cost_ns = time.perf_counter_ns() - start_ns
        costs_us[name] = round(cost_ns / rounds / _NS_PER_US, 2)
    return costs_us


def measure_memory(senders: int = _SENDERS) -> dict[str, int]:
    """Measures the memory of the replay window.

    Args:
        senders: The number of senders, each with a full window.

    Returns:
        The number of senders and the bytes.
    """
    tracemalloc.start()
    window = replay.ReplayWindow()
    for number in range(senders):
        sender = f"{number:032x}"
        for sequence in (1, replay.WINDOW_BITS):
            window.check(sender, sequence, builders.WALL_CLOCK_MS, 0)
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {"senders": len(window), "replay_window_bytes": used_bytes}


def main() -> None:
    """Prints all measurements."""
    report = {
        "datagrams": [measure(100), measure(1_200)],
        **measure_refusal(),
        **measure_memory(),
    }
    print(json.dumps(report))


if __name__ == "__main__":
    main()
