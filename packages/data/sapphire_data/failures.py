"""The base of typed failures, and those that several packages share.

Failures are values. A stage returns them beside its records, and a function
with one outcome returns them in `expression.Result`.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """The base of each typed failure."""

    @property
    def code(self) -> str:
        """The name of the type, as logs, metrics and exit reports show it."""
        return type(self).__name__


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidField(Failure):
    """A field of an input that does not validate.

    Attributes:
        path: The path of the field, such as `services.rota.pool[2].slots`.
        problem: What is wrong with the value.
        expected: What a correct value looks like.
    """

    path: str
    problem: str
    expected: str


@dataclasses.dataclass(frozen=True, slots=True)
class UnreadableInput(Failure):
    """An input that cannot be decoded at all.

    Attributes:
        source: The file, peer or field that the input came from.
        problem: The decoder's report.
    """

    source: str
    problem: str
