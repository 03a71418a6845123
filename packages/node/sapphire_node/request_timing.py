"""ASGI middleware that measures how long requests of callers take."""

import time
from typing import Any

from opentelemetry import metrics as otel_metrics

from sapphire_net import http_server

DURATION = "http.server.request.duration"
# In seconds, as the semantic conventions of OpenTelemetry advise.
DURATION_BOUNDARIES_S = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.075,
    0.1,
    0.25,
    0.5,
    0.75,
    1.0,
    2.5,
    5.0,
    7.5,
    10.0,
)
# Callers may send any method name; the conventions count all unknown ones under
# this name.
OTHER_METHOD = "_OTHER"
KNOWN_METHODS = frozenset(
    (
        "CONNECT",
        "DELETE",
        "GET",
        "HEAD",
        "OPTIONS",
        "PATCH",
        "POST",
        "PUT",
        "TRACE",
    )
)
_FIRST_SERVER_ERROR = 500


class RequestTimingMiddleware:
    """Passes requests on to an application and records their duration."""

    def __init__(
        self, app: http_server.AsgiApp, meter: otel_metrics.Meter
    ) -> None:
        """Wraps an application.

        Args:
            app: The application that answers the requests.
            meter: The meter of OpenTelemetry to create the histogram with.
        """
        self._app = app
        self._durations = meter.create_histogram(
            DURATION,
            unit="s",
            description="Duration of requests from head to end of answer.",
            explicit_bucket_boundaries_advisory=DURATION_BOUNDARIES_S,
        )

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serves one request; other ASGI scopes are passed on unmeasured."""
        if scope["type"] != "http":
            await self._app(scope, receive, send)
            return
        started_s = time.perf_counter()
        status: int | None = None

        async def send_and_record_status(message: Any) -> None:
            nonlocal status
            if message["type"] == "http.response.start":
                status = message["status"]
            await send(message)

        try:
            await self._app(scope, receive, send_and_record_status)
        finally:
            self._durations.record(
                time.perf_counter() - started_s, _attributes(scope, status)
            )


def _attributes(scope: Any, status: int | None) -> dict[str, str | int]:
    """Returns the attributes that the semantic conventions require.

    Args:
        scope: The ASGI scope of the request.
        status: The status of the response; None if there was none.
    """
    method = scope["method"]
    attributes: dict[str, str | int] = {
        "http.request.method": method
        if method in KNOWN_METHODS
        else OTHER_METHOD,
        "url.scheme": scope.get("scheme", "http"),
    }
    if status is None:
        attributes["error.type"] = "no_answer"
        return attributes
    attributes["http.response.status_code"] = status
    if status >= _FIRST_SERVER_ERROR:
        attributes["error.type"] = str(status)
    return attributes
