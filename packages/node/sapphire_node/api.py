"""The API of a host: health, metrics, status and configurations for peers."""

from collections.abc import Callable
import dataclasses

import pydantic
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from sapphire_net.trust import roles
from sapphire_node import lifecycle
from sapphire_wire import api

HEALTH_PATH = "/healthz"
READY_PATH = "/readyz"
METRICS_PATH = "/metrics"
CONFIGURATION_PATH = "/v1/configuration"
KNOWN_REVISION_PARAMETER = "known"

HTTP_FORBIDDEN = 403
HTTP_NOT_FOUND = 404
HTTP_UNAVAILABLE = 503
_METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
_RECORD_TYPE = "application/vnd.apache.thrift.compact"


@dataclasses.dataclass(frozen=True, slots=True)
class Readers:
    """What the API reads from the tasks of the daemon.

    Attributes:
        state: The phase of the process.
        metrics: All metrics in the Prometheus text format.
        status: The status, limited to a service where one is named.
        slo: The counts of service levels, limited likewise.
        configuration: What a peer that knows a revision lacks of the newest
            configuration, as one encoded record, or None before the first.
    """

    state: lifecycle.Lifecycle
    metrics: Callable[[], bytes]
    status: Callable[[str | None], api.HostStatus]
    slo: Callable[[str | None], api.SloReport]
    configuration: Callable[[int], bytes | None]


def create_app(
    readers: Readers, *, requires_role: bool = False
) -> applications.Starlette:
    """Creates the application.

    Args:
        readers: What it reads.
        requires_role: Whether only peers with a host's certificate may fetch
            configurations; each connection is served over TLS then.

    Returns:
        The application.
    """

    async def health(_request: requests.Request) -> responses.Response:
        return responses.JSONResponse({"state": readers.state.phase.value})

    async def ready(_request: requests.Request) -> responses.Response:
        reason = readers.state.not_ready_reason()
        if reason is None:
            return responses.JSONResponse({"ready": True})
        return responses.JSONResponse(
            {"ready": False, "reason": reason.value},
            status_code=HTTP_UNAVAILABLE,
        )

    async def metrics(_request: requests.Request) -> responses.Response:
        return responses.Response(readers.metrics(), media_type=_METRICS_TYPE)

    async def status(request: requests.Request) -> responses.Response:
        service = _service(request)
        answer = readers.status(service)
        detail = request.query_params.get(api.DETAIL_PARAMETER)
        if detail == api.DETAIL_BRIEF:
            answer = api.brief_status(answer, service)
        return _model(answer)

    async def slo(request: requests.Request) -> responses.Response:
        return _model(readers.slo(_service(request)))

    async def configuration(request: requests.Request) -> responses.Response:
        if requires_role and not _is_host():
            return responses.Response(status_code=HTTP_FORBIDDEN)
        record = readers.configuration(_known_revision(request))
        if record is None:
            return responses.Response(status_code=HTTP_NOT_FOUND)
        return responses.Response(record, media_type=_RECORD_TYPE)

    return applications.Starlette(
        routes=[
            routing.Route(HEALTH_PATH, health),
            routing.Route(READY_PATH, ready),
            routing.Route(METRICS_PATH, metrics),
            routing.Route(api.STATUS_PATH, status),
            routing.Route(api.SLO_PATH, slo),
            routing.Route(CONFIGURATION_PATH, configuration),
        ]
    )


def _is_host() -> bool:
    """Returns whether the peer of the current connection is a host."""
    peer = roles.TLS_PEER.get()
    return peer is not None and peer.role is roles.Role.HOST


def _service(request: requests.Request) -> str | None:
    """Returns the service that a request is limited to, if any."""
    return request.query_params.get(api.SERVICE_PARAMETER)


def _known_revision(request: requests.Request) -> int:
    """Returns the revision that a peer has; 0 if it names none."""
    named = request.query_params.get(KNOWN_REVISION_PARAMETER, "")
    return int(named) if named.isascii() and named.isdecimal() else 0


def _model(model: pydantic.BaseModel) -> responses.Response:
    """Returns the answer that carries a model."""
    return responses.Response(
        model.model_dump_json(), media_type="application/json"
    )
