"""Simulated deployments, and an editor of their configurations."""

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
        name: The name; the random choices of a run depend on it.
        data_centres: The names of the data centres.
        upstream_counts_by_service: The number of upstreams of each service.
        slots: The requests that an upstream handles at a time.
        flows_per_upstream: The open flows of each upstream.
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
    """Makes the revisions that follow from the edits of operators.

    Attributes:
        draining_since_ms: When each draining upstream was committed.
        out_since_ms: When each data centre that is out was taken out.
        revision: The last revision.
        upstreams_by_service: The upstreams of each service, by name.
        addresses_by_service: The address of each service.

    Args:
        deployment: The deployment, whose services and upstreams are created.
    """

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.draining_since_ms: dict[str, int] = {}
        self.out_since_ms: dict[str, int] = {}
        self.revision = 0
        self.upstreams_by_service: dict[str, dict[str, records.Upstream]] = {}
        self.addresses_by_service: dict[str, str] = {}
        self._generations: dict[str, list[records.PoolGeneration]] = {}
        self._upstreams_added = 0
        for (
            service,
            upstream_count,
        ) in deployment.upstream_counts_by_service.items():
            self.create_service(
                service, f"192.0.2.{len(self.addresses_by_service) + 1}"
            )
            for _ in range(upstream_count):
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
        """Adds an upstream; data centres are assigned in turn.

        Args:
            service: The service that gets it.
            address: Its IP address; None for an unused one.
        """
        data_centres = self.deployment.data_centres
        name = f"{service}-{self._upstreams_added}"
        upstream = builders.upstream(
            name,
            data_centres[self._upstreams_added % len(data_centres)],
            address=address or f"10.1.0.{self._upstreams_added + 1}",
            warm_up_ms=15_000,
        )
        self._upstreams_added += 1
        self.upstreams_by_service[service][name] = upstream
        return upstream

    def drain_upstream(self, service: str, name: str, now_ms: int) -> None:
        """Drains an upstream: it keeps its flows and gets no new ones."""
        self.draining_since_ms[name] = now_ms
        self.upstreams_by_service[service][name] = dataclasses.replace(
            self.upstreams_by_service[service][name],
            intent=records.UpstreamIntent.DRAIN,
        )

    def move_upstream(
        self, name: str, source: str, target: str
    ) -> records.Upstream:
        """Replaces an upstream by one of another service at its address.

        Args:
            name: The upstream, which is removed.
            source: Its service.
            target: The service that gets the new upstream.

        Returns:
            The new upstream.
        """
        address = self.upstreams_by_service[source].pop(name).address
        return self.add_upstream(target, address)

    def serving_upstreams(self, service: str) -> list[str]:
        """Returns the names of the upstreams that get new flows."""
        names = []
        for name, upstream in self.upstreams_by_service[service].items():
            if upstream.intent is not records.UpstreamIntent.SERVE:
                continue
            if upstream.data_centre not in self.out_since_ms:
                names.append(name)
        return sorted(names)

    def next_configuration(self) -> records.Configuration:
        """Returns the next revision.

        A service whose pool has changed gets a further generation.
        """
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
        """Returns the record of a service with all its generations."""
        return records.Service(
            name=name,
            address=self.addresses_by_service[name],
            port=builders.SERVICE_PORT,
            bucket_count=BUCKETS,
            upstreams_by_name={item.name: item for item in upstreams},
            generations=tuple(self._generations[name]),
        )
