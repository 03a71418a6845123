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
    """Measures sealing and opening.

    Args:
        body_bytes: The length of the body.
        rounds: The number of datagrams.

    Returns:
        Microseconds for each seal and open, and the datagram's length.
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
    sealed_ns = time.perf_counter_ns()
    accepted = 0
    for data in datagrams:
        opened = opener.open(data, builders.WALL_CLOCK_MS)
        accepted += isinstance(opened, sealing.OpenedDatagram)
    opened_ns = time.perf_counter_ns()
    return {
        "body_bytes": body_bytes,
        "datagram_bytes": len(datagrams[0]),
        "accepted": accepted,
        "seal_us": round((sealed_ns - start_ns) / rounds / _NS_PER_US, 2),
        "open_us": round((opened_ns - sealed_ns) / rounds / _NS_PER_US, 2),
    }


def measure_refusal(rounds: int = _ROUNDS) -> dict[str, float]:
    """Measures what a forged and an alien datagram cost the receiver.

    Args:
        rounds: The number of datagrams.

    Returns:
        Microseconds for each refusal.
    """
    body = bytes(100)
    kind = message_kind.MessageKind.RELAYED_PACKET
    costs_us = {}
    for name, ring in (
        ("refuse_bad_tag_us", builders.key_ring(1)),
        ("refuse_unknown_key_us", builders.key_ring(2)),
    ):
        sealer = sealing.Sealer("0123456789abcdef", ring)
        data = sealer.seal(
            builders.OTHER_NAME, kind, body, builders.WALL_CLOCK_MS
        )
        opener = sealing.Opener(builders.OWN_NAME, builders.key_ring(1))
        start_ns = time.perf_counter_ns()
        for _ in range(rounds):
            opener.open(data, builders.WALL_CLOCK_MS)
        cost_ns = time.perf_counter_ns() - start_ns
        costs_us[name] = round(cost_ns / rounds / _NS_PER_US, 2)
    return costs_us


def measure_memory(senders: int = _SENDERS) -> dict[str, int]:
    """Measures the memory of the replay window.

    Args:
        senders: The number of senders, each with a full window.

    Returns:
        The bytes that it takes.
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
