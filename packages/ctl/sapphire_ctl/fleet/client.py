"""Queries the HTTP APIs of the hosts of an environment.

Each host lists the other hosts, so that a few known ones suffice.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import ssl
from typing import TypeVar

import anyio
import expression
import httpx
import pydantic

from sapphire_ctl import failures
from sapphire_ctl.fleet import data
from sapphire_ctl.fleet import discovery
from sapphire_data import clock
from sapphire_wire import api

MAX_CONCURRENT_HOSTS = 64
MAX_RESPONSE_BYTES = 67_108_864
_HTTP_OK = 200

ResponseT = TypeVar("ResponseT", bound=pydantic.BaseModel)


class FleetClient:
    """A client of the HTTP APIs of all hosts."""

    def __init__(
        self,
        seeds: Iterable[str],
        timeout_ms: int,
        ssl_context: ssl.SSLContext | None,
    ) -> None:
        """Creates a client.

        Args:
            seeds: The API addresses of some hosts.
            timeout_ms: The timeout of the query of one host.
            ssl_context: The operator's TLS context; None for plain HTTP.
        """
        self._seeds = tuple(dict.fromkeys(seeds))
        self._timeout_s = timeout_ms / clock.MS_PER_SECOND
        self._scheme = "http" if ssl_context is None else "https"
        # Plain HTTP needs no context, but without one the HTTP library would
        # read its default certificates.
        self._ssl_context = ssl_context or ssl.SSLContext(
            ssl.PROTOCOL_TLS_CLIENT
        )

    @property
    def has_seeds(self) -> bool:
        """Whether the settings name any host."""
        return bool(self._seeds)

    async def fetch_statuses(
        self, service: str | None = None, *, queries_all: bool = False
    ) -> data.FleetStatus:
        """Fetches the status of hosts, and discovers hosts from the responses.

        Args:
            service: The only service whose upstreams are listed; None for all.
            queries_all: Whether to query all hosts of a large fleet, not a
                sample.

        Returns:
            The status of all hosts, and the hosts that did not answer.
        """
        host_discovery = discovery.Discovery(
            self._seeds, queries_all=queries_all
        )
        is_brief = False
        while targets := host_discovery.next_targets():
            is_brief = is_brief or host_discovery.is_large
            responses, unanswered_hosts = await self._fetch_all(
                targets,
                api.STATUS_PATH,
                api.HostStatus,
                _query_parameters(service, is_brief),
            )
            host_discovery.record_responses(responses, unanswered_hosts)
        return host_discovery.build_fleet_status(
            lists_upstreams=service is not None or not is_brief
        )

    async def fetch_slo_reports(
        self, statuses: Iterable[api.HostStatus], service: str | None = None
    ) -> tuple[list[api.SloReport], list[data.UnansweredHost]]:
        """Fetches the service-level counts of hosts.

        Args:
            statuses: The status of each host, from `fetch_statuses`.
            service: The only service whose counts are listed; None for all.

        Returns:
            The reports, and the hosts that did not answer.
        """
        targets = [
            data.Target(
                data.url_address(status.address, status.api_port),
                status.host_id,
                status.data_centre,
            )
            for status in statuses
        ]
        return await self._fetch_all(
            targets,
            api.SLO_PATH,
            api.SloReport,
            _query_parameters(service, is_brief=False),
        )

    async def _fetch_all(
        self,
        targets: Iterable[data.Target],
        path: str,
        response_type: type[ResponseT],
        parameters: Mapping[str, str],
    ) -> tuple[list[ResponseT], list[data.UnansweredHost]]:
        """Queries hosts, at most `MAX_CONCURRENT_HOSTS` at a time."""
        responses: list[ResponseT] = []
        unanswered_hosts: list[data.UnansweredHost] = []
        limiter = anyio.CapacityLimiter(MAX_CONCURRENT_HOSTS)

        async def fetch(http: httpx.AsyncClient, target: data.Target) -> None:
            async with limiter:
                result = await self._fetch(
                    http, target, path, response_type, parameters
                )
            if result.is_ok():
                responses.append(result.ok)
            else:
                unanswered_hosts.append(
                    data.UnansweredHost(target, result.error)
                )

        async with (
            httpx.AsyncClient(
                timeout=self._timeout_s,
                verify=self._ssl_context,
                trust_env=False,
            ) as http,
            anyio.create_task_group() as tasks,
        ):
            for target in targets:
                tasks.start_soon(fetch, http, target)
        return responses, unanswered_hosts

    async def _fetch(
        self,
        http: httpx.AsyncClient,
        target: data.Target,
        path: str,
        response_type: type[ResponseT],
        parameters: Mapping[str, str],
    ) -> expression.Result[ResponseT, failures.HostFailure]:
        """Queries one host."""
        try:
            # The timeout of the HTTP library restarts with each chunk.
            with anyio.fail_after(self._timeout_s):
                response = await http.get(
                    f"{self._scheme}://{target.address}{path}",
                    params=parameters,
                )
        except (httpx.HTTPError, httpx.InvalidURL, TimeoutError) as error:
            problem = str(error) or type(error).__name__
            return expression.Error(
                failures.HostUnreachable(target.address, problem)
            )
        if response.status_code != _HTTP_OK:
            problem = f"status {response.status_code}"
            return expression.Error(
                failures.HostAnswerInvalid(target.address, problem)
            )
        if len(response.content) > MAX_RESPONSE_BYTES:
            problem = f"more than {MAX_RESPONSE_BYTES} bytes"
            return expression.Error(
                failures.HostAnswerInvalid(target.address, problem)
            )
        try:
            return expression.Ok(
                response_type.model_validate_json(response.content)
            )
        except pydantic.ValidationError as error:
            problem = f"{error.error_count()} invalid fields"
            return expression.Error(
                failures.HostAnswerInvalid(target.address, problem)
            )


def _query_parameters(service: str | None, is_brief: bool) -> dict[str, str]:
    """Returns the query parameters of a request."""
    parameters = {}
    if service is not None:
        parameters[api.SERVICE_PARAMETER] = service
    if is_brief:
        parameters[api.DETAIL_PARAMETER] = api.DETAIL_BRIEF
    return parameters
