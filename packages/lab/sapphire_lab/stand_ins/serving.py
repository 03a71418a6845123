"""Serving of a stand-in's application over a socket, for as long as a block."""

from collections.abc import AsyncIterator
import contextlib
import socket
import ssl
import warnings

import anyio
import hypercorn.asyncio
from starlette import applications

from sapphire_net import http_server

SHUTDOWN_S = 0.2


@contextlib.asynccontextmanager
async def run_server(
    application: applications.Starlette,
    listener: socket.socket,
    tls_context: ssl.SSLContext | None = None,
) -> AsyncIterator[None]:
    """Serves an application until the block is left.

    Args:
        application: The application.
        listener: The listening socket; it is taken over.
        tls_context: How to authenticate; None for plain HTTP.

    Yields:
        Nothing; the socket listens from the start.
    """
    config = http_server.ServerConfig()
    config.tls_context = tls_context
    config.bind = [f"fd://{listener.detach()}"]
    config.graceful_timeout = SHUTDOWN_S
    config.shutdown_timeout = SHUTDOWN_S
    config.errorlog = None
    stop = anyio.Event()

    async def serve() -> None:
        # The server ends by its trigger; cancelled, it would raise an error.
        with anyio.CancelScope(shield=True), warnings.catch_warnings():
            warnings.simplefilter("ignore")
            await hypercorn.asyncio.serve(
                application,  # type: ignore[arg-type]
                config,
                shutdown_trigger=stop.wait,
            )

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(serve)
        try:
            yield
        finally:
            stop.set()
            tasks.cancel_scope.cancel()
