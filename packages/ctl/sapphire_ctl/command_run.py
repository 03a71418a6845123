"""Steps of every command: read the settings and inputs, write the outcome."""

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
    """Reads the settings and selects the environment.

    Args:
        command: The name of the command.
        settings_path: The path of the settings.
        environment: The environment that the operator named, if any.
        as_json: Whether to write JSON.

    Returns:
        The invocation.

    Raises:
        typer.Exit: If the settings have errors or lack the environment.
    """
    out = output.Output(as_json)
    model, errors = settings.load(settings_path)
    if model is None:
        finish_command(out, command, environment or "", {}, errors)
    selected = settings.select_environment(model, environment)
    if selected.is_error():
        finish_command(out, command, environment or "", {}, [selected.error])
    return session.Invocation(
        command, model, settings_path.parent, selected.ok, out
    )


def finish_command(
    out: output.Output,
    command: str,
    environment: str,
    fields: Mapping[str, Any],
    found_failures: Iterable[failures.Failure],
) -> NoReturn:
    """Writes the outcome of a command and ends the run.

    Args:
        out: The output to write to.
        command: The name of the command.
        environment: The name of the environment, if known.
        fields: The fields of the JSON object.
        found_failures: All failures.

    Raises:
        typer.Exit: Always, with the exit status of the failures.
    """
    flat_failures = _flatten(found_failures)
    status = exit_statuses.status_of(flat_failures)
    out.write_failures(flat_failures)
    out.write_json(
        {
            "command": command,
            "environment": environment,
            "exit_status": int(status),
            "outcome": status.name.lower(),
            **fields,
            "failures": flat_failures,
        }
    )
    raise typer.Exit(int(status))


def finish_invocation(
    invocation: session.Invocation,
    fields: Mapping[str, Any],
    found_failures: Iterable[failures.Failure],
) -> NoReturn:
    """Calls `finish_command` with the output and names of an invocation."""
    finish_command(
        invocation.output,
        invocation.command,
        invocation.environment,
        fields,
        found_failures,
    )


def read_input(
    path: pathlib.Path,
) -> tuple[bytes, list[failures.Failure]]:
    """Reads a file, or standard input for `-`.

    Args:
        path: The path.

    Returns:
        The bytes and the failures; no bytes if there is a failure.
    """
    if path == STANDARD_INPUT:
        return sys.stdin.buffer.read(), []
    try:
        return path.read_bytes(), []
    except OSError as error:
        problem = error.strerror or "unreadable"
        return b"", [failures.UnreadableInput(str(path), problem)]


def _flatten(
    found_failures: Iterable[failures.Failure],
) -> list[failures.Failure]:
    """Replaces each `IntentInvalid` by the errors that it holds."""
    flat: list[failures.Failure] = []
    for failure in found_failures:
        if isinstance(failure, change_failures.IntentInvalid):
            flat.extend(failure.errors)
        else:
            flat.append(failure)
    return flat
