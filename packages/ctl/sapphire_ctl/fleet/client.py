"""Asks all hosts of an environment, which name each other."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import ssl
from typing import TypeVar

import anyio
import expression
import httpx
import pydantic

from sapphire_ctl import failures
from sapphire_data import clock
from sapphire_wire import api

MAX_CONCURRENT_HOSTS = 64
MAX_HOSTS = 20_000
MAX_ANSWER_BYTES = 67_108_864
# Beyond this many hosts, only the first that are asked list what they know of
# members and upstreams.
MAX_DETAILED_HOSTS = 200
_HTTP_OK = 200

AnswerT = TypeVar("AnswerT", bound=pydantic.BaseModel)


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A host to ask.

    Attributes:
        address: Its IP number and API port, as in a URL.
        host_id: Its identity where a peer has told it, else empty.
        data_centre: Its data centre where a peer has told it, else empty.
    """

    address: str
    host_id: str = ""
    data_centre: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Unanswered:
    """A host that has not answered.

    Attributes:
        target: The host.
        failure: Why there is no answer.
    """

    target: Target
    failure: failures.HostFailure


@dataclasses.dataclass(frozen=True, slots=True)
class FleetAnswer:
    """The status of all hosts.

    Attributes:
        statuses: The answers, one for each host.
        unanswered: The hosts without one.
        is_complete: Whether each answer lists its upstreams.
    """

    statuses: tuple[api.HostStatus, ...]
    unanswered: tuple[Unanswered, ...]
    is_complete: bool


def url_address(address: str, port: int) -> str:
    """Returns an IP number and port as a URL has them."""
    if ":" in address:
        return f"[{address}]:{port}"
    return f"{address}:{port}"


class FleetClient:
    """A client of the APIs of all hosts."""

    def __init__(
        self,
        seeds: Iterable[str],
        timeout_ms: int,
        ssl_context: ssl.SSLContext | None,
    ) -> None:
        """Creates a client.

        Args:
            seeds: The API addresses of some hosts.
            timeout_ms: The longest wait for one host.
            ssl_context: The operator's TLS context; None for plain HTTP.
        """
        self._seeds = tuple(dict.fromkeys(seeds))
        self._timeout_s = timeout_ms / clock.MS_PER_SECOND
        self._scheme = "http" if ssl_context is None else "https"
        # The default context would read the system's authorities for nothing.
        self._ssl_context = ssl_context or ssl.SSLContext(
            ssl.PROTOCOL_TLS_CLIENT
        )

    @property
    def has_seeds(self) -> bool:
        """Whether the settings name any host."""
        return bool(self._seeds)

    async def statuses(self, service: str | None = None) -> FleetAnswer:
        """Asks each host for its status, and finds hosts by those known.

        Args:
            service: The only service whose upstreams are asked for.

        Returns:
            The answers, and the hosts without one.
        """
        targets_by_address = {seed: Target(seed) for seed in self._seeds}
        pending = list(targets_by_address.values())
        answers_by_id: dict[str, api.HostStatus] = {}
        unanswered: list[Unanswered] = []
        is_brief = False
        while pending:
            is_brief = is_brief or len(targets_by_address) > MAX_DETAILED_HOSTS
            answers, missing = await self._ask_all(
                pending,
                api.STATUS_PATH,
                api.HostStatus,
                _parameters(service, is_brief),
            )
            unanswered += missing
            pending = []
            for answer in answers:
                answers_by_id[answer.host_id] = answer
                for target in _members(answer):
                    if target.address in targets_by_address:
                        continue
                    if len(targets_by_address) >= MAX_HOSTS:
                        continue
                    targets_by_address[target.address] = target
                    pending.append(target)
        # A host may be known by an address that it has left.
        missing_hosts = [
            item
            for item in unanswered
            if item.target.host_id not in answers_by_id
        ]
        statuses = sorted(
            answers_by_id.values(),
            key=lambda status: (status.data_centre, status.host_id),
        )
        return FleetAnswer(
            statuses=tuple(statuses),
            unanswered=tuple(missing_hosts),
            is_complete=service is not None or not is_brief,
        )

    async def slo_reports(
        self, statuses: Iterable[api.HostStatus], service: str | None = None
    ) -> tuple[list[api.SloReport], list[Unanswered]]:
        """Asks hosts for their service-level counts.

        Args:
            statuses: The hosts, as `statuses` found them.
            service: The only service that is asked for.

        Returns:
            The answers, and the hosts without one.
        """
        targets = [
            Target(
                url_address(status.address, status.api_port),
                status.host_id,
                status.data_centre,
            )
            for status in statuses
        ]
        return await self._ask_all(
            targets,
            api.SLO_PATH,
            api.SloReport,
            _parameters(service, is_brief=False),
        )

    async def _ask_all(
        self,
        targets: Iterable[Target],
        path: str,
        answer_type: type[AnswerT],
        parameters: Mapping[str, str],
    ) -> tuple[list[AnswerT], list[Unanswered]]:
        """Asks several hosts at a time."""
        answers: list[AnswerT] = []
        unanswered: list[Unanswered] = []
        limiter = anyio.CapacityLimiter(MAX_CONCURRENT_HOSTS)

        async def ask(http: httpx.AsyncClient, target: Target) -> None:
            async with limiter:
                answer = await self._ask(
                    http, target, path, answer_type, parameters
                )
            if answer.is_ok():
                answers.append(answer.ok)
            else:
                unanswered.append(Unanswered(target, answer.error))

        async with (
            httpx.AsyncClient(
                timeout=self._timeout_s,
                verify=self._ssl_context,
                trust_env=False,
            ) as http,
            anyio.create_task_group() as tasks,
        ):
            for target in targets:
                tasks.start_soon(ask, http, target)
        return answers, unanswered

    async def _ask(
        self,
        http: httpx.AsyncClient,
        target: Target,
        path: str,
        answer_type: type[AnswerT],
        parameters: Mapping[str, str],
    ) -> expression.Result[AnswerT, failures.HostFailure]:
        """Asks one host."""
        try:
            # The library's own time-outs restart with each chunk.
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
        if len(response.content) > MAX_ANSWER_BYTES:
            problem = f"more than {MAX_ANSWER_BYTES} bytes"
            return expression.Error(
                failures.HostAnswerInvalid(target.address, problem)
            )
        try:
            return expression.Ok(
                answer_type.model_validate_json(response.content)
            )
        except pydantic.ValidationError as error:
            problem = f"{error.error_count()} invalid fields"
            return expression.Error(
                failures.HostAnswerInvalid(target.address, problem)
            )


def _parameters(service: str | None, is_brief: bool) -> dict[str, str]:
    """Returns the query parameters of a question."""
    parameters = {}
    if service is not None:
        parameters[api.SERVICE_PARAMETER] = service
    if is_brief:
        parameters[api.DETAIL_PARAMETER] = api.DETAIL_BRIEF
    return parameters


def _members(status: api.HostStatus) -> list[Target]:
    """Returns the members that a host knows and that may still answer."""
    targets = []
    for member in status.members:
        if member.state == "dead" or member.host_id == status.host_id:
            continue
        targets.append(
            Target(
                url_address(member.address, member.api_port),
                member.host_id,
                member.data_centre,
            )
        )
    return targets
