"""Serving an ASGI application on one address until told to stop."""

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
    """A configuration that takes a live TLS context.

    The library builds its context from files once; a context that others
    keep up to date allows certificates to change without a restart.

    Attributes:
        tls_context: The context; None serves in the clear.
    """

    tls_context: ssl.SSLContext | None = None

    def create_ssl_context(self) -> ssl.SSLContext | None:
        """Returns the context that the caller keeps up to date."""
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
    """Serves HTTP/1.1 until told to stop, then finishes open requests.

    Args:
        app: The application.
        address: The IP number to listen on.
        port: The TCP port to listen on.
        wait_for_stop: Returns when no more requests are to be accepted.
        tls_context: The context for TLS; none serves in the clear.
        grace_ms: The longest time that open requests get to finish.

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
            # What answers the open requests is cancelled likewise, so that
            # there is nothing to wait for.
            config.graceful_timeout = CANCELLED_GRACE_MS / MS_PER_SECOND
            raise
        finally:
            stop.set()


async def _run(
    app: AsgiApp, config: hypercorn.config.Config, stop: anyio.Event
) -> None:
    """Runs the server until its event is set.

    The server raises an error of its own when it is cancelled, so it is only
    ever ended by the event.
    """
    with anyio.CancelScope(shield=True):
        await hypercorn.asyncio.serve(
            app, config, shutdown_trigger=stop.wait, mode="asgi"
        )
