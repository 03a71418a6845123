"""The settings file of `sapphirectl`, in JSON with comments."""

import ipaddress
import pathlib
from typing import Annotated

import expression
import pydantic

from sapphire_ctl import failures as ctl_failures
from sapphire_data import failures
from sapphire_net.trust import tls
from sapphire_wire import validation

DEFAULT_PATH = pathlib.Path("sapphirectl.json5")
PATH_VARIABLE = "SAPPHIRECTL_SETTINGS"
ENVIRONMENT_VARIABLE = "SAPPHIRECTL_ENV"
DEFAULT_TIMEOUT_MS = 2_000
MAX_TIMEOUT_MS = 60_000
DEFAULT_MIN_PROOF_MS = 60_000


_MAX_PORT = 65_535
_IP_VERSION_6 = 6


def _require_host_address(value: str) -> str:
    """Returns an `IP:port` in canonical form; raises ValueError if invalid."""
    address, separator, port = value.rpartition(":")
    number = ipaddress.ip_address(address.strip("[]"))
    if not separator or not port.isdecimal() or not 0 < int(port) <= _MAX_PORT:
        raise ValueError("must be an IP address and a port")
    if number.version == _IP_VERSION_6:
        return f"[{number}]:{int(port)}"
    return f"{number}:{int(port)}"


HostAddress = Annotated[str, pydantic.AfterValidator(_require_host_address)]


class _Model(pydantic.BaseModel):
    """A model in which unknown keys are errors."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class TlsModel(_Model):
    """The files with which operator and hosts authenticate each other.

    Attributes:
        certificate: The path of the operator's certificate, in PEM.
        private_key: The path of its key.
        authorities: The path of the certificates of the trusted authorities.
        checks_address: Whether a host's certificate has to name its IP
            address.
    """

    certificate: pathlib.Path
    private_key: pathlib.Path
    authorities: pathlib.Path
    checks_address: bool = True

    def files(self, directory: pathlib.Path) -> tls.TlsFiles:
        """Returns the paths, relative ones resolved from a directory."""
        return tls.TlsFiles(
            certificate=directory / self.certificate,
            private_key=directory / self.private_key,
            authorities=directory / self.authorities,
        )


class StoreModel(_Model):
    """The platform's store.

    Attributes:
        endpoints: The base URLs, tried in order.
        authorities: The path of the certificates of the authorities that the
            store's certificate has to come from; absent for the default
            ones: those of the operating system with a client certificate, and
            else those of the HTTP library.
        certificate: The path of the client certificate.
        private_key: The path of the key of that certificate.
        timeout_ms: The timeout of one call.
    """

    endpoints: Annotated[
        tuple[
            Annotated[str, pydantic.StringConstraints(pattern="^https?://")],
            ...,
        ],
        pydantic.Field(min_length=1),
    ]
    authorities: pathlib.Path | None = None
    certificate: pathlib.Path | None = None
    private_key: pathlib.Path | None = None
    timeout_ms: Annotated[int, pydantic.Field(gt=0, le=MAX_TIMEOUT_MS)] = (
        DEFAULT_TIMEOUT_MS
    )


class EnvironmentModel(_Model):
    """One environment.

    Attributes:
        prefix: The prefix of its keys in the store, such as
            `/sapphirearch/trial/`.
        store: The store.
        hosts: The API addresses of some hosts, from which the others are
            discovered.
        tls: The files that authenticate the operator to hosts; absent only
            where the hosts serve their API on loopback without TLS.
        host_timeout_ms: The timeout of one query of a host.
        promotes_from: The environment in which documents are proven before
            they are promoted to this one; absent if documents are applied to
            this one directly.
        min_proof_ms: The time for which a document has to have been in force
            there.
        min_proof_events: The number of service-level events that have to have
            been counted there.
    """

    prefix: Annotated[str, pydantic.StringConstraints(pattern=r"^/\S+/$")]
    store: StoreModel
    hosts: tuple[HostAddress, ...] = ()
    tls: TlsModel | None = None
    host_timeout_ms: Annotated[int, pydantic.Field(gt=0, le=MAX_TIMEOUT_MS)] = (
        DEFAULT_TIMEOUT_MS
    )
    promotes_from: str | None = None
    min_proof_ms: Annotated[int, pydantic.Field(ge=0)] = DEFAULT_MIN_PROOF_MS
    min_proof_events: Annotated[int, pydantic.Field(ge=0)] = 0


class SettingsModel(_Model):
    """The content of the settings file.

    Attributes:
        author: The operator's name in the history; absent for the name of
            the operating system's user.
        default_environment: The environment of commands without `--env`.
        environments: The environments by name.
    """

    author: str | None = None
    default_environment: str | None = None
    environments: Annotated[
        dict[str, EnvironmentModel], pydantic.Field(min_length=1)
    ]

    @pydantic.model_validator(mode="after")
    def _check_names(self) -> "SettingsModel":
        """Rejects unknown environments, and promotion from itself."""
        named = [self.default_environment]
        named += [model.promotes_from for model in self.environments.values()]
        for name in named:
            if name is not None and name not in self.environments:
                raise ValueError(f"unknown environment {name!r}")
        for name, model in self.environments.items():
            if model.promotes_from == name:
                raise ValueError(f"{name!r} cannot promote from itself")
        return self


def load(
    path: pathlib.Path,
) -> tuple[SettingsModel | None, list[failures.Failure]]:
    """Reads and validates the settings.

    Args:
        path: The path of the file.

    Returns:
        The settings, or None if there are errors; and all errors.
    """
    try:
        content = path.read_bytes()
    except OSError as error:
        problem = error.strerror or "unreadable"
        return None, [failures.UnreadableInput(str(path), problem)]
    return validation.parse(SettingsModel, content, str(path))


def select_environment(
    model: SettingsModel, name: str | None
) -> expression.Result[str, ctl_failures.UnknownEnvironment]:
    """Selects the environment that a command acts on.

    Args:
        model: The settings.
        name: The name that the operator gave, if any.

    Returns:
        The name, or a failure if there is no such environment.
    """
    selected = name or model.default_environment
    if selected is None and len(model.environments) == 1:
        selected = next(iter(model.environments))
    if selected not in model.environments:
        return expression.Error(
            ctl_failures.UnknownEnvironment(
                name=selected or "", known=tuple(sorted(model.environments))
            )
        )
    return expression.Ok(selected)
