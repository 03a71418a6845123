"""Options that several commands share."""

import os
import pathlib
from typing import Annotated

import typer

from sapphire_ctl import settings

DEFAULT_WAIT_MS = 10_000


def complete_environment(incomplete: str) -> list[str]:
    """Returns the environments that begin with the typed text.

    Args:
        incomplete: The typed text.

    Returns:
        The names; none if the settings cannot be read.
    """
    path = os.environ.get(settings.PATH_VARIABLE, settings.DEFAULT_PATH)
    model, _ = settings.load(pathlib.Path(path))
    if model is None:
        return []
    names = sorted(model.environments)
    return [name for name in names if name.startswith(incomplete)]


Settings = Annotated[
    pathlib.Path,
    typer.Option(
        "--settings",
        envvar=settings.PATH_VARIABLE,
        help="The settings file, in JSON with comments.",
    ),
]
Environment = Annotated[
    str | None,
    typer.Option(
        "--env",
        "-e",
        envvar=settings.ENVIRONMENT_VARIABLE,
        autocompletion=complete_environment,
        help="The environment; by default, that of the settings.",
    ),
]
Json = Annotated[
    bool, typer.Option("--json", help="Write one JSON object instead of text.")
]
Seen = Annotated[
    int | None,
    typer.Option(
        "--seen",
        min=0,
        help="The revision that you saw; any later change is a conflict.",
    ),
]
Lose = Annotated[
    list[str] | None,
    typer.Option(
        "--lose",
        help="Accept the loss of the service, data centre or upstream of this"
        " name; may be repeated.",
    ),
]
WaitMs = Annotated[
    int,
    typer.Option(
        "--wait-ms",
        min=0,
        help="How long to wait until it is in force on all hosts; 0: no wait.",
    ),
]
Bindings = Annotated[
    pathlib.Path | None,
    typer.Option(
        "--bindings",
        help="The addresses of the environment; by default, those in force.",
    ),
]
DryRun = Annotated[
    bool, typer.Option("--dry-run", help="Show the plan and change nothing.")
]
Service = Annotated[
    str | None, typer.Option("--service", help="Only this service.")
]
