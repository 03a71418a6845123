"""Memory and processor time of a piece of work."""

from collections.abc import Callable
import gc
import time
import tracemalloc
from typing import TypeVar

_NS_PER_US = 1_000
_ROUNDS = 5

T = TypeVar("T")


def measure_memory_bytes(build: Callable[[], T]) -> tuple[T, int]:
    """Returns what a function builds and the memory that it holds.

    Args:
        build: Builds and returns the object.
    """
    gc.collect()
    tracemalloc.start()
    built = build()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return built, size


def least_cpu_time_us(
    work: Callable[[], object], rounds: int = _ROUNDS
) -> float:
    """Returns the least processor time of some rounds in microseconds.

    Args:
        work: The work of one round.
        rounds: The number of rounds.
    """
    least_ns: int | None = None
    for _ in range(rounds):
        started_ns = time.process_time_ns()
        work()
        spent_ns = time.process_time_ns() - started_ns
        if least_ns is None or spent_ns < least_ns:
            least_ns = spent_ns
    return (least_ns or 0) / _NS_PER_US
