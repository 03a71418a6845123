"""Stand-in for the API of a host, as far as the command line uses it."""

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
    """A host that has in force what a stand-in store holds.

    Attributes:
        host_id: Its identity.
        max_active_revision: The newest revision that it puts in force; None for
            any.
        upstreams: The upstreams that it reports.
        members: The members that it reports.
        slo: What it answers on service-level counts.
        invalid_response: Bytes that it answers instead; None for proper ones.
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
        """Returns the status as it is now."""
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
        """Returns a head that the stand-in store holds."""
        item = self._fake_store.state.items_by_key.get(key)
        if item is None:
            return None
        return packing.unpack_head(item.value).ok

    def application(self) -> applications.Starlette:
        """Returns the ASGI application."""
        return applications.Starlette(
            routes=[
                routing.Route(api.STATUS_PATH, self._answer_status),
                routing.Route(api.SLO_PATH, self._answer_slo),
            ]
        )

    async def _answer_status(
        self, request: requests.Request
    ) -> responses.Response:
        """Answers `GET /v1/status`."""
        status = self.status()
        if request.query_params.get(api.DETAIL_PARAMETER) == api.DETAIL_BRIEF:
            service = request.query_params.get(api.SERVICE_PARAMETER)
            status = api.brief_status(status, service)
        return self._answer(status)

    async def _answer_slo(
        self, request: requests.Request
    ) -> responses.Response:
        """Answers `GET /v1/slo`."""
        if self.slo is None:
            return responses.Response(status_code=503)
        return self._answer(self.slo)

    def _answer(
        self, model: api.HostStatus | api.SloReport
    ) -> responses.Response:
        """Answers with a model, or with broken bytes."""
        content = self.invalid_response
        if content is None:
            content = model.model_dump_json().encode()
        return responses.Response(content, media_type="application/json")


@contextlib.asynccontextmanager
async def run_server(
    host: FakeHost, tls_context: ssl.SSLContext | None = None
) -> AsyncIterator[str]:
    """Serves a host's API on loopback.

    Args:
        host: The host.
        tls_context: How to authenticate; None for plain HTTP.

    Yields:
        Its IP number and port.
    """
    listener = socket.create_server(("127.0.0.1", 0))
    host.port = listener.getsockname()[1]
    async with serving.run_server(host.application(), listener, tls_context):
        yield f"127.0.0.1:{host.port}"
