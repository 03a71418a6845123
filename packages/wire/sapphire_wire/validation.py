"""Validation of JSON with comments against a pydantic model."""

from collections.abc import Sequence
from typing import Any
from typing import TypeVar

import expression
import json5
import pydantic
import pydantic_core

from sapphire_data import failures

MAX_TEXT_BYTES = 67_108_864

ModelT = TypeVar("ModelT", bound=pydantic.BaseModel)

_EXPECTED_BY_TYPE = {
    "missing": "a value; the field is required",
    "extra_forbidden": "no such field; remove it or correct its name",
    "int_parsing": "a whole number",
    "int_type": "a whole number",
    "float_type": "a number",
    "string_type": "a text",
    "bool_type": "true or false",
    "list_type": "a list",
    "dict_type": "an object",
    "model_type": "an object",
    "ip_v4_address": "an IP number such as 192.0.2.1",
}
_EXPECTED_BY_BOUND = {
    "ge": "at least {}",
    "gt": "more than {}",
    "le": "at most {}",
    "lt": "less than {}",
    "min_length": "a length of at least {}",
    "max_length": "a length of at most {}",
    "pattern": "a text that matches {}",
    "expected": "{}",
}


class StrictModel(pydantic.BaseModel):
    """The base of models at the border: unknown keys are errors."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


def parse(
    model_type: type[ModelT], text: bytes, source: str
) -> tuple[ModelT | None, list[failures.Failure]]:
    """Decodes and validates JSON with comments.

    Args:
        model_type: The model to validate against.
        text: The encoded text; it may hold anything.
        source: The name of the input for reports.

    Returns:
        The model, or None with every error of the input.
    """
    decoded = decode_json5(text, source)
    if decoded.is_error():
        return None, [decoded.error]
    try:
        return model_type.model_validate(decoded.ok), []
    except pydantic.ValidationError as error:
        return None, [_invalid_field(item) for item in error.errors()]


def decode_json5(
    text: bytes, source: str
) -> expression.Result[Any, failures.UnreadableInput]:
    """Decodes JSON with comments.

    Args:
        text: The encoded text; it may hold anything.
        source: The name of the input for reports.

    Returns:
        The decoded value, or why the text cannot be read.
    """
    if len(text) > MAX_TEXT_BYTES:
        return _unreadable(source, f"{len(text)} bytes is too long")
    try:
        value = json5.loads(text.decode("utf-8"), allow_duplicate_keys=False)
    except (ValueError, RecursionError) as error:
        return _unreadable(source, str(error) or type(error).__name__)
    return expression.Ok(value)


def describe(problems: Sequence[failures.Failure]) -> list[str]:
    """Returns one line for each failure, for a person to read.

    Args:
        problems: Typed failures, `InvalidField` among them.

    Returns:
        The lines, in the order of the failures.
    """
    lines = []
    for problem in problems:
        if isinstance(problem, failures.InvalidField):
            lines.append(
                f"{problem.path}: {problem.problem}"
                f" (expected {problem.expected})"
            )
            continue
        lines.append(str(problem))
    return lines


def _unreadable(
    source: str, problem: str
) -> expression.Result[Any, failures.UnreadableInput]:
    """Returns the failure for a text that cannot be decoded."""
    return expression.Error(
        failures.UnreadableInput(source=source, problem=problem)
    )


def _invalid_field(
    error: pydantic_core.ErrorDetails,
) -> failures.InvalidField:
    """Returns the typed failure for an error of pydantic."""
    return failures.InvalidField(
        path=_path(error["loc"]),
        problem=_problem(error),
        expected=_expected(error),
    )


def _path(location: tuple[int | str, ...]) -> str:
    """Returns the location as a path such as `hosts[2].port`."""
    path = ""
    for part in location:
        if isinstance(part, int):
            path += f"[{part}]"
            continue
        path += f".{part}" if path else part
    return path or "(document)"


def _problem(error: pydantic_core.ErrorDetails) -> str:
    """Returns what is wrong, with the value where it is short."""
    if error["type"] in {"missing", "extra_forbidden"}:
        return str(error["msg"])
    value = repr(error["input"])
    if len(value) > 60:  # noqa: PLR2004 - Longer values hide the report.
        return str(error["msg"])
    return f"{error['msg']}, got {value}"


def _expected(error: pydantic_core.ErrorDetails) -> str:
    """Returns what a correct value looks like."""
    known = _EXPECTED_BY_TYPE.get(error["type"])
    if known is not None:
        return known
    context = error.get("ctx") or {}
    bounds = [
        template.format(context[name])
        for name, template in _EXPECTED_BY_BOUND.items()
        if name in context
    ]
    return " and ".join(bounds) or str(error["msg"])
