"""Typed failures of the command line."""

import dataclasses

from sapphire_data import failures


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownEnvironment(failures.Failure):
    """An environment that the settings do not name.

    Attributes:
        name: The name that was asked for; empty where none was.
        known: The names in the settings.
    """

    name: str
    known: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class HostUnreachable(failures.Failure):
    """A host whose API did not answer.

    Attributes:
        address: Its IP number and API port.
        problem: The report of the transport.
    """

    address: str
    problem: str


@dataclasses.dataclass(frozen=True, slots=True)
class HostAnswerInvalid(failures.Failure):
    """A host whose API gave an answer that cannot be read.

    Attributes:
        address: Its IP number and API port.
        problem: What is wrong with the answer.
    """

    address: str
    problem: str


HostFailure = HostUnreachable | HostAnswerInvalid


@dataclasses.dataclass(frozen=True, slots=True)
class PromotionRequired(failures.Failure):
    """A document applied to an environment that takes promoted ones only.

    Attributes:
        environment: The environment.
        promotes_from: The environment whose documents it takes.
    """

    environment: str
    promotes_from: str


@dataclasses.dataclass(frozen=True, slots=True)
class NoPromotionSource(failures.Failure):
    """A promotion into an environment that takes none.

    Attributes:
        environment: The environment.
    """

    environment: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotProven(failures.Failure):
    """A document that the trial environment has not proven.

    Attributes:
        environment: The trial environment.
        digest: The digest of the document.
        host: The host that speaks against it; empty where none does.
        problem: What is missing.
    """

    environment: str
    digest: str
    host: str
    problem: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotInForce(failures.Failure):
    """A host in which the revision is not in force.

    Attributes:
        host: The identity or address of the host.
        expected_revision: The revision that should be in force.
        active_revision: The one that is.
        active_digest: The digest of the document that is in force.
        lag_ms: For how long the host has known a newer one.
    """

    host: str
    expected_revision: int
    active_revision: int
    active_digest: str
    lag_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownName(failures.Failure):
    """A data centre, upstream or revision that does not exist.

    Attributes:
        kind: What was looked for, such as `upstream`.
        name: Its name.
        known: Names that exist, at most a few.
    """

    kind: str
    name: str
    known: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectiveBurning(failures.Failure):
    """An objective that burns at the level at which the report fails.

    Attributes:
        service: The service.
        objective: The objective.
        level: The level of its alert.
    """

    service: str
    objective: str
    level: str


@dataclasses.dataclass(frozen=True, slots=True)
class UnwritableOutput(failures.Failure):
    """A file that cannot be written.

    Attributes:
        path: The path of the file.
        problem: The report of the operating system.
    """

    path: str
    problem: str


@dataclasses.dataclass(frozen=True, slots=True)
class NoBindings(failures.Failure):
    """A first document without the addresses of its environment.

    Attributes:
        environment: The environment, in which no bindings are in force yet.
        flag: The flag that gives them.
    """

    environment: str
    flag: str = "--bindings"
