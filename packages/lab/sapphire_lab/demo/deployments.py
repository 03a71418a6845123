"""The two deployments of the demonstration: names, sizes and addresses."""

import dataclasses
import ipaddress

FABRIC_PORT = 6080
CONTROL_PORT = 7400
API_PORT = 7401
REQUEST_PORT = 8080
PACKET_PORT = 6082
UPSTREAM_REQUEST_PORT = 8081
STORE_PORT = 2379
ENTRY_HOSTS = 9
SERVICE_PORT = 443
BUCKET_COUNT = 1_021


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A service of a deployment.

    Attributes:
        name: The name of the service.
        address: The virtual IP address that callers use.
        upstream_count: The number of upstreams.
        slots: The number of requests that each upstream runs at a time.
    """

    name: str
    address: str
    upstream_count: int
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class HostSpec:
    """An entry host.

    Attributes:
        address: Its IP address.
        data_centre: The name of its data centre.
    """

    address: str
    data_centre: str


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamSpec:
    """An upstream.

    Attributes:
        name: Its name.
        service: The name of its service.
        data_centre: The name of its data centre.
        address: Its IP address.
        slots: The number of requests that it runs at a time.
    """

    name: str
    service: str
    data_centre: str
    address: str
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """A deployment: its data centres, services, hosts and upstreams.

    Attributes:
        name: The name of the deployment.
        network_byte: The second byte of its loopback addresses.
        data_centres: The names of the data centres.
        services: The services.
    """

    name: str
    network_byte: int
    data_centres: tuple[str, ...]
    services: tuple[ServiceSpec, ...]

    @property
    def store_address(self) -> str:
        """The IP address of the fake store."""
        return self._address(1, 1)

    @property
    def caller_address(self) -> str:
        """The IP address that all callers share."""
        return self._address(2, 1)

    def hosts(self) -> tuple[HostSpec, ...]:
        """Returns the initial entry hosts, evenly over the data centres."""
        return tuple(self.host(number) for number in range(ENTRY_HOSTS))

    def host(self, number: int) -> HostSpec:
        """Returns an entry host.

        Args:
            number: Its number; numbers of at least `ENTRY_HOSTS` are for hosts
                that replace others during the run.

        Returns:
            The host.
        """
        data_centre = self.data_centres[number % len(self.data_centres)]
        return HostSpec(self._address(3, number + 1), data_centre)

    def upstreams(self) -> tuple[UpstreamSpec, ...]:
        """Returns the upstreams of all services."""
        specs: list[UpstreamSpec] = []
        for service in self.services:
            for number in range(service.upstream_count):
                specs.append(self.upstream(service, number))
        return tuple(specs)

    def upstream(self, service: ServiceSpec, number: int) -> UpstreamSpec:
        """Returns an upstream of a service.

        Args:
            service: The service.
            number: Its number; numbers of at least `service.upstream_count` are
                for upstreams that are added during the run.

        Returns:
            The upstream.
        """
        block = 4 + self.services.index(service)
        return UpstreamSpec(
            name=f"{service.name}-{number + 1}",
            service=service.name,
            data_centre=self.data_centres[number % len(self.data_centres)],
            address=self._address(block, number + 1),
            slots=service.slots,
        )

    def _address(self, block: int, number: int) -> str:
        """Returns a loopback address of this deployment."""
        text = f"127.{self.network_byte}.{block}.{number}"
        return str(ipaddress.IPv4Address(text))


CASCADIA = Deployment(
    name="cascadia",
    network_byte=11,
    data_centres=("tacoma", "salem", "spokane"),
    services=(
        ServiceSpec("rota-board", "198.51.100.1", upstream_count=7, slots=3),
        ServiceSpec("plan-intake", "198.51.100.2", upstream_count=3, slots=3),
    ),
)
KALNINS = Deployment(
    name="kalnins",
    network_byte=12,
    data_centres=("riga-1", "riga-2", "riga-3", "riga-4"),
    services=(
        ServiceSpec("quoting-stock", "203.0.113.1", upstream_count=7, slots=2),
        ServiceSpec("floor-plans", "203.0.113.2", upstream_count=4, slots=2),
    ),
)
