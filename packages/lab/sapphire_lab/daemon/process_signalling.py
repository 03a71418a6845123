"""Signals a real process of a daemon at given moments of its start."""

from collections.abc import Sequence
import dataclasses
import pathlib
import signal
import subprocess
import sys

# Each import is reported when it has ended, which is a moment of the start that
# does not depend on the speed of the machine.
_REPORT_IMPORTS = ("-X", "importtime")
# Ends a test whose process hangs.
HANG_TIMEOUT_S = 120


@dataclasses.dataclass(frozen=True, slots=True)
class Moment:
    """A moment of the start of a process, and the signals that it gets then.

    Attributes:
        marker: The end of the line of output that marks the moment, such as
            the name of an imported module.
        numbers: The signals, in their order.
    """

    marker: str
    numbers: tuple[signal.Signals, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Ending:
    """How a process ended.

    Attributes:
        status: The exit status; negative for the signal that ended it.
        output: What it wrote to both streams, without the reports of imports.
    """

    status: int
    output: str


def run_and_signal(
    arguments: Sequence[str],
    environment: dict[str, str],
    moments: Sequence[Moment],
) -> Ending:
    """Runs Python, sends signals at some moments and waits for the end.

    Args:
        arguments: The arguments of the interpreter, such as `-m` and a module.
        environment: The environment variables of the process.
        moments: When to send which signals, in the order of the moments.

    Returns:
        How the process ended.

    Raises:
        AssertionError: It ended before one of the moments.
    """
    pending = list(moments)
    lines: list[str] = []
    with subprocess.Popen(
        [sys.executable, *_REPORT_IMPORTS, *arguments],
        stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        env=environment,
        text=True,
    ) as process:
        assert process.stdout is not None
        for line in process.stdout:
            if not line.startswith("import time:"):
                lines.append(line)
            if pending and pending[0].marker in line.split():
                for number in pending.pop(0).numbers:
                    process.send_signal(number)
        status = process.wait(HANG_TIMEOUT_S)
    if pending:
        raise AssertionError(f"not reached: {pending[0]}: {lines}")
    return Ending(status, "".join(lines))


def python_path(root: pathlib.Path, *directories: str) -> str:
    """Returns the value of `PYTHONPATH` that holds all packages.

    Args:
        root: The root of the repository.
        *directories: Further directories below the root.
    """
    paths = [root / name for name in directories]
    paths.extend(sorted((root / "packages").iterdir()))
    return ":".join(str(path) for path in paths)
