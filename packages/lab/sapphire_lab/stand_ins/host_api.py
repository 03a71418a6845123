"""A fake host with the part of the HTTP API that the command line uses."""

from collections.abc import AsyncIterator
import contextlib
import socket
import ssl

from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from sapphire_lab.stand_ins import serving
from sapphire_lab.stand_ins import store
from sapphire_net.store import environment as environments
from sapphire_wire import api
from sapphire_wire.documents import packing


class FakeHost:
    """A host whose configuration in force is the one in a fake store.

    Attributes:
        host_id: Its identity.
        max_active_revision: The newest revision that it puts in force; None for
            any.
        upstreams: The upstreams in its status.
        members: The members in its status.
        slo: Its service-level counts; None if it answers with status 503.
        invalid_response: The body that it sends instead of valid JSON; None
            for valid responses.
        port: The TCP port, set by `run_server`.
    """

    def __init__(
        self, host_id: str, fake_store: store.FakeStoreServer, prefix: str
    ) -> None:
        self.host_id = host_id
        self.max_active_revision: int | None = None
        self.upstreams: tuple[api.UpstreamStatus, ...] = ()
        self.members: tuple[api.MemberStatus, ...] = ()
        self.slo: api.SloReport | None = None
        self.invalid_response: bytes | None = None
        self.port = 0
        self._fake_store = fake_store
        self._environment = environments.Environment(
            None,  # type: ignore[arg-type]
            prefix,
        )

    def status(self) -> api.HostStatus:
        """Returns the current status."""
        newest = self._head(self._environment.head_key)
        known = 0 if newest is None else newest.version.revision
        active = newest
        if (
            self.max_active_revision is not None
            and self.max_active_revision < known
        ):
            key = self._environment.history_key(self.max_active_revision)
            active = self._head(key)
        revision = 0 if active is None else active.version.revision
        return api.HostStatus(
            host_id=self.host_id,
            data_centre="tacoma",
            address="127.0.0.1",
            api_port=self.port,
            state=api.HostState.SERVING,
            active_revision=revision,
            prepared_revision=revision,
            known_revision=known,
            active_digest=""
            if active is None
            else active.change.document_digest,
            lag_ms=0 if revision == known else 5_000,
            members=self.members,
            upstreams=self.upstreams,
        )

    def _head(self, key: str) -> packing.Head | None:
        """Returns the head that the fake store holds under a key."""
        item = self._fake_store.state.items_by_key.get(key)
        if item is None:
            return None
        return packing.unpack_head(item.value).ok

    def application(self) -> applications.Starlette:
        """Returns the ASGI application."""
        return applications.Starlette(
            routes=[
                routing.Route(api.STATUS_PATH, self._serve_status),
                routing.Route(api.SLO_PATH, self._serve_slo),
            ]
        )

    async def _serve_status(
        self, request: requests.Request
    ) -> responses.Response:
        """Responds to `GET /v1/status`."""
        status = self.status()
        if request.query_params.get(api.DETAIL_PARAMETER) == api.DETAIL_BRIEF:
            service = request.query_params.get(api.SERVICE_PARAMETER)
            status = api.brief_status(status, service)
        return self._respond(status)

    async def _serve_slo(self, request: requests.Request) -> responses.Response:
        """Responds to `GET /v1/slo`."""
        if self.slo is None:
            return responses.Response(status_code=503)
        return self._respond(self.slo)

    def _respond(
        self, model: api.HostStatus | api.SloReport
    ) -> responses.Response:
        """Returns a response with a model, or with the invalid body."""
        content = self.invalid_response
        if content is None:
            content = model.model_dump_json().encode()
        return responses.Response(content, media_type="application/json")


@contextlib.asynccontextmanager
async def run_server(
    host: FakeHost, tls_context: ssl.SSLContext | None = None
) -> AsyncIterator[str]:
    """Serves the API of a host on loopback until the block is left.

    Args:
        host: The host.
        tls_context: The TLS settings; None for plain HTTP.

    Yields:
        The IP address and port of the server, joined by a colon.
    """
    listener = socket.create_server(("127.0.0.1", 0))
    host.port = listener.getsockname()[1]
    async with serving.run_server(host.application(), listener, tls_context):
        yield f"127.0.0.1:{host.port}"
