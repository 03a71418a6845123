"""The ASGI application that receives the requests of callers."""

import logging

import anyio
import expression

from sapphire_core.requests import data as core_data
from sapphire_core.requests import failures
from sapphire_data import records
from sapphire_net import event_log
from sapphire_node.requests import asgi_types
from sapphire_node.requests import data
from sapphire_node.requests import header_fields
from sapphire_node.requests import messages
from sapphire_node.requests import problems
from sapphire_node.requests import service as request_service
from sapphire_node.requests import uploads

# If a caller does not receive its answer within this time, sending is given up,
# because the answer holds memory that other requests need.
DELIVERY_TIMEOUT_S = 30.0
REFUSAL_RETRY_AFTER_MS = 1_000
TEMPORARY_REFUSALS = (failures.MemoryExhausted, failures.DeadlineHopeless)

logger = logging.getLogger(__name__)


class RequestApp:
    """An ASGI application that submits requests to a `RequestService`."""

    def __init__(self, service: request_service.RequestService) -> None:
        self._service = service

    async def __call__(
        self,
        scope: asgi_types.Scope,
        receive: asgi_types.Receive,
        send: asgi_types.Send,
    ) -> None:
        """Serves one HTTP exchange, or the lifespan events of the server."""
        if scope["type"] == "lifespan":
            await _serve_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        with self._service.track_exchange():
            await self._serve(scope, receive, send)

    async def _serve(
        self,
        scope: asgi_types.Scope,
        receive: asgi_types.Receive,
        send: asgi_types.Send,
    ) -> None:
        headers = list(scope["headers"])
        host_field = header_fields.find(headers, header_fields.HOST) or ""
        name = host_field.rpartition(":")[0] or host_field
        name = name.lower()
        service = self._service.services_by_name.get(name)
        unclaimed_outcome = _unclaimed_outcome(scope["method"], headers)
        if service is None:
            unknown = failures.UnknownService(name)
            await self._refuse(send, unknown, unclaimed_outcome)
            return
        arrived_ms = self._service.clock.now_ms()
        parsed = _parse_request(
            scope, headers, service, arrived_ms, self._service
        )
        if parsed.is_error():
            await self._refuse(send, parsed.error, unclaimed_outcome)
            return
        request = parsed.ok
        upload = uploads.Upload(self._service, service)
        try:
            body = await upload.read(headers, receive, request.deadline_ms)
            if body is None:
                return
            if isinstance(body, failures.RequestFailure):
                await self._refuse(send, body, unclaimed_outcome)
                return
            http = data.HttpRequest(
                scope["method"], _raw_target(scope), headers, body
            )
            await self._forward(request, http, receive, send)
        finally:
            upload.release()

    async def _forward(
        self,
        request: core_data.Request,
        http: data.HttpRequest,
        receive: asgi_types.Receive,
        send: asgi_types.Send,
    ) -> None:
        reply_sender, reply_receiver = anyio.create_memory_object_stream[
            core_data.Finish
        ](1)
        with reply_sender, reply_receiver:
            submit = messages.SubmitRequest(request, http, reply_sender)
            self._service.post(submit)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(
                    self._wait_for_disconnect, request.serial, receive
                )
                finish = await reply_receiver.receive()
                tasks.cancel_scope.cancel()
        await self._send_outcome(request.service, finish, send)

    async def _wait_for_disconnect(
        self, serial: int, receive: asgi_types.Receive
    ) -> None:
        while True:
            message = await receive()
            if message["type"] != "http.disconnect":
                continue
            self._service.post(core_data.CallerDisconnected(serial))
            return

    async def _send_outcome(
        self, service: str, finish: core_data.Finish, send: asgi_types.Send
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
        problem = problems.create_problem_answer(
            finish.failure, finish.outcome, finish.retry_after_ms
        )
        await self._send_answer(send, problem)

    async def _refuse(
        self,
        send: asgi_types.Send,
        failure: failures.RequestFailure,
        outcome: core_data.Outcome,
    ) -> None:
        retry_after_ms = None
        if isinstance(failure, TEMPORARY_REFUSALS):
            retry_after_ms = REFUSAL_RETRY_AFTER_MS
        problem = problems.create_problem_answer(
            failure, outcome, retry_after_ms
        )
        await self._send_answer(send, problem)

    async def _send_answer(
        self, send: asgi_types.Send, answer: data.HttpAnswer
    ) -> None:
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
            event_log.log(
                logger,
                logging.WARNING,
                "answer_not_taken",
                status=answer.status,
            )


def _parse_request(
    scope: asgi_types.Scope,
    headers: data.RawHeaders,
    service: records.Service,
    now_ms: int,
    requests: request_service.RequestService,
) -> expression.Result[core_data.Request, failures.InvalidRequest]:
    if not _raw_target(scope).startswith(b"/"):
        # `*` and whole URLs are for proxies; neither names an object here.
        problem = "expected a path"
        return expression.Error(failures.InvalidRequest("target", problem))
    deadline = header_fields.parse_whole_number(
        headers,
        header_fields.DEADLINE,
        service.limits.request_timeout_ms,
        header_fields.MAX_DEADLINE_MS,
    )
    if deadline.is_error():
        return expression.Error(deadline.error)
    retries = header_fields.parse_whole_number(
        headers,
        header_fields.RETRIES_LEFT,
        header_fields.DEFAULT_RETRIES,
        header_fields.MAX_RETRIES,
    )
    if retries.is_error():
        return expression.Error(retries.error)
    key = header_fields.find(headers, header_fields.IDEMPOTENCY_KEY)
    if key is not None and not 0 < len(key) <= header_fields.MAX_KEY_CHARACTERS:
        field = header_fields.IDEMPOTENCY_KEY.decode()
        problem = f"expected 1 to {header_fields.MAX_KEY_CHARACTERS} characters"
        return expression.Error(failures.InvalidRequest(field, problem))
    client = scope.get("client")
    request = core_data.Request(
        requests.next_serial(),
        service.name,
        client[0] if client else "",
        scope["method"] in header_fields.IDEMPOTENT_METHODS,
        key,
        now_ms + deadline.ok,
        retries.ok,
    )
    return expression.Ok(request)


def _unclaimed_outcome(
    method: str, headers: data.RawHeaders
) -> core_data.Outcome:
    """Returns the outcome of a request refused before its id is claimed."""
    is_idempotent = method in header_fields.IDEMPOTENT_METHODS
    key = header_fields.find(headers, header_fields.IDEMPOTENCY_KEY)
    request = core_data.Request(0, "", "", is_idempotent, key, 0, 0)
    return request.unclaimed_outcome


def _raw_target(scope: asgi_types.Scope) -> bytes:
    raw_path: bytes = scope.get("raw_path") or scope["path"].encode()
    query: bytes = scope.get("query_string", b"")
    if not query:
        return raw_path
    return raw_path + b"?" + query


async def _serve_lifespan(
    receive: asgi_types.Receive, send: asgi_types.Send
) -> None:
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return
