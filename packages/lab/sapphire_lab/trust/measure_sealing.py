"""Measures the time to seal and to open a control datagram.

Run with `python -m sapphire_lab.trust.measure_sealing`; the last line is one
JSON object with microseconds for each operation.
"""

import json
import time

from sapphire_lab.trust import builders
from sapphire_net.trust import sealing
from sapphire_wire import message_kind

_ROUNDS = 20_000
_NS_PER_US = 1_000


def measure(body_bytes: int, rounds: int = _ROUNDS) -> dict[str, float]:
    """Measures sealing and opening.

    Args:
        body_bytes: The length of the body.
        rounds: The number of datagrams.

    Returns:
        Microseconds for each seal and open, and the datagram's length.
    """
    sealer = sealing.Sealer("0123456789abcdef", builders.ring(1))
    opener = sealing.Opener(builders.OWN_NAME, builders.ring(1))
    body = bytes(body_bytes)
    kind = message_kind.MessageKind.RELAYED_PACKET
    datagrams = []
    start_ns = time.perf_counter_ns()
    for _ in range(rounds):
        datagrams.append(
            sealer.seal(builders.OWN_NAME, kind, body, builders.WALL_MS)
        )
    sealed_ns = time.perf_counter_ns()
    accepted = 0
    for data in datagrams:
        opened = opener.open(data, builders.WALL_MS)
        accepted += isinstance(opened, sealing.Opened)
    opened_ns = time.perf_counter_ns()
    return {
        "body_bytes": body_bytes,
        "datagram_bytes": len(datagrams[0]),
        "accepted": accepted,
        "seal_us": round((sealed_ns - start_ns) / rounds / _NS_PER_US, 2),
        "open_us": round((opened_ns - sealed_ns) / rounds / _NS_PER_US, 2),
    }


def main() -> None:
    """Prints the measurement for a small and a full body."""
    print(json.dumps([measure(100), measure(1_200)]))


if __name__ == "__main__":
    main()
