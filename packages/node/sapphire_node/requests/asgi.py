"""The ASGI application that callers reach."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import MutableMapping
import logging
from typing import Any

import anyio
import expression

from sapphire_core.requests import data as core_data
from sapphire_core.requests import failures
from sapphire_data import clock
from sapphire_data import records
from sapphire_node.requests import data
from sapphire_node.requests import fields
from sapphire_node.requests import problems
from sapphire_node.requests import service as request_service

# A caller that does not take its answer for so long is given up, because the
# answer holds memory that others need.
DELIVERY_TIMEOUT_S = 30.0
MEMORY_RETRY_AFTER_MS = 1_000

Scope = MutableMapping[str, Any]
Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]

logger = logging.getLogger(__name__)


class RequestApp:
    """An ASGI application over a `RequestService`."""

    def __init__(self, service: request_service.RequestService) -> None:
        self._service = service

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serves one exchange, or the start and stop of the server."""
        if scope["type"] == "lifespan":
            await _serve_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        with self._service.exchange():
            await self._serve(scope, receive, send)

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        headers = list(scope["headers"])
        host = fields.find(headers, fields.HOST) or ""
        name = host.rpartition(":")[0] or host
        name = name.lower()
        service = self._service.services_by_name.get(name)
        unclaimed = _unclaimed_outcome(scope["method"], headers)
        if service is None:
            unknown = failures.UnknownService(name)
            await self._refuse(send, unknown, unclaimed)
            return
        arrived_ms = self._service.clock.now_ms()
        parsed = _parse(scope, headers, service, arrived_ms, self._service)
        if parsed.is_error():
            await self._refuse(send, parsed.error, unclaimed)
            return
        request = parsed.ok
        upload = _Upload(self._service, service)
        try:
            body = await upload.read(headers, receive, request.deadline_ms)
            if body is None:
                return
            if isinstance(body, failures.RequestFailure):
                await self._refuse(send, body, unclaimed)
                return
            http = data.HttpRequest(
                scope["method"], _target(scope), headers, body
            )
            await self._exchange(request, http, receive, send)
        finally:
            upload.release()

    async def _exchange(
        self,
        request: core_data.Request,
        http: data.HttpRequest,
        receive: Receive,
        send: Send,
    ) -> None:
        replies, reply = anyio.create_memory_object_stream[core_data.Finish](1)
        with replies, reply:
            submit = request_service.Submit(request, http, replies)
            self._service.post(submit)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._watch_caller, request.serial, receive)
                finish = await reply.receive()
                tasks.cancel_scope.cancel()
        await self._deliver(request.service, finish, send)

    async def _watch_caller(self, serial: int, receive: Receive) -> None:
        while True:
            message = await receive()
            if message["type"] != "http.disconnect":
                continue
            self._service.post(core_data.CallerLeft(serial))
            return

    async def _deliver(
        self, service: str, finish: core_data.Finish, send: Send
    ) -> None:
        if isinstance(finish.answer, data.HttpAnswer):
            answer = finish.answer
            try:
                await self._send_answer(send, answer)
            finally:
                size_bytes = answer.reserved_bytes
                self._service.answer_memory.release(service, size_bytes)
            return
        if finish.failure is None:
            return
        problem = problems.problem_answer(
            finish.failure, finish.outcome, finish.retry_after_ms
        )
        await self._send_answer(send, problem)

    async def _refuse(
        self,
        send: Send,
        failure: failures.RequestFailure,
        outcome: core_data.Outcome,
    ) -> None:
        retry_after_ms = None
        if isinstance(failure, failures.MemoryExhausted):
            retry_after_ms = MEMORY_RETRY_AFTER_MS
        problem = problems.problem_answer(failure, outcome, retry_after_ms)
        await self._send_answer(send, problem)

    async def _send_answer(self, send: Send, answer: data.HttpAnswer) -> None:
        headers = list(answer.headers)
        if self._service.is_draining:
            headers.append((b"connection", b"close"))
        with anyio.move_on_after(DELIVERY_TIMEOUT_S) as scope:
            await send(
                {
                    "type": "http.response.start",
                    "status": answer.status,
                    "headers": headers,
                }
            )
            await send({"type": "http.response.body", "body": answer.body})
        if scope.cancelled_caught:
            logger.warning("event=answer_not_taken status=%d", answer.status)


class _Upload:
    """Reads one request body within the memory for bodies."""

    def __init__(
        self,
        host: request_service.RequestService,
        service: records.Service,
    ) -> None:
        self._host = host
        self._service = service
        self._reserved_bytes = 0

    async def read(
        self, headers: data.RawHeaders, receive: Receive, deadline_ms: int
    ) -> bytes | failures.RequestFailure | None:
        """Returns the whole body, a refusal, or None if the caller left."""
        limit_bytes = self._service.limits.max_body_bytes
        length = fields.whole_number(
            headers, fields.CONTENT_LENGTH, 0, limit_bytes + 1
        )
        if length.is_error():
            return length.error
        if length.ok > limit_bytes:
            return failures.BodyTooLarge(limit_bytes)
        if not self._reserve(length.ok):
            return self._exhausted()
        remaining_ms = deadline_ms - self._host.clock.now_ms()
        with anyio.move_on_after(remaining_ms / clock.MS_PER_SECOND):
            return await self._read_parts(receive, limit_bytes)
        return failures.DeadlineHopeless(0)

    async def _read_parts(
        self, receive: Receive, limit_bytes: int
    ) -> bytes | failures.RequestFailure | None:
        parts = []
        size_bytes = 0
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                return None
            part = message.get("body", b"")
            size_bytes += len(part)
            if size_bytes > limit_bytes:
                return failures.BodyTooLarge(limit_bytes)
            missing_bytes = size_bytes - self._reserved_bytes
            if missing_bytes > 0 and not self._reserve(missing_bytes):
                return self._exhausted()
            parts.append(part)
            if not message.get("more_body", False):
                return b"".join(parts)

    def _reserve(self, size_bytes: int) -> bool:
        name = self._service.name
        if not self._host.upload_memory.reserve(name, size_bytes):
            return False
        self._reserved_bytes += size_bytes
        return True

    def _exhausted(self) -> failures.MemoryExhausted:
        limit_bytes = self._host.upload_memory.limit_bytes
        return failures.MemoryExhausted(limit_bytes)

    def release(self) -> None:
        """Gives the memory of the body back."""
        name = self._service.name
        self._host.upload_memory.release(name, self._reserved_bytes)
        self._reserved_bytes = 0


def _parse(
    scope: Scope,
    headers: data.RawHeaders,
    service: records.Service,
    now_ms: int,
    host: request_service.RequestService,
) -> expression.Result[core_data.Request, failures.InvalidRequest]:
    deadline = fields.whole_number(
        headers,
        fields.DEADLINE,
        service.limits.request_timeout_ms,
        fields.MAX_DEADLINE_MS,
    )
    if deadline.is_error():
        return expression.Error(deadline.error)
    retries = fields.whole_number(
        headers,
        fields.RETRIES_LEFT,
        fields.DEFAULT_RETRIES,
        fields.MAX_RETRIES,
    )
    if retries.is_error():
        return expression.Error(retries.error)
    key = fields.find(headers, fields.IDEMPOTENCY_KEY)
    if key is not None and not 0 < len(key) <= fields.MAX_KEY_CHARACTERS:
        field = fields.IDEMPOTENCY_KEY.decode()
        problem = f"expected 1 to {fields.MAX_KEY_CHARACTERS} characters"
        return expression.Error(failures.InvalidRequest(field, problem))
    client = scope.get("client")
    request = core_data.Request(
        host.next_serial(),
        service.name,
        client[0] if client else "",
        scope["method"] in fields.IDEMPOTENT_METHODS,
        key,
        now_ms + deadline.ok,
        retries.ok,
    )
    return expression.Ok(request)


def _unclaimed_outcome(
    method: str, headers: data.RawHeaders
) -> core_data.Outcome:
    """Returns what may be said before the request id is claimed."""
    is_idempotent = method in fields.IDEMPOTENT_METHODS
    key = fields.find(headers, fields.IDEMPOTENCY_KEY)
    request = core_data.Request(0, "", "", is_idempotent, key, 0, 0)
    return request.unclaimed_outcome


def _target(scope: Scope) -> bytes:
    raw_path: bytes = scope.get("raw_path") or scope["path"].encode()
    query: bytes = scope.get("query_string", b"")
    if not query:
        return raw_path
    return raw_path + b"?" + query


async def _serve_lifespan(receive: Receive, send: Send) -> None:
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return
