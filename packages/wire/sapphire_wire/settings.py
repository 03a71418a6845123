"""Validated models of the daemon's settings, a file of JSON with comments."""

import ipaddress
from typing import Annotated
from typing import Literal

import pydantic

from sapphire_wire import validation

MAX_PORT = 65_535

Port = Annotated[int, pydantic.Field(ge=1, le=MAX_PORT)]
Name = Annotated[
    str, pydantic.Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$", max_length=63)
]


class PeerSettings(validation.StrictModel):
    """A seed: a host that a starting host contacts to join the fleet.

    Attributes:
        address: The seed's IP address.
        control_port: The seed's UDP port of control messages.
    """

    address: ipaddress.IPv4Address | ipaddress.IPv6Address
    control_port: Port


class PortSettings(validation.StrictModel):
    """The ports that a host listens on.

    Attributes:
        fabric: The UDP port of encapsulated packets from the fabric.
        control: The UDP port of control messages between hosts.
        api: The TCP port of the API.
        requests: The TCP port of requests from callers.
    """

    fabric: Port = 6080
    control: Port = 7400
    api: Port = 7401
    requests: Port = 8080


class StoreSettings(validation.StrictModel):
    """How to reach the store, the platform's key-value service.

    Attributes:
        endpoints: Base URLs, tried in order.
        prefix: The prefix of the environment's keys.
    """

    endpoints: list[pydantic.AnyHttpUrl] = pydantic.Field(min_length=1)
    prefix: str = pydantic.Field(
        default="/sapphirearch/production/", pattern=r"^/.+/$"
    )


class TlsSettings(validation.StrictModel):
    """The files of the process's certificate, which the platform provides.

    Attributes:
        certificate_file: The PEM file with the certificate chain of the
            process.
        key_file: The PEM file with the private key.
        authority_file: The PEM file with the certificates of the trusted
            authorities.
    """

    certificate_file: str
    key_file: str
    authority_file: str


class TrustSettings(validation.StrictModel):
    """Keys of control messages and certificates of the API.

    Attributes:
        key_ring_file: The JSON file of the keys that seal control messages.
        tls: The certificates of the API; without them the API can be served
            only on a loopback address.
        reread_ms: The interval at which these files are read again.
    """

    key_ring_file: str
    tls: TlsSettings | None = None
    reread_ms: int = pydantic.Field(default=2_000, ge=50, le=60_000)


class Settings(validation.StrictModel):
    """The settings of one daemon.

    Attributes:
        data_centre: The name of the host's data centre.
        address: The IP address that the host listens on and is reached at.
        ports: The ports that the host listens on.
        seeds: The hosts to contact in order to join the fleet.
        host_list_file: The file in which the platform lists hosts; it is read
            again regularly. Without it only the seeds are contacted.
        store: How to reach the store.
        trust: Keys and certificates.
        leave_notice_ms: How long a leaving host still accepts new work, since
            the platform's list of hosts is updated with a delay.
        fabric_quiet_ms: The time without a packet from the fabric after which
            a leaving host expects no more of them.
        drain_timeout_ms: The longest time that a graceful shutdown takes.
        log_level: The lowest level that is logged.
    """

    data_centre: Name
    address: ipaddress.IPv4Address | ipaddress.IPv6Address
    ports: PortSettings = PortSettings()
    seeds: tuple[PeerSettings, ...] = ()
    host_list_file: str | None = None
    store: StoreSettings
    trust: TrustSettings
    leave_notice_ms: int = pydantic.Field(default=2_000, ge=0, le=60_000)
    fabric_quiet_ms: int = pydantic.Field(default=1_000, ge=0, le=60_000)
    drain_timeout_ms: int = pydantic.Field(default=30_000, ge=0, le=600_000)
    log_level: Literal["debug", "info", "warning", "error"] = "info"

    @pydantic.model_validator(mode="after")
    def _check_ports(self) -> "Settings":
        """Rejects two listeners of one protocol on one port."""
        if self.ports.fabric == self.ports.control:
            raise ValueError("ports.fabric and ports.control must differ")
        if self.ports.api == self.ports.requests:
            raise ValueError("ports.api and ports.requests must differ")
        return self

    @pydantic.model_validator(mode="after")
    def _check_exposure(self) -> "Settings":
        """Rejects an API without TLS on an address that is not loopback."""
        if self.trust.tls is None and not self.address.is_loopback:
            raise ValueError(
                "trust.tls is required unless address is a loopback address"
            )
        return self
