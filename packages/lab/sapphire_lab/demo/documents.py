"""The operators' document, bindings and daemon settings of a deployment."""

import json
from typing import Any

from sapphire_lab.demo import deployments

COLD_FLOWS_PER_SECOND = 20.0
WARM_UP_MS = 6_000
KEY_SECRET_HEX = "5a" * 32


def encode_document(
    deployment: deployments.Deployment,
    upstreams: tuple[deployments.UpstreamSpec, ...],
    out: frozenset[str] = frozenset(),
    draining: frozenset[str] = frozenset(),
) -> bytes:
    """Writes the operators' document.

    Args:
        deployment: The deployment to run.
        upstreams: The upstreams of the pools.
        out: The data centres that are out.
        draining: The names of the upstreams that drain.

    Returns:
        The document.
    """
    services: dict[str, Any] = {}
    for service in deployment.services:
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
            "buckets": deployments.BUCKET_COUNT,
            "pool": pool,
        }
    data_centres = {
        name: {"state": "out" if name in out else "in"}
        for name in deployment.data_centres
    }
    return json.dumps(
        {"data_centres": data_centres, "services": services}, indent=2
    ).encode()


def encode_bindings(
    deployment: deployments.Deployment,
    upstreams: tuple[deployments.UpstreamSpec, ...],
) -> bytes:
    """Writes the address bindings of the environment.

    Args:
        deployment: The deployment to run.
        upstreams: All upstreams that may ever be named.

    Returns:
        The bindings.
    """
    services = {
        service.name: {
            "address": service.address,
            "port": deployments.SERVICE_PORT,
        }
        for service in deployment.services
    }
    addresses = {
        upstream.name: {
            "address": upstream.address,
            "packet_port": deployments.PACKET_PORT,
            "request_port": deployments.UPSTREAM_REQUEST_PORT,
        }
        for upstream in upstreams
    }
    return json.dumps({"services": services, "upstreams": addresses}).encode()


def encode_key_ring() -> bytes:
    """Writes the key file that seals control messages."""
    keys = [{"id": 1, "secret_hex": KEY_SECRET_HEX}]
    return json.dumps({"signing_key": 1, "keys": keys}).encode()


def encode_settings(
    deployment: deployments.Deployment,
    host: deployments.HostSpec,
    key_file: str,
) -> bytes:
    """Writes the settings of a daemon.

    Args:
        deployment: The deployment to run.
        host: The entry host.
        key_file: The path of the key file.

    Returns:
        The settings.
    """
    seeds = [
        {"address": peer.address, "control_port": deployments.CONTROL_PORT}
        for peer in deployment.hosts()
        if peer.address != host.address
    ]
    store = f"http://{deployment.store_address}:{deployments.STORE_PORT}"
    return json.dumps(
        {
            "data_centre": host.data_centre,
            "address": host.address,
            "ports": {
                "fabric": deployments.FABRIC_PORT,
                "control": deployments.CONTROL_PORT,
                "api": deployments.API_PORT,
                "requests": deployments.REQUEST_PORT,
            },
            "seeds": seeds,
            "store": {"endpoints": [store], "prefix": key_prefix(deployment)},
            "trust": {"key_ring_file": key_file},
        },
        indent=2,
    ).encode()


def key_prefix(deployment: deployments.Deployment) -> str:
    """Returns the prefix of the deployment's keys in the store."""
    return f"/sapphirearch/{deployment.name}/"
