"""Typed failures of the command line tool."""

import dataclasses

from sapphire_data import failures


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownEnvironment(failures.Failure):
    """An environment that the settings do not name.

    Attributes:
        name: The name that the operator gave; empty if none.
        known: The names that the settings have.
    """

    name: str
    known: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class HostUnreachable(failures.Failure):
    """A host whose API cannot be reached or did not answer in time.

    Attributes:
        address: Its IP address and API port.
        problem: The error of the HTTP client.
    """

    address: str
    problem: str


@dataclasses.dataclass(frozen=True, slots=True)
class HostAnswerInvalid(failures.Failure):
    """A host whose API sent a response that is invalid.

    Attributes:
        address: Its IP address and API port.
        problem: What is wrong with the response.
    """

    address: str
    problem: str


HostFailure = HostUnreachable | HostAnswerInvalid


@dataclasses.dataclass(frozen=True, slots=True)
class PromotionRequired(failures.Failure):
    """A document applied to an environment that takes only promoted ones.

    Attributes:
        environment: The environment.
        promotes_from: The environment from which documents are promoted.
    """

    environment: str
    promotes_from: str


@dataclasses.dataclass(frozen=True, slots=True)
class NoPromotionSource(failures.Failure):
    """A promotion to an environment without `promotes_from`.

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
        host: The host with the problem; empty if it is not that of one host.
        problem: What the proof lacks.
    """

    environment: str
    digest: str
    host: str
    problem: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotInForce(failures.Failure):
    """A host on which a revision is not in force.

    Attributes:
        host: The identity or address of the host.
        expected_revision: The revision that should be in force.
        active_revision: The revision that is in force; if only peers reported
            the host, the one that it has prepared.
        active_digest: The digest of the document in force; empty if only
            peers reported the host.
        lag_ms: For how long the host has known a newer revision than the
            active one.
    """

    host: str
    expected_revision: int
    active_revision: int
    active_digest: str
    lag_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownName(failures.Failure):
    """A data centre, upstream or flow that does not exist.

    Attributes:
        kind: The kind of the name, such as `upstream`.
        name: The name that the operator gave.
        known: Some of the names that exist.
    """

    kind: str
    name: str
    known: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectiveBurning(failures.Failure):
    """An objective that burns at the level at which the report fails, or worse.

    Attributes:
        service: The service.
        objective: The objective.
        level: The level of the alert.
    """

    service: str
    objective: str
    level: str


@dataclasses.dataclass(frozen=True, slots=True)
class UnwritableOutput(failures.Failure):
    """A file that cannot be written.

    Attributes:
        path: The path of the file.
        problem: The error of the operating system.
    """

    path: str
    problem: str


@dataclasses.dataclass(frozen=True, slots=True)
class NoBindings(failures.Failure):
    """A first document without the addresses of its environment.

    Attributes:
        environment: The environment, in which no bindings are in force yet.
        flag: The option that names the file of bindings.
    """

    environment: str
    flag: str = "--bindings"
