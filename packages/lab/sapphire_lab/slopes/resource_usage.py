"""Measures the memory and the processor time of a function."""

from collections.abc import Callable
import gc
import time
import tracemalloc
from typing import TypeVar

_NS_PER_US = 1_000
_ROUNDS = 5

T = TypeVar("T")


def measure_memory_bytes(build: Callable[[], T]) -> tuple[T, int]:
    """Measures the memory that an object holds.

    Args:
        build: Builds and returns the object.

    Returns:
        The object and its bytes.
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
    """Measures the processor time of a function.

    Args:
        work: The function, called once in a round.
        rounds: The number of rounds.

    Returns:
        The least processor time of a round in microseconds.
    """
    least_ns: int | None = None
    for _ in range(rounds):
        start_ns = time.process_time_ns()
        work()
        duration_ns = time.process_time_ns() - start_ns
        if least_ns is None or duration_ns < least_ns:
            least_ns = duration_ns
    return (least_ns or 0) / _NS_PER_US
