"""The command line of the daemon `sapphirearchd`."""

import enum
import json
import logging
import pathlib
from typing import Annotated

import anyio
import typer

from sapphire_data import failures
from sapphire_net import event_log
from sapphire_node import daemon
from sapphire_node import process_signals
from sapphire_node import settings_loader
from sapphire_wire import validation

_LOGGER = logging.getLogger(__name__)

app = typer.Typer(
    help="Runs one entry host of the sapphirearch load balancer.",
    no_args_is_help=True,
)

SettingsArgument = Annotated[
    pathlib.Path,
    typer.Argument(
        exists=True,
        dir_okay=False,
        readable=True,
        help="The settings file, JSON with comments.",
    ),
]
JsonOption = Annotated[
    bool, typer.Option("--json", help="Write the report as JSON.")
]


class ExitStatus(enum.IntEnum):
    """The exit statuses of the daemon.

    Attributes:
        OK: The settings are valid, or the host left the fleet cleanly.
        INVALID: The settings or the key file are not valid.
        FAILED: The host could not start or had to stop.
        UNFINISHED: The host stopped with work still open, at the end of its
            drain timeout or after a second signal.
    """

    OK = 0
    FAILED = 1
    INVALID = 2
    UNFINISHED = 3


@app.command()
def check(path: SettingsArgument, as_json: JsonOption = False) -> None:
    """Reports every error of a settings file.

    Example: sapphirearchd check host.json --json

    Exit status: 0 valid, 2 not valid.
    """
    _, errors = settings_loader.load(path)
    if as_json:
        typer.echo(json.dumps({"errors": [_as_dict(e) for e in errors]}))
    else:
        for line in validation.describe(errors):
            typer.echo(line, err=True)
    raise typer.Exit(ExitStatus.INVALID if errors else ExitStatus.OK)


@app.command()
def run(context: typer.Context, path: SettingsArgument) -> None:
    """Runs the host until SIGTERM.

    On the first SIGTERM or SIGINT, the host leaves the fleet, hands over its
    flow records and finishes open requests. On a second one, it no longer waits
    for the fabric, but still finishes requests. SIGHUP changes nothing.

    Example: sapphirearchd run host.json

    Exit status: 0 left cleanly, 1 failed, 2 settings not valid, 3 stopped
    with work still open.
    """
    loaded, errors = settings_loader.load(path)
    if loaded is None or errors:
        for line in validation.describe(errors):
            typer.echo(line, err=True)
        raise typer.Exit(ExitStatus.INVALID)
    event_log.configure(loaded.settings.log_level)
    signals: process_signals.ProcessSignals = context.obj
    if signals.is_stop_requested():
        event_log.log(_LOGGER, logging.INFO, "stopped_before_start")
        raise typer.Exit(ExitStatus.OK)
    outcome = anyio.run(
        daemon.run,
        loaded,
        signals,
        backend="asyncio",
        backend_options={"use_uvloop": True},
    )
    raise typer.Exit(_EXIT_STATUS_BY_OUTCOME[outcome])


_EXIT_STATUS_BY_OUTCOME = {
    daemon.Outcome.LEFT: ExitStatus.OK,
    daemon.Outcome.UNFINISHED: ExitStatus.UNFINISHED,
    daemon.Outcome.FAILED: ExitStatus.FAILED,
}


def _as_dict(failure: failures.Failure) -> dict[str, str]:
    """Returns a failure with the name of its type, for JSON."""
    fields = {
        name: str(getattr(failure, name))
        for name in getattr(failure, "__slots__", ())
    }
    return {"type": failure.code, **fields}
