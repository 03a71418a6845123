"""The HTTP API of a host: health, metrics, status, configuration for peers."""

from collections.abc import Callable
import dataclasses

import pydantic
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from sapphire_net.trust import roles
from sapphire_node import lifecycle as lifecycle_lib
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
        lifecycle: The phase and the readiness of the process.
        metrics: Returns all metrics in the Prometheus text format.
        status: Returns the status, limited to a service if one is given.
        slo: Returns the service-level counts, limited to a service if one is
            given.
        configuration: Takes the revision that a peer has, and returns the parts
            of the newest configuration that the peer lacks as one encoded
            record; None before the first configuration.
    """

    lifecycle: lifecycle_lib.Lifecycle
    metrics: Callable[[], bytes]
    status: Callable[[str | None], api.HostStatus]
    slo: Callable[[str | None], api.SloReport]
    configuration: Callable[[int], bytes | None]


def create_app(
    readers: Readers, *, requires_role: bool = False
) -> applications.Starlette:
    """Creates the ASGI application of the API.

    Args:
        readers: Read what the API answers.
        requires_role: Whether only peers with the certificate of a host may
            fetch the configuration; requires that each connection uses TLS.

    Returns:
        The application.
    """

    async def health(_request: requests.Request) -> responses.Response:
        return responses.JSONResponse({"state": readers.lifecycle.phase.value})

    async def ready(_request: requests.Request) -> responses.Response:
        reason = readers.lifecycle.not_ready_reason()
        if reason is None:
            return responses.JSONResponse({"ready": True})
        return responses.JSONResponse(
            {"ready": False, "reason": reason.value},
            status_code=HTTP_UNAVAILABLE,
        )

    async def metrics(_request: requests.Request) -> responses.Response:
        return responses.Response(readers.metrics(), media_type=_METRICS_TYPE)

    async def status(request: requests.Request) -> responses.Response:
        service = _service_parameter(request)
        host_status = readers.status(service)
        detail = request.query_params.get(api.DETAIL_PARAMETER)
        if detail == api.DETAIL_BRIEF:
            host_status = api.brief_status(host_status, service)
        return _json_response(host_status)

    async def slo(request: requests.Request) -> responses.Response:
        return _json_response(readers.slo(_service_parameter(request)))

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


def _service_parameter(request: requests.Request) -> str | None:
    """Returns the service that a request names, or None."""
    return request.query_params.get(api.SERVICE_PARAMETER)


def _known_revision(request: requests.Request) -> int:
    """Returns the revision that a peer has; 0 if the request names none."""
    text = request.query_params.get(KNOWN_REVISION_PARAMETER, "")
    return int(text) if text.isascii() and text.isdecimal() else 0


def _json_response(model: pydantic.BaseModel) -> responses.Response:
    """Returns a response with a model as JSON."""
    return responses.Response(
        model.model_dump_json(), media_type="application/json"
    )
