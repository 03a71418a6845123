"""Builders of documents and bindings for tests and measurements."""

from collections.abc import Mapping
import json
from typing import Any

from sapphire_core.configuration import data
from sapphire_core.configuration import merge
from sapphire_data import records
from sapphire_wire.documents import decode
from sapphire_wire.documents import packing

DEFAULT_POOLS: Mapping[str, Mapping[str, str]] = {
    "rota": {"rota-1": "tacoma", "rota-2": "salem", "rota-3": "spokane"},
    "plans": {"plans-1": "tacoma", "plans-2": "salem"},
}


def document_bytes(
    pools: Mapping[str, Mapping[str, str]] = DEFAULT_POOLS,
    out: tuple[str, ...] = (),
    drained: tuple[str, ...] = (),
) -> bytes:
    """Builds the bytes of a document.

    Args:
        pools: The data centre of each upstream, by service.
        out: The data centres that are out of service.
        drained: The upstreams whose intent is to drain.

    Returns:
        The document, encoded as JSON.
    """
    data_centres = {name for pool in pools.values() for name in pool.values()}
    document: dict[str, Any] = {
        "data_centres": {
            name: {"state": "out" if name in out else "in"}
            for name in sorted(data_centres | set(out))
        },
        "services": {},
    }
    for service, pool in pools.items():
        document["services"][service] = {
            "pool": {
                name: {
                    "data_centre": data_centre,
                    "intent": "drain" if name in drained else "serve",
                }
                for name, data_centre in pool.items()
            }
        }
    return json.dumps(document, indent=1).encode()


def bindings_bytes(
    pools: Mapping[str, Mapping[str, str]] = DEFAULT_POOLS,
    network: int = 10,
) -> bytes:
    """Builds the bytes of bindings.

    The address of a service or an upstream follows from its position in the
    pools.

    Args:
        pools: The data centre of each upstream, by service.
        network: The first number of the IP addresses.

    Returns:
        The bindings, encoded as JSON.
    """
    services: dict[str, Any] = {}
    upstreams: dict[str, Any] = {}
    for index, (service, pool) in enumerate(pools.items()):
        high, low = divmod(index, 250)
        services[service] = {
            "address": f"{network}.200.{high}.{low + 1}",
            "port": 443,
        }
        for name in pool:
            high, low = divmod(len(upstreams), 250)
            upstreams[name] = {
                "address": f"{network}.{high // 200}.{high % 200}.{low + 1}",
                "packet_port": 6_080,
                "request_port": 8_080,
            }
    return json.dumps({"services": services, "upstreams": upstreams}).encode()


def document(
    pools: Mapping[str, Mapping[str, str]] = DEFAULT_POOLS,
    out: tuple[str, ...] = (),
    drained: tuple[str, ...] = (),
) -> data.Document:
    """Builds a decoded document; see `document_bytes`."""
    decoded, errors = decode.decode_document(
        document_bytes(pools, out, drained)
    )
    if decoded is None:
        raise ValueError(errors)
    return decoded


def bindings(
    pools: Mapping[str, Mapping[str, str]] = DEFAULT_POOLS,
    network: int = 10,
) -> data.Bindings:
    """Builds decoded bindings; see `bindings_bytes`."""
    decoded, errors = decode.decode_bindings(bindings_bytes(pools, network))
    if decoded is None:
        raise ValueError(errors)
    return decoded


def configuration(
    pools: Mapping[str, Mapping[str, str]] = DEFAULT_POOLS,
    previous: records.Configuration = merge.EMPTY,
    out: tuple[str, ...] = (),
    drained: tuple[str, ...] = (),
) -> records.Configuration:
    """Builds the configuration that follows another; see `document_bytes`."""
    built, errors = merge.next_configuration(
        previous, document(pools, out, drained), bindings(pools)
    )
    if errors:
        raise ValueError(errors)
    return built


def change(writer_id: str = "w1", author: str = "ann") -> packing.Change:
    """Builds the record of who made a change."""
    return packing.Change(
        writer_id=writer_id,
        author=author,
        action="apply",
        written_ms=1_700_000_000_000,
        document_digest="d",
        bindings_digest="b",
    )
