"""Fetches the configuration from a peer or from the store."""

from collections.abc import Mapping
import ssl

import anyio.to_thread
import expression
import httpx

from sapphire_data import clock
from sapphire_data import failures
from sapphire_data import records
from sapphire_net.store import change_failures
from sapphire_net.store import environment as environments
from sapphire_net.store import stored_configuration
from sapphire_node import api
from sapphire_wire.documents import bundle

PEER_TIMEOUT_MS = 10_000
MAX_BUNDLE_BYTES = 4_194_304
_HTTP_OK = 200

_FetchResult = expression.Result[bundle.DecodedConfiguration, failures.Failure]


def open_peer_client(ssl_context: ssl.SSLContext | None) -> httpx.AsyncClient:
    """Creates the HTTP client for peers.

    Args:
        ssl_context: The TLS context for the client; none for clear text.

    Returns:
        The client, to be used as a context manager.
    """
    return httpx.AsyncClient(
        timeout=PEER_TIMEOUT_MS / clock.MS_PER_SECOND,
        verify=ssl_context if ssl_context is not None else False,
        trust_env=False,
    )


async def fetch_from_peer(
    http: httpx.AsyncClient,
    host: records.HostAddress,
    known: bundle.DecodedConfiguration | None,
    *,
    is_encrypted: bool,
) -> _FetchResult:
    """Fetches the parts of a peer's configuration that this host lacks.

    Args:
        http: The client for peers.
        host: The peer.
        known: The configuration that this host has, if any.
        is_encrypted: Whether the peer serves its API over TLS.

    Returns:
        The configuration, with all its digests checked, or why it could not be
        fetched.
    """
    address = f"[{host.address}]" if ":" in host.address else host.address
    scheme = "https" if is_encrypted else "http"
    revision = known.version.revision if known is not None else 0
    url = f"{scheme}://{address}:{host.api_port}{api.CONFIGURATION_PATH}"
    body = bytearray()
    try:
        async with http.stream(
            "GET", url, params={api.KNOWN_REVISION_PARAMETER: str(revision)}
        ) as response:
            if response.status_code != _HTTP_OK:
                problem = f"status {response.status_code}"
                return _unreadable_input(host.host_id, problem)
            async for chunk in response.aiter_bytes():
                body += chunk
                if len(body) > MAX_BUNDLE_BYTES:
                    return _unreadable_input(host.host_id, "too long")
    except httpx.HTTPError as error:
        return _unreadable_input(host.host_id, repr(error))
    return await anyio.to_thread.run_sync(_decode_bundle, bytes(body), known)


async def fetch_from_store(
    environment: environments.Environment,
    known: bundle.DecodedConfiguration | None,
) -> _FetchResult:
    """Reads the configuration in force from the store.

    Args:
        environment: The store of the environment and the names of its keys.
        known: The configuration that this host has, if any; its parts are not
            read again.

    Returns:
        The configuration, with all its digests checked, or why it could not be
        fetched.
    """
    stored = await stored_configuration.read_head(environment)
    if stored.is_error():
        return expression.Error(stored.error)
    if stored.ok.head is None:
        return expression.Error(change_failures.RevisionNotFound(0))
    parts = await stored_configuration.read_parts(
        environment,
        stored.ok.head,
        dict(known.parts_by_digest) if known is not None else None,
    )
    if parts.is_error():
        return expression.Error(parts.error)
    return await anyio.to_thread.run_sync(
        _assemble, stored.ok.content, parts.ok, known
    )


def _decode_bundle(
    encoded: bytes, known: bundle.DecodedConfiguration | None
) -> _FetchResult:
    """Decodes the bundle of a peer."""
    decoded = bundle.decode_bundle(encoded, known)
    return (
        expression.Error(decoded.error)
        if decoded.is_error()
        else expression.Ok(decoded.ok)
    )


def _assemble(
    head_bytes: bytes,
    parts: Mapping[bytes, bytes],
    known: bundle.DecodedConfiguration | None,
) -> _FetchResult:
    """Decodes a configuration from its head and parts in the store."""
    assembled = bundle.assemble(head_bytes, parts, known)
    return (
        expression.Error(assembled.error)
        if assembled.is_error()
        else expression.Ok(assembled.ok)
    )


def _unreadable_input(source: str, problem: str) -> _FetchResult:
    """Returns the failure of a fetch whose answer cannot be used."""
    return expression.Error(
        failures.UnreadableInput(source=source, problem=problem)
    )
