"""The base class of typed failures, and failures that several packages share.

Failures are values, not exceptions. A function that may fail returns its
failure in `expression.Result`; one that processes many records returns a list
of failures beside them.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """The base class of all typed failures."""

    @property
    def code(self) -> str:
        """The name of the type, as logs, metrics and exit reports show it."""
        return type(self).__name__


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidField(Failure):
    """A field of an input is invalid.

    Attributes:
        path: The path of the field, such as `services.rota.pool[2].slots`.
        problem: What is wrong with the value.
        expected: Describes a valid value.
    """

    path: str
    problem: str
    expected: str


@dataclasses.dataclass(frozen=True, slots=True)
class UnreadableInput(Failure):
    """An input can't be decoded at all.

    Attributes:
        source: The file, peer or field that the input came from.
        problem: The error message of the decoder.
    """

    source: str
    problem: str
