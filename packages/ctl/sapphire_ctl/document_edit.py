"""Edits one state or intent in a document.

The edited document is written as plain JSON: comments stay only in the
operators' own copy.
"""

import json
from typing import Any

import expression
import json5

from sapphire_ctl import failures
from sapphire_data import records

_MAX_NAMES_SHOWN = 10
_INDENT = 2


def set_data_centre_state(
    document: bytes, name: str, state: records.DataCentreState
) -> expression.Result[bytes, failures.UnknownName]:
    """Sets the state of a data centre: out or in.

    Args:
        document: The valid document in force.
        name: The name of the data centre.
        state: The new state.

    Returns:
        The edited document, or a failure if there is no such data centre.
    """
    content = _load(document)
    data_centres = content["data_centres"]
    if name not in data_centres:
        return _unknown_name("data centre", name, data_centres)
    data_centres[name]["state"] = state.value
    return expression.Ok(_dump(content))


def set_upstream_intent(
    document: bytes, name: str, intent: records.UpstreamIntent
) -> expression.Result[bytes, failures.UnknownName]:
    """Sets the intent of an upstream: drain or serve.

    Args:
        document: The valid document in force.
        name: The name of the upstream.
        intent: The new intent.

    Returns:
        The edited document, or a failure if there is no such upstream.
    """
    content = _load(document)
    names: list[str] = []
    for service in content["services"].values():
        pool = service["pool"]
        names.extend(pool)
        if name not in pool:
            continue
        pool[name]["intent"] = intent.value
        return expression.Ok(_dump(content))
    return _unknown_name("upstream", name, names)


def _load(document: bytes) -> Any:
    """Parses a valid document, as plain JSON if possible, else as JSON5."""
    text = document.decode()
    try:
        return json.loads(text)
    except json.JSONDecodeError:
        return json5.loads(text)


def _dump(content: Any) -> bytes:
    """Encodes a document as indented JSON."""
    return (json.dumps(content, indent=_INDENT) + "\n").encode()


def _unknown_name(
    kind: str, name: str, known: Any
) -> expression.Result[bytes, failures.UnknownName]:
    """Returns the failure for a name that the document does not have."""
    shown = tuple(sorted(known)[:_MAX_NAMES_SHOWN])
    return expression.Error(failures.UnknownName(kind, name, shown))
