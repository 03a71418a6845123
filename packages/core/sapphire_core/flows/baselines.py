"""Two simple routers that serve as baselines of the measurement.

Both route by the newest configuration as soon as they receive it. They show
which faults the changes of the measurement cause without the protection of
`router.Router`; the daemon does not use them.
"""

from sapphire_core.flows import bucket_table
from sapphire_core.flows import data
from sapphire_core.flows import failures
from sapphire_core.flows import service_versions
from sapphire_data import records


class HashRouter:
    """Consistent hashing over the newest pool, without flow state."""

    def __init__(self) -> None:
        self._services_by_key: dict[bytes, records.Service] = {}

    def prepare(self, configuration: records.Configuration) -> None:
        """Replaces the configuration at once.

        Args:
            configuration: The configuration.
        """
        self._services_by_key = {}
        for service in configuration.services_by_name.values():
            key = service_versions.service_key(service.address, service.port)
            self._services_by_key[key] = service

    def route(
        self, service_key: bytes, flow_hash: int, *, is_opening: bool
    ) -> data.Decision:
        """Decides about a packet.

        Args:
            service_key: The destination address bytes and two port bytes.
            flow_hash: The hash of the flow.
            is_opening: Whether the packet opens the flow.

        Returns:
            The owner of the flow's bucket in the newest generation.
        """
        del is_opening
        service = self._services_by_key.get(service_key)
        if service is None:
            return data.Drop(failures.UnknownService())
        pool = service.generations[-1].upstreams
        table = bucket_table.owners(service.name, service.bucket_count, pool)
        bucket = flow_hash % service.bucket_count
        name = bucket_table.owner_name(table, pool, bucket)
        if name is None:
            return data.Reset(failures.NoUpstream(service.name))
        return data.Forward(service.upstreams_by_name[name])


class LocalTableRouter:
    """Consistent hashing with a table of the flows that this host routed."""

    def __init__(self) -> None:
        self._hash_router = HashRouter()
        self._decision_by_flow: dict[tuple[bytes, int], data.Decision] = {}

    def prepare(self, configuration: records.Configuration) -> None:
        """Replaces the configuration at once; known flows keep their decision.

        Args:
            configuration: The configuration.
        """
        self._hash_router.prepare(configuration)

    def route(
        self, service_key: bytes, flow_hash: int, *, is_opening: bool
    ) -> data.Decision:
        """Decides about a packet.

        Args:
            service_key: The destination address bytes and two port bytes.
            flow_hash: The hash of the flow.
            is_opening: Whether the packet opens the flow.

        Returns:
            The upstream to which this host sent the flow before, unless the
            packet opens it anew; else the owner of its bucket in the newest
            generation.
        """
        flow = (service_key, flow_hash)
        known = self._decision_by_flow.get(flow)
        if known is not None and not is_opening:
            return known
        decision = self._hash_router.route(
            service_key, flow_hash, is_opening=is_opening
        )
        if isinstance(decision, data.Forward):
            self._decision_by_flow[flow] = decision
        return decision
