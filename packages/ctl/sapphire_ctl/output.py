"""Output of the commands: text for people or JSON for scripts."""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import enum
import json
import sys
from typing import Any
from typing import TextIO

from rich import console
from rich import table
from rich import text

from sapphire_data import failures

# The width in columns if the output is no terminal, so that lines in a pipe
# are not wrapped at the width of a terminal.
PIPE_WIDTH = 240


def to_json(value: Any) -> Any:
    """Converts records, failures and collections to JSON values.

    Args:
        value: The value; a failure gets the name of its type as `code`.

    Returns:
        A value that `json` can encode.
    """
    if isinstance(value, enum.Enum):
        return value.value
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        fields = {
            field.name: to_json(getattr(value, field.name))
            for field in dataclasses.fields(value)
        }
        if isinstance(value, failures.Failure):
            return {"code": value.code, **fields}
        return fields
    if hasattr(value, "model_dump"):
        return value.model_dump(mode="json")
    if isinstance(value, Mapping):
        return {str(key): to_json(item) for key, item in value.items()}
    if isinstance(value, (str, int, float, bool)) or value is None:
        if value in (float("inf"), float("-inf")):
            return str(value)
        return value
    if isinstance(value, bytes):
        return value.hex()
    if isinstance(value, Iterable):
        return [to_json(item) for item in value]
    return str(value)


def describe(failure: failures.Failure) -> str:
    """Formats a failure as one line: its type and its fields.

    Args:
        failure: The failure.

    Returns:
        The line, such as `UnknownName kind=upstream name=rota-9`.
    """
    fields = [
        f"{field.name}={_one_line(getattr(failure, field.name))}"
        for field in dataclasses.fields(failure)
    ]
    return " ".join([failure.code, *fields])


def _one_line(value: Any) -> str:
    """Formats the value of a field for `describe`."""
    if isinstance(value, str):
        return json.dumps(value, ensure_ascii=False)
    if isinstance(value, failures.Failure):
        return f"[{describe(value)}]"
    if isinstance(value, (tuple, list)):
        return "(" + ", ".join(_one_line(item) for item in value) + ")"
    return str(to_json(value))


class Output:
    """Writes the outcome of a command.

    With JSON, one object goes to standard output. With text, failures go to
    standard error and all else to standard output.
    """

    def __init__(self, as_json: bool) -> None:
        """Creates an output.

        Args:
            as_json: Whether to write JSON.
        """
        self.as_json = as_json

    def write_line(self, content: str) -> None:
        """Writes a line of text; does nothing with JSON."""
        if not self.as_json:
            print(content)

    def write_table(
        self, headings: Sequence[str], rows: Iterable[Sequence[object]]
    ) -> None:
        """Writes a table as text; does nothing with JSON.

        Args:
            headings: The headings of the columns.
            rows: The cells of each row.
        """
        if self.as_json:
            return
        grid = table.Table(box=None, pad_edge=False)
        for heading in headings:
            grid.add_column(heading, overflow="fold")
        for row in rows:
            # Plain text cells: rich would read brackets in names as markup.
            grid.add_row(*(text.Text(str(cell)) for cell in row))
        _console(sys.stdout).print(grid)

    def write_json(self, fields: Mapping[str, Any]) -> None:
        """Writes the JSON object; does nothing with text.

        Args:
            fields: The fields of the object.
        """
        if self.as_json:
            print(json.dumps(to_json(fields), indent=2, sort_keys=False))

    def write_failures(
        self, found_failures: Iterable[failures.Failure]
    ) -> None:
        """Writes failures as lines of text; does nothing with JSON.

        Args:
            found_failures: The failures.
        """
        if self.as_json:
            return
        for failure in found_failures:
            print(describe(failure), file=sys.stderr)


def _console(stream: TextIO) -> console.Console:
    """Returns a console; `PIPE_WIDTH` wide if the stream is no terminal."""
    width = None if stream.isatty() else PIPE_WIDTH
    return console.Console(
        file=stream, width=width, markup=False, highlight=False
    )
