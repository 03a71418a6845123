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
    """Returns an `IP:port` in its canonical form."""
    address, separator, port = value.rpartition(":")
    number = ipaddress.ip_address(address.strip("[]"))
    if not separator or not port.isdecimal() or not 0 < int(port) <= _MAX_PORT:
        raise ValueError("must be an IP number and a port")
    if number.version == _IP_VERSION_6:
        return f"[{number}]:{int(port)}"
    return f"{number}:{int(port)}"


HostAddress = Annotated[str, pydantic.AfterValidator(_require_host_address)]


class _Model(pydantic.BaseModel):
    """A model in which unknown keys are errors."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class TlsModel(_Model):
    """The operator's certificate, its key and the trusted authorities.

    Attributes:
        certificate: The path of the certificate, in PEM.
        private_key: The path of its key.
        authorities: The path of the authorities' certificates.
        checks_address: Whether a host's certificate has to name its IP
            number.
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
        endpoints: The base addresses, tried in order.
        authorities: The path of the authorities of its certificate; absent
            for those of the operating system.
        certificate: The path of the certificate to show to it.
        private_key: The path of the key of that certificate.
        timeout_ms: The longest wait for one answer.
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
        hosts: The API addresses of some hosts; these name the others.
        tls: The files that authenticate the operator to hosts; absent only
            where the hosts serve their API on loopback without TLS.
        host_timeout_ms: The longest wait for one host.
        promotes_from: The environment in which documents are proven first;
            absent where documents are applied.
        min_proof_ms: How long a document has to have been in force there.
        min_proof_events: How many service-level events have to have been
            counted there.
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
    """The whole file.

    Attributes:
        author: The operator's name in the history; absent for the user's
            name of the operating system.
        default_environment: The environment of commands that name none.
        environments: The environments by name.
    """

    author: str | None = None
    default_environment: str | None = None
    environments: Annotated[
        dict[str, EnvironmentModel], pydantic.Field(min_length=1)
    ]

    @pydantic.model_validator(mode="after")
    def _check_names(self) -> "SettingsModel":
        """Refuses names of environments that do not exist."""
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
        The settings, or none if there are errors; and all errors.
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
    """Returns the name of the environment that a command acts on.

    Args:
        model: The settings.
        name: The name that was asked for, if any.

    Returns:
        The name, or that there is no such environment.
    """
    chosen = name or model.default_environment
    if chosen is None and len(model.environments) == 1:
        chosen = next(iter(model.environments))
    if chosen not in model.environments:
        return expression.Error(
            ctl_failures.UnknownEnvironment(
                name=chosen or "", known=tuple(sorted(model.environments))
            )
        )
    return expression.Ok(chosen)
