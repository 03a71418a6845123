"""Builders of the settings and the state of an entry host."""

from sapphire_lab.tagged_flows import builders
from sapphire_node.entry import host_state
from sapphire_node.entry import platform_interface

ANY_PORT = ("127.0.0.1", 0)


def settings() -> platform_interface.HostSettings:
    """Returns settings with the loopback address and free ports."""
    return platform_interface.HostSettings(
        host_name="edge-1",
        data_centre=builders.DATA_CENTRE,
        packet_address=ANY_PORT,
        readiness_address=ANY_PORT,
        readiness_path="/ready",
        peer_address=ANY_PORT,
        metrics_address=ANY_PORT,
        store_address=ANY_PORT,
        seed_addresses=(),
        limits=platform_interface.Limits(
            shutdown_ms=6_000, flow_life_ms=60_000, contact_ms=4_000
        ),
    )


def state() -> host_state.HostState:
    """Returns the state of a process that has just started."""
    return host_state.HostState(settings())
