"""The command `check`."""

import pathlib
from typing import Annotated

import typer

from sapphire_core.configuration import data
from sapphire_core.configuration import merge
from sapphire_ctl import command_run
from sapphire_ctl import options
from sapphire_ctl import output
from sapphire_ctl import settings
from sapphire_data import failures
from sapphire_wire.documents import decode

EXAMPLES = """
Examples:

  sapphirectl check site.json5

  sapphirectl check site.json5 --bindings trial.json5 --json

  render-site | sapphirectl check -
"""


def check(
    document: Annotated[
        pathlib.Path, typer.Argument(help="The document; - for standard input.")
    ],
    *,
    bindings: Annotated[
        pathlib.Path | None,
        typer.Option("--bindings", help="The addresses of an environment."),
    ] = None,
    settings_path: Annotated[
        pathlib.Path | None,
        typer.Option("--settings", help="Check a settings file as well."),
    ] = None,
    as_json: options.Json = False,
) -> None:
    """Check a document, and report all its errors at once."""
    out = output.Output(as_json)
    content, errors = command_run.read_input(document)
    decoded: data.Document | None = None
    if not errors:
        decoded, errors = decode.decode_document(content, str(document))
    if bindings is not None:
        errors += _check_bindings(bindings, decoded)
    if settings_path is not None:
        _, settings_errors = settings.load(settings_path)
        errors += settings_errors
    fields: dict[str, object] = {"document": str(document)}
    if decoded is not None:
        fields["digest"] = decoded.digest
        fields["services"] = len(decoded.services_by_name)
        if not errors:
            out.write_line(f"valid: document {decoded.digest}")
    command_run.finish_command(out, "check", "", fields, errors)


def _check_bindings(
    path: pathlib.Path, document: data.Document | None
) -> list[failures.Failure]:
    """Returns the errors of bindings, alone and merged with the document."""
    content, errors = command_run.read_input(path)
    if errors:
        return errors
    bindings, errors = decode.decode_bindings(content, str(path))
    if bindings is None or document is None:
        return errors
    _, merge_errors = merge.next_configuration(merge.EMPTY, document, bindings)
    return errors + merge_errors
