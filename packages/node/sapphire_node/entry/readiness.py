"""The task that serves the readiness check of the fabric."""

from sapphire_net import http1
from sapphire_node.entry import host_state


class ReadinessServer:
    """Answers whether this host is in rotation, that is, gets new flows.

    Args:
        state: The state of the process.
    """

    def __init__(self, state: host_state.HostState) -> None:
        self._state = state

    async def run(self) -> None:
        """Serves readiness checks until cancelled."""
        address = self._state.settings.readiness_address
        await http1.listen_and_serve(address, self._answer)

    async def _answer(self, method: str, path: str) -> http1.Response:
        """Returns the response to one request."""
        if method != "GET" or path != self._state.settings.readiness_path:
            return http1.Response(http1.NOT_FOUND, b"")
        state = self._state
        if state.is_ready and not state.is_leaving and not state.is_cut_off:
            return http1.Response(http1.OK, b"")
        return http1.Response(http1.UNAVAILABLE, b"")
