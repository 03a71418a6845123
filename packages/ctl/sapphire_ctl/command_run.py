"""Starts and ends the run of a command."""

from collections.abc import Iterable
from collections.abc import Mapping
import pathlib
import sys
from typing import Any
from typing import NoReturn

import typer

from sapphire_ctl import exit_statuses
from sapphire_ctl import output
from sapphire_ctl import session
from sapphire_ctl import settings
from sapphire_data import failures
from sapphire_net.store import change_failures

STANDARD_INPUT = pathlib.Path("-")


def start_command(
    command: str,
    settings_path: pathlib.Path,
    environment: str | None,
    as_json: bool,
) -> session.Invocation:
    """Reads the settings and chooses the environment.

    Args:
        command: The name of the command.
        settings_path: The path of the settings.
        environment: The environment that was asked for, if any.
        as_json: Whether to write JSON.

    Returns:
        The invocation.

    Raises:
        typer.Exit: When the settings have errors.
    """
    out = output.Output(as_json)
    model, errors = settings.load(settings_path)
    if model is None:
        finish_command(out, command, environment or "", {}, errors)
    chosen = settings.select_environment(model, environment)
    if chosen.is_error():
        finish_command(out, command, environment or "", {}, [chosen.error])
    return session.Invocation(
        command, model, settings_path.parent, chosen.ok, out
    )


def finish_command(
    out: output.Output,
    command: str,
    environment: str,
    fields: Mapping[str, Any],
    found: Iterable[failures.Failure],
) -> NoReturn:
    """Writes the outcome and ends the run.

    Args:
        out: Where the outcome goes.
        command: The name of the command.
        environment: The name of the environment, if known.
        fields: The fields of the JSON object.
        found: All failures.

    Raises:
        typer.Exit: Always, with the exit status of the failures.
    """
    known = _flatten(found)
    status = exit_statuses.status_of(known)
    out.write_failures(known)
    out.write_json(
        {
            "command": command,
            "environment": environment,
            "exit_status": int(status),
            "outcome": status.name.lower(),
            **fields,
            "failures": known,
        }
    )
    raise typer.Exit(int(status))


def finish_invocation(
    invocation: session.Invocation,
    fields: Mapping[str, Any],
    found: Iterable[failures.Failure],
) -> NoReturn:
    """Calls `finish_command` with the output and names of an invocation."""
    finish_command(
        invocation.output,
        invocation.command,
        invocation.environment,
        fields,
        found,
    )


def read_input(
    path: pathlib.Path,
) -> tuple[bytes, list[failures.Failure]]:
    """Reads a file, or the standard input for `-`.

    Args:
        path: The path.

    Returns:
        The bytes, and why they cannot be read.
    """
    if path == STANDARD_INPUT:
        return sys.stdin.buffer.read(), []
    try:
        return path.read_bytes(), []
    except OSError as error:
        problem = error.strerror or "unreadable"
        return b"", [failures.UnreadableInput(str(path), problem)]


def _flatten(found: Iterable[failures.Failure]) -> list[failures.Failure]:
    """Returns the errors of an input one by one."""
    flat: list[failures.Failure] = []
    for failure in found:
        if isinstance(failure, change_failures.IntentInvalid):
            flat.extend(failure.errors)
        else:
            flat.append(failure)
    return flat
