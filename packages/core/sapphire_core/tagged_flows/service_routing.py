"""The configuration in force on a host, and what it says of new flows."""

import xxhash

from sapphire_core.tagged_flows import data


class ServiceRouting:
    """Finds the route and the service of a new flow.

    Attributes:
        configuration: The configuration in force, None before the first.
    """

    def __init__(self) -> None:
        self.configuration: data.Configuration | None = None

    def configure(self, configuration: data.Configuration) -> bool:
        """Applies a configuration if it is newer than the one in force.

        Args:
            configuration: The configuration to apply.

        Returns:
            Whether it is now in force.
        """
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return False
        self.configuration = configuration
        return True

    def route_for(self, packet: data.Packet) -> data.Route | None:
        """Returns the route of a new flow, None if there is none."""
        if self.configuration is None:
            return None
        return self.configuration.routes_by_endpoint.get(
            packet.flow_id.endpoint
        )

    def service_for(
        self, packet: data.Packet, route: data.Route | None
    ) -> data.Service | None:
        """Returns the service for a new flow, None without a route.

        The flow's hash selects among the weighted services, so all
        retransmissions of an opening packet get the same service. The hash
        covers the names of the fields of `FlowId`: a rename changes it.

        Args:
            packet: The opening packet.
            route: The route of the flow.
        """
        if route is None:
            return None
        if len(route.shares) == 1:
            return self.find_service(route.shares[0].service)
        total = sum(share.weight for share in route.shares)
        point = xxhash.xxh32_intdigest(repr(packet.flow_id).encode()) % total
        for share in route.shares:
            point -= share.weight
            if point < 0:
                return self.find_service(share.service)
        return None

    def find_service(self, name: str) -> data.Service | None:
        """Returns a service by its name, None if it is not configured."""
        if self.configuration is None:
            return None
        return self.configuration.services_by_name.get(name)
