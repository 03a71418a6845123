"""The operators' document, bindings and daemon settings of a deployment."""

import json
from typing import Any

from sapphire_lab.demo import deployment

COLD_FLOWS_PER_SECOND = 20.0
WARM_UP_MS = 6_000
KEY_SECRET_HEX = "5a" * 32


def document(
    plan: deployment.Deployment,
    upstreams: tuple[deployment.UpstreamPlan, ...],
    out: frozenset[str] = frozenset(),
    draining: frozenset[str] = frozenset(),
) -> bytes:
    """Writes the operators' document.

    Args:
        plan: The deployment.
        upstreams: The upstreams of the pools.
        out: The data centres that are out.
        draining: The names of the upstreams that drain.

    Returns:
        The document.
    """
    services: dict[str, Any] = {}
    for service in plan.services:
        pool = {}
        for upstream in upstreams:
            if upstream.service != service.name:
                continue
            pool[upstream.name] = {
                "data_centre": upstream.data_centre,
                "slots": upstream.slots,
                "cold_flows_per_second": COLD_FLOWS_PER_SECOND,
                "warm_up_ms": WARM_UP_MS,
                "intent": "drain" if upstream.name in draining else "serve",
            }
        services[service.name] = {
            "buckets": deployment.BUCKET_COUNT,
            "pool": pool,
        }
    data_centres = {
        name: {"state": "out" if name in out else "in"}
        for name in plan.data_centres
    }
    return json.dumps(
        {"data_centres": data_centres, "services": services}, indent=2
    ).encode()


def bindings(
    plan: deployment.Deployment,
    upstreams: tuple[deployment.UpstreamPlan, ...],
) -> bytes:
    """Writes the address bindings of the environment.

    Args:
        plan: The deployment.
        upstreams: All upstreams that may ever be named.

    Returns:
        The bindings.
    """
    services = {
        service.name: {
            "address": service.address,
            "port": deployment.SERVICE_PORT,
        }
        for service in plan.services
    }
    addresses = {
        upstream.name: {
            "address": upstream.address,
            "packet_port": deployment.PACKET_PORT,
            "request_port": deployment.UPSTREAM_REQUEST_PORT,
        }
        for upstream in upstreams
    }
    return json.dumps({"services": services, "upstreams": addresses}).encode()


def key_ring() -> bytes:
    """Writes the key file that seals control messages."""
    keys = [{"id": 1, "secret_hex": KEY_SECRET_HEX}]
    return json.dumps({"signing_key": 1, "keys": keys}).encode()


def settings(
    plan: deployment.Deployment, host: deployment.HostPlan, key_file: str
) -> bytes:
    """Writes the settings of a daemon.

    Args:
        plan: The deployment.
        host: The entry host.
        key_file: The path of the key file.

    Returns:
        The settings.
    """
    seeds = [
        {"address": peer.address, "control_port": deployment.CONTROL_PORT}
        for peer in plan.hosts()
        if peer.address != host.address
    ]
    store = f"http://{plan.store_address}:{deployment.STORE_PORT}"
    return json.dumps(
        {
            "data_centre": host.data_centre,
            "address": host.address,
            "ports": {
                "fabric": deployment.FABRIC_PORT,
                "control": deployment.CONTROL_PORT,
                "api": deployment.API_PORT,
                "requests": deployment.REQUEST_PORT,
            },
            "seeds": seeds,
            "store": {"endpoints": [store], "prefix": prefix(plan)},
            "trust": {"key_ring_file": key_file},
        },
        indent=2,
    ).encode()


def prefix(plan: deployment.Deployment) -> str:
    """Returns the prefix of the deployment's keys in the store."""
    return f"/sapphirearch/{plan.name}/"
