"""Serves the request application on a TCP port."""

import anyio
import hypercorn.asyncio
import hypercorn.config
from hypercorn.typing import ASGIFramework

GRACEFUL_TIMEOUT_S = 600.0
KEEP_ALIVE_TIMEOUT_S = 30.0


async def serve(
    app: ASGIFramework, address: str, port: int, stop: anyio.Event
) -> None:
    """Serves until it is stopped, then finishes the exchanges in flight.

    Args:
        app: The application.
        address: The IP number to listen on.
        port: The TCP port.
        stop: Set to close the listening socket.
    """
    config = hypercorn.config.Config()
    config.bind = [
        f"[{address}]:{port}" if ":" in address else f"{address}:{port}"
    ]
    config.graceful_timeout = GRACEFUL_TIMEOUT_S
    config.keep_alive_timeout = KEEP_ALIVE_TIMEOUT_S
    config.include_server_header = False
    config.accesslog = None
    config.alpn_protocols = ["http/1.1"]
    await hypercorn.asyncio.serve(app, config, shutdown_trigger=stop.wait)
