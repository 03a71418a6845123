"""Starts `sapphirearchd`; it catches signals before it loads the rest."""

import sys

from sapphire_node import process_signals

_RUN_COMMAND = "run"


def main() -> None:
    """Runs the command line; only `run` catches signals."""
    signals: process_signals.ProcessSignals | None = None
    if _RUN_COMMAND in sys.argv[1:2]:
        signals = process_signals.ProcessSignals()

    from sapphire_node import main as command_line

    try:
        command_line.app(obj=signals)
    finally:
        if signals is not None:
            signals.ignore()


if __name__ == "__main__":
    main()
