"""Serves an ASGI application on one address, with graceful shutdown."""

from collections.abc import Awaitable
from collections.abc import Callable
import ssl
from typing import Any

import anyio
import hypercorn.asyncio
import hypercorn.config

MS_PER_SECOND = 1_000
DEFAULT_KEEP_ALIVE_MS = 60_000
DEFAULT_GRACE_MS = 30_000
CANCELLED_GRACE_MS = 200
BACKLOG_CONNECTIONS = 1_024

AsgiApp = Callable[[Any, Any, Any], Awaitable[None]]


class ServerConfig(hypercorn.config.Config):
    """A configuration of hypercorn with a given TLS context.

    The library itself reads the certificate files once, at its start. A
    context that its owner keeps up to date allows certificates to change
    without a restart.

    Attributes:
        tls_context: The TLS context; None serves without encryption.
    """

    tls_context: ssl.SSLContext | None = None

    def create_ssl_context(self) -> ssl.SSLContext | None:
        """Returns the given TLS context."""
        return self.tls_context

    @property
    def ssl_enabled(self) -> bool:
        """Whether connections are encrypted."""
        return self.tls_context is not None


async def serve(
    app: AsgiApp,
    address: str,
    port: int,
    wait_for_stop: Callable[[], Awaitable[None]],
    *,
    tls_context: ssl.SSLContext | None = None,
    grace_ms: int = DEFAULT_GRACE_MS,
) -> None:
    """Serves HTTP/1.1 until stopped, then finishes in-flight requests.

    Args:
        app: The application.
        address: The IP address to listen on.
        port: The TCP port to listen on.
        wait_for_stop: Returns when the server is to stop accepting requests.
        tls_context: The TLS context; None serves without encryption.
        grace_ms: The grace period in which in-flight requests may finish.

    Raises:
        OSError: When the port cannot be bound.
    """
    config = ServerConfig()
    config.tls_context = tls_context
    host = f"[{address}]" if ":" in address else address
    config.bind = [f"{host}:{port}"]
    config.backlog = BACKLOG_CONNECTIONS
    config.alpn_protocols = ["http/1.1"]
    config.include_server_header = False
    config.keep_alive_timeout = DEFAULT_KEEP_ALIVE_MS / MS_PER_SECOND
    config.graceful_timeout = grace_ms / MS_PER_SECOND
    config.accesslog = None
    config.errorlog = None
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_run, app, config, stop)
        try:
            await wait_for_stop()
        except BaseException:
            # The tasks that handle in-flight requests are cancelled as well,
            # so that a longer grace period would serve nothing.
            config.graceful_timeout = CANCELLED_GRACE_MS / MS_PER_SECOND
            raise
        finally:
            stop.set()


async def _run(
    app: AsgiApp, config: hypercorn.config.Config, stop: anyio.Event
) -> None:
    """Runs the server until its event is set.

    Hypercorn raises an error of its own when it is cancelled, so it is
    shielded from cancellation and ends only by the event.
    """
    with anyio.CancelScope(shield=True):
        await hypercorn.asyncio.serve(
            app, config, shutdown_trigger=stop.wait, mode="asgi"
        )
