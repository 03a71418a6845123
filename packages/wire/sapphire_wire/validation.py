"""Decodes JSON with comments and validates it against a pydantic model."""

from collections.abc import Sequence
import json
from typing import Any
from typing import TypeVar

import expression
import json5
import pydantic
import pydantic_core

from sapphire_data import failures

MAX_TEXT_BYTES = 67_108_864
# The decoder of JSON with comments takes about 20 us for each byte, so longer
# texts have to be plain JSON.
MAX_COMMENTED_BYTES = 1_048_576
# Longer problems of invalid fields are truncated.
MAX_SHOWN_CHARACTERS = 200

ModelT = TypeVar("ModelT", bound=pydantic.BaseModel)

# What is expected instead of a value with an error, by pydantic's error type.
# Placeholders are filled in from the context of the error.
_EXPECTED_BY_TYPE = {
    "missing": "this key with a value",
    "extra_forbidden": "no such key; remove it or correct its name",
    "string_pattern_mismatch": "a text that matches {pattern}",
    "string_too_long": "at most {max_length} characters",
    "string_too_short": "at least {min_length} characters",
    "too_short": "at least {min_length} items",
    "too_long": "at most {max_length} items",
    "greater_than": "a number greater than {gt}",
    "greater_than_equal": "a number of at least {ge}",
    "less_than": "a number less than {lt}",
    "less_than_equal": "a number of at most {le}",
    "enum": "one of {expected}",
    "literal_error": "one of {expected}",
    "int_type": "a whole number",
    "int_parsing": "a whole number",
    "float_type": "a number",
    "finite_number": "a finite number",
    "string_type": "a string",
    "bool_type": "true or false",
    "list_type": "a list",
    "tuple_type": "a list",
    "dict_type": "an object",
    "model_type": "an object",
    "ip_any_address": "an IP address such as 192.0.2.1",
}


class StrictModel(pydantic.BaseModel):
    """The base class of models of untrusted input: unknown keys are errors."""

    model_config = pydantic.ConfigDict(
        extra="forbid", frozen=True, allow_inf_nan=False
    )


class _DuplicateKeyError(ValueError):
    """An object of the input has the same key twice."""


def parse(
    model_type: type[ModelT], text: bytes, source: str
) -> tuple[ModelT | None, list[failures.Failure]]:
    """Decodes and validates JSON with comments.

    Args:
        model_type: The model to validate against.
        text: The encoded text; it may hold arbitrary bytes.
        source: The name of the input in failures.

    Returns:
        The model, or None if the input is invalid; and all errors of the
        input.
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
        text: The encoded text; it may hold arbitrary bytes.
        source: The name of the input in failures.

    Returns:
        The decoded value, or why the text cannot be decoded.
    """
    if len(text) > MAX_TEXT_BYTES:
        return _unreadable(source, f"more than {MAX_TEXT_BYTES} bytes")
    try:
        return expression.Ok(_decode(text.decode("utf-8")))
    except (ValueError, RecursionError) as error:
        return _unreadable(source, str(error) or type(error).__name__)


def describe(problems: Sequence[failures.Failure]) -> list[str]:
    """Returns one human-readable line for each failure.

    Args:
        problems: Typed failures, such as `InvalidField`.

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


def _decode(text: str) -> Any:
    """Decodes JSON or, if that fails, JSON with comments.

    Raises:
        ValueError: The text is neither, or has the same key twice in an
            object.
        RecursionError: The text nests too deeply.
    """
    try:
        return json.loads(text, object_pairs_hook=_unique_keys)
    except json.JSONDecodeError:
        if len(text) > MAX_COMMENTED_BYTES:
            raise
    return json5.loads(text, allow_duplicate_keys=False)


def _unique_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Builds an object, whose keys must be unique."""
    value_by_key: dict[str, Any] = {}
    for key, value in pairs:
        if key in value_by_key:
            raise _DuplicateKeyError(f"key {key!r} occurs twice in one object")
        value_by_key[key] = value
    return value_by_key


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
    """Returns the typed failure for a validation error of pydantic."""
    problem = str(error["msg"])
    if error["type"] not in {"missing", "extra_forbidden"}:
        problem = f"{problem}, got {error['input']!r}"[:MAX_SHOWN_CHARACTERS]
    return failures.InvalidField(
        path=_path(error["loc"]), problem=problem, expected=_expected(error)
    )


def _path(location: tuple[int | str, ...]) -> str:
    """Returns the location of a value as a path such as `hosts[2].port`."""
    path = ""
    for part in location:
        # The location of an error in a key itself ends with this part.
        if part == "[key]":
            continue
        if isinstance(part, int):
            path += f"[{part}]"
            continue
        path += f".{part}" if path else part
    return path or "(document)"


def _expected(error: pydantic_core.ErrorDetails) -> str:
    """Returns a description of a valid value."""
    template = _EXPECTED_BY_TYPE.get(error["type"])
    if template is None:
        return str(error["msg"])
    return template.format(**(error.get("ctx") or {}))
