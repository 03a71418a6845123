"""Deployments of today and the changes that the measurement makes."""

from collections.abc import Iterable
import dataclasses

from sapphire_data import records
from sapphire_lab.flows import builders

BUCKETS = 1_021
HOST_COUNT = 9


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """The sizes of one user's environment.

    Attributes:
        name: The name.
        data_centres: The data centres.
        targets_by_service: The number of upstreams of each service.
        slots: The requests that an upstream runs at a time.
        flows_per_target: The open flows of each upstream.
    """

    name: str
    data_centres: tuple[str, ...]
    upstream_counts_by_service: dict[str, int]
    slots: int
    flows_per_upstream: int = 2_000


CASCADIA = Deployment(
    "cascadia",
    ("tacoma", "salem", "spokane"),
    {"rota": 7, "intake": 3},
    slots=3,
)
KALNINS = Deployment(
    "kalnins",
    ("centrs", "teika", "purvciems", "imanta"),
    {"quotes": 7, "plans": 4},
    slots=2,
)


class ConfigurationEditor:
    """Edits the configuration as operators and the writer would.

    Attributes:
        draining_since_ms: When each draining upstream was committed.
        out_since_ms: When each data centre that is out was committed.
        revision: The last revision.

    Args:
        deployment: The deployment.
    """

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.draining_since_ms: dict[str, int] = {}
        self.out_since_ms: dict[str, int] = {}
        self.revision = 0
        self.upstreams_by_service: dict[str, dict[str, records.Upstream]] = {}
        self.addresses_by_service: dict[str, str] = {}
        self._generations: dict[str, list[records.PoolGeneration]] = {}
        self._count = 0
        for service, targets in deployment.upstream_counts_by_service.items():
            self.create_service(
                service, f"192.0.2.{len(self.addresses_by_service) + 1}"
            )
            for _ in range(targets):
                self.add_upstream(service)

    def create_service(self, service: str, address: str) -> None:
        """Creates a service without upstreams."""
        self.addresses_by_service[service] = address
        self.upstreams_by_service[service] = {}

    def remove_service(self, service: str) -> str:
        """Removes a service and its upstreams; returns its address."""
        del self.upstreams_by_service[service]
        del self._generations[service]
        return self.addresses_by_service.pop(service)

    def add_upstream(
        self, service: str, address: str | None = None
    ) -> records.Upstream:
        """Adds an upstream, each data centre in its turn."""
        centres = self.deployment.data_centres
        name = f"{service}-{self._count}"
        upstream = builders.upstream(
            name,
            centres[self._count % len(centres)],
            address=address or f"10.1.0.{self._count + 1}",
            warm_up_ms=15_000,
        )
        self._count += 1
        self.upstreams_by_service[service][name] = upstream
        return upstream

    def drain_upstream(self, service: str, name: str, now_ms: int) -> None:
        """Lets an upstream finish its flows."""
        self.draining_since_ms[name] = now_ms
        self.upstreams_by_service[service][name] = dataclasses.replace(
            self.upstreams_by_service[service][name],
            intent=records.UpstreamIntent.DRAIN,
        )

    def move_upstream(
        self, name: str, source: str, target: str
    ) -> records.Upstream:
        """Gives the address of an upstream to another service."""
        address = self.upstreams_by_service[source].pop(name).address
        return self.add_upstream(target, address)

    def serving_upstreams(self, service: str) -> list[str]:
        """Returns the upstreams that get new flows."""
        names = []
        for name, upstream in self.upstreams_by_service[service].items():
            if upstream.intent is not records.UpstreamIntent.SERVE:
                continue
            if upstream.data_centre not in self.out_since_ms:
                names.append(name)
        return sorted(names)

    def next_configuration(self) -> records.Configuration:
        """Returns the next revision with a generation for each new pool."""
        self.revision += 1
        services = []
        for name, upstreams in self.upstreams_by_service.items():
            pool = tuple(self.serving_upstreams(name))
            generations = self._generations.setdefault(name, [])
            if not generations or generations[-1].upstreams != pool:
                number = len(generations) + 1
                generations.append(records.PoolGeneration(number, pool))
            services.append(self._service(name, upstreams.values()))
        return builders.configuration(
            self.revision,
            services,
            self.deployment.data_centres,
            self.out_since_ms,
        )

    def _service(
        self, name: str, upstreams: Iterable[records.Upstream]
    ) -> records.Service:
        """Returns the record of one service."""
        return records.Service(
            name=name,
            address=self.addresses_by_service[name],
            port=builders.SERVICE_PORT,
            bucket_count=BUCKETS,
            upstreams_by_name={item.name: item for item in upstreams},
            generations=tuple(self._generations[name]),
        )
