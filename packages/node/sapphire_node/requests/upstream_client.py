"""Sends attempts to upstreams over HTTP/1.1."""

import logging

import anyio
import httpx

from sapphire_core.requests import data as core_data
from sapphire_data import clock
from sapphire_data import records
from sapphire_net import event_log
from sapphire_node.requests import answer_memory
from sapphire_node.requests import data
from sapphire_node.requests import header_fields

MAX_ANSWER_BYTES = 8_388_608
CONNECT_TIMEOUT_MS = 1_000
# Shorter than the idle timeout of common servers, so that a connection is
# seldom reused at the moment at which the upstream closes it.
KEEPALIVE_EXPIRY_S = 2.0
STATUS_SHED = 503
BODILESS_STATUSES = (204, 304)

logger = logging.getLogger(__name__)

AttemptEvent = core_data.AnswerArrived | core_data.AttemptFailed


def create_client() -> httpx.AsyncClient:
    """Returns an HTTP client that neither retries nor follows redirects."""
    limits = httpx.Limits(
        max_connections=None,
        max_keepalive_connections=None,
        keepalive_expiry=KEEPALIVE_EXPIRY_S,
    )
    timeout = httpx.Timeout(
        None, connect=CONNECT_TIMEOUT_MS / clock.MS_PER_SECOND
    )
    return httpx.AsyncClient(
        limits=limits, timeout=timeout, trust_env=False, http2=False
    )


class UpstreamClient:
    """Sends attempts and reports how each ended, in exactly one event.

    A connection is used again only if its upstream names the attempt in its
    answers: on another one, a second copy of an answer that arrives late would
    be taken for the answer to the next request.
    """

    def __init__(
        self, client: httpx.AsyncClient, memory: answer_memory.AnswerMemory
    ) -> None:
        self._client = client
        self._memory = memory
        # The addresses whose last answer named its attempt.
        self._naming_addresses: set[tuple[str, int]] = set()

    async def attempt(
        self,
        send: core_data.SendAttempt,
        service: str,
        upstream: records.Upstream,
        request: data.HttpRequest,
    ) -> AttemptEvent:
        """Sends a request to an upstream and receives the answer.

        Args:
            send: The action of the engine, with the identity of the attempt.
            service: The name of the service.
            upstream: The upstream.
            request: The request of the caller.

        Returns:
            The whole answer, or how the attempt failed.
        """
        address = (upstream.address, upstream.request_port)
        must_name_attempt = address in self._naming_addresses
        http_request = self._build_request(
            send, upstream, request, is_kept_open=must_name_attempt
        )
        attempt_id = send.attempt_id
        try:
            response = await self._client.send(http_request, stream=True)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout):
            # No connection was made, so the upstream received nothing.
            fault = core_data.AttemptFault.UNREACHABLE
            return core_data.AttemptFailed(attempt_id, fault)
        except httpx.HTTPError as error:
            event_log.log(
                logger,
                logging.INFO,
                "attempt_lost",
                attempt=attempt_id,
                upstream=upstream.name,
                error=type(error).__name__,
            )
            fault = core_data.AttemptFault.CONNECTION_LOST
            return core_data.AttemptFailed(attempt_id, fault)
        try:
            if self._names_attempt(response):
                self._naming_addresses.add(address)
            else:
                self._naming_addresses.discard(address)
                if must_name_attempt:
                    fault = core_data.AttemptFault.MISMATCHED
                    return core_data.AttemptFailed(attempt_id, fault)
            return await self._receive_answer(
                attempt_id, service, request, response
            )
        finally:
            # This closes the connection unless the response was read to its
            # end.
            with anyio.CancelScope(shield=True):
                await response.aclose()

    def _names_attempt(self, response: httpx.Response) -> bool:
        """Returns whether an answer names any attempt."""
        raw_headers = response.headers.raw
        return (
            header_fields.find(raw_headers, header_fields.REQUEST_ID)
            is not None
        )

    def _build_request(
        self,
        send: core_data.SendAttempt,
        upstream: records.Upstream,
        request: data.HttpRequest,
        *,
        is_kept_open: bool,
    ) -> httpx.Request:
        headers = [
            (name, value)
            for name, value in header_fields.without_hop_by_hop_fields(
                request.headers
            )
            if name not in header_fields.REPLACED_FIELDS
            and name != header_fields.CONTENT_LENGTH
        ]
        headers.append((header_fields.REQUEST_ID, send.attempt_id.encode()))
        headers.append(
            (header_fields.DEADLINE, str(send.remaining_ms).encode())
        )
        headers.append(
            (header_fields.RETRIES_LEFT, str(send.retries_left).encode())
        )
        if not is_kept_open:
            headers.append((header_fields.CONNECTION, b"close"))
        caller_length = header_fields.find(
            request.headers, header_fields.CONTENT_LENGTH
        )
        if request.body or caller_length is not None:
            length = str(len(request.body)).encode()
            headers.append((header_fields.CONTENT_LENGTH, length))
        url = httpx.URL(
            scheme="http",
            host=upstream.address,
            port=upstream.request_port,
            raw_path=request.raw_target,
        )
        return httpx.Request(
            request.method,
            url,
            headers=headers,
            stream=httpx.ByteStream(request.body),
        )

    async def _receive_answer(
        self,
        attempt_id: str,
        service: str,
        request: data.HttpRequest,
        response: httpx.Response,
    ) -> AttemptEvent:
        raw_headers = response.headers.raw
        echoed_id = header_fields.find(raw_headers, header_fields.REQUEST_ID)
        boot_id = header_fields.find(raw_headers, header_fields.BOOT_ID)
        retry_after = header_fields.find(raw_headers, header_fields.RETRY_AFTER)
        if response.status_code == STATUS_SHED and retry_after is not None:
            # By contract, an upstream that sheds a request has not started it.
            shed = core_data.AttemptFault.SHED
            with anyio.move_on_after(CONNECT_TIMEOUT_MS / clock.MS_PER_SECOND):
                await self._read_and_discard(response)
            return core_data.AttemptFailed(attempt_id, shed, boot_id, echoed_id)
        if echoed_id is not None and echoed_id != attempt_id:
            return core_data.AnswerArrived(attempt_id, echoed_id, boot_id, None)
        size_bytes = self._bytes_to_reserve(request, response)
        if size_bytes is None:
            # An answer that ends with the close of its connection cannot be
            # distinguished from a truncated one.
            fault = core_data.AttemptFault.TRUNCATED
            return core_data.AttemptFailed(attempt_id, fault)
        if size_bytes > MAX_ANSWER_BYTES or not self._memory.can_ever_fit(
            size_bytes
        ):
            fault = core_data.AttemptFault.TOO_LARGE
            return core_data.AttemptFailed(attempt_id, fault)
        await self._memory.reserve(service, size_bytes)
        is_returned = False
        try:
            result = await self._read_body(response, size_bytes)
            if isinstance(result, core_data.AttemptFault):
                return core_data.AttemptFailed(attempt_id, result)
            answer = data.HttpAnswer(
                response.status_code,
                self._answer_headers(response, request, len(result)),
                result,
                size_bytes,
            )
            is_returned = True
            return core_data.AnswerArrived(
                attempt_id, echoed_id, boot_id, answer
            )
        finally:
            if not is_returned:
                self._memory.release(service, size_bytes)

    async def _read_and_discard(self, response: httpx.Response) -> None:
        try:
            async for _ in response.aiter_raw():
                pass
        except httpx.HTTPError:
            return

    def _bytes_to_reserve(
        self, request: data.HttpRequest, response: httpx.Response
    ) -> int | None:
        if request.method == "HEAD":
            return 0
        if response.status_code in BODILESS_STATUSES:
            return 0
        length = response.headers.get("content-length")
        if length is not None:
            return int(length)
        if "chunked" in response.headers.get("transfer-encoding", "").lower():
            return MAX_ANSWER_BYTES
        return None

    async def _read_body(
        self, response: httpx.Response, limit_bytes: int
    ) -> bytes | core_data.AttemptFault:
        chunks = []
        size_bytes = 0
        try:
            async for chunk in response.aiter_raw():
                size_bytes += len(chunk)
                if size_bytes > limit_bytes:
                    return core_data.AttemptFault.TOO_LARGE
                chunks.append(chunk)
        except httpx.HTTPError:
            return core_data.AttemptFault.TRUNCATED
        return b"".join(chunks)

    def _answer_headers(
        self,
        response: httpx.Response,
        request: data.HttpRequest,
        size_bytes: int,
    ) -> data.RawHeaders:
        headers = [
            (name, value)
            for name, value in header_fields.without_hop_by_hop_fields(
                response.headers.raw
            )
            if name not in (header_fields.OUTCOME, header_fields.REQUEST_ID)
        ]
        if request.method == "HEAD":
            return headers
        headers = [
            field
            for field in headers
            if field[0] != header_fields.CONTENT_LENGTH
        ]
        if response.status_code not in BODILESS_STATUSES:
            length = str(size_bytes).encode()
            headers.append((header_fields.CONTENT_LENGTH, length))
        return headers
