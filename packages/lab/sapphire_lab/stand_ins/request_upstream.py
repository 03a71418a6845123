"""A fake upstream that serves requests over HTTP/1.1.

It runs a limited number of requests at a time, sheds the others, and counts
its runs by idempotency key or attempt id. A queue of faults applies to the next
requests, one fault to each.
"""

import collections
import dataclasses
import enum
import json

import anyio
import anyio.abc
import h11

READ_BYTES = 65_536
MS_PER_SECOND = 1_000


class Fault(enum.Enum):
    """A fault in the handling of one request.

    SHED: The request is shed even if a slot is free.
    CLOSE_BEFORE_RUN: The connection is closed before the request runs.
    CLOSE_AFTER_RUN: The connection is closed instead of a response.
    TRUNCATE: The connection is closed within the body of the response.
    WRONG_REQUEST_ID: The response names another attempt.
    NO_REQUEST_ID: The response names no attempt.
    NO_LENGTH: The response has no header fields but the one that says that
        the connection closes.
    DUPLICATE: The response is sent twice.
    LATE_DUPLICATE: The response is sent again once the next request on the
        connection has arrived, before the response to that.
    LATE_DUPLICATE_NO_REQUEST_ID: The same, and it names no attempt.
    NO_RESPONSE: The run lasts for an hour.
    PLAIN_503: The request runs, and the response has status 503 without the
        field `retry-after`.
    """

    NONE = "none"
    SHED = "shed"
    CLOSE_BEFORE_RUN = "close-before-run"
    CLOSE_AFTER_RUN = "close-after-run"
    TRUNCATE = "truncate"
    WRONG_REQUEST_ID = "cross"
    NO_REQUEST_ID = "no-echo"
    NO_LENGTH = "no-length"
    DUPLICATE = "duplicate"
    LATE_DUPLICATE = "late-duplicate"
    LATE_DUPLICATE_NO_REQUEST_ID = "late-duplicate-no-echo"
    NO_RESPONSE = "silent"
    PLAIN_503 = "plain-503"


LATE_COPIES = (Fault.LATE_DUPLICATE, Fault.LATE_DUPLICATE_NO_REQUEST_ID)


@dataclasses.dataclass(slots=True)
class FakeRequestUpstream:
    """A fake upstream with its settings and counters.

    Attributes:
        slots: The number of requests that it runs at a time; others are shed.
        processing_ms: The duration of a run.
        boot_id: The identity of this start of the process.
        is_health_accurate: Whether the health endpoint reports the number of
            running requests; if not, it reports zero whatever the load.
        faults: The faults of the next requests, in order.
        runs_by_id: The number of runs started, by idempotency key or, without
            one, by attempt id.
        cancelled: The runs whose connection was closed before the response.
        shed: The number of requests shed.
        running: The number of requests that run now.
        max_running: The highest number of requests that ran at a time.
        port: The TCP port; 0 for a free one, which `serve` stores here.
        address: The IP address to listen on.
        received_headers: The header fields of each request.
        late_copies_by_stream: The responses that are still to be sent again, by
            the stream of their connection.
    """

    slots: int = 3
    processing_ms: int = 20
    boot_id: str = "boot-1"
    is_health_accurate: bool = True
    faults: collections.deque[Fault] = dataclasses.field(
        default_factory=collections.deque
    )
    runs_by_id: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    cancelled: int = 0
    shed: int = 0
    running: int = 0
    max_running: int = 0
    port: int = 0
    address: str = "127.0.0.1"
    received_headers: list[dict[str, str]] = dataclasses.field(
        default_factory=list
    )
    late_copies_by_stream: dict[anyio.abc.SocketStream, bytes] = (
        dataclasses.field(default_factory=dict)
    )

    async def serve(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serves until it is cancelled; reports started once it listens."""
        listener = await anyio.create_tcp_listener(
            local_host=self.address, local_port=self.port
        )
        address = listener.extra(anyio.abc.SocketAttribute.local_address)
        self.port = int(address[1])
        async with listener:
            task_status.started()
            await listener.serve(self._serve_connection)

    async def _serve_connection(self, stream: anyio.abc.SocketStream) -> None:
        connection = h11.Connection(h11.SERVER)
        async with stream:
            try:
                while await self._serve_exchange(connection, stream):
                    connection.start_next_cycle()
            except (
                anyio.BrokenResourceError,
                anyio.EndOfStream,
                h11.ProtocolError,
            ):
                return

    async def _serve_exchange(
        self, connection: h11.Connection, stream: anyio.abc.SocketStream
    ) -> bool:
        request = await self._next_event(connection, stream)
        if not isinstance(request, h11.Request):
            return False
        body = b""
        while True:
            event = await self._next_event(connection, stream)
            if isinstance(event, h11.Data):
                body += bytes(event.data)
                continue
            if isinstance(event, h11.EndOfMessage):
                break
            return False
        headers = {
            name.decode(): value.decode("latin-1")
            for name, value in request.headers
        }
        if request.target == b"/health":
            await self._send_health(connection, stream)
            return connection.our_state is h11.DONE
        self.received_headers.append(headers)
        late_copy = self.late_copies_by_stream.pop(stream, None)
        if late_copy is not None:
            await stream.send(late_copy)
        fault = self.faults.popleft() if self.faults else Fault.NONE
        if fault is Fault.CLOSE_BEFORE_RUN:
            return False
        is_head = request.method == b"HEAD"
        await self._respond(
            connection, stream, headers, body, fault=fault, is_head=is_head
        )
        return connection.our_state is h11.DONE

    async def _next_event(
        self, connection: h11.Connection, stream: anyio.abc.SocketStream
    ) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        while True:
            event = connection.next_event()
            if event is not h11.NEED_DATA:
                return event
            try:
                data = await stream.receive(READ_BYTES)
            except anyio.EndOfStream:
                data = b""
            connection.receive_data(data)

    async def _send_health(
        self, connection: h11.Connection, stream: anyio.abc.SocketStream
    ) -> None:
        running = self.running if self.is_health_accurate else 0
        body = json.dumps(
            {"status": "ok", "running": running, "slots": self.slots}
        ).encode()
        boot_field = [("x-boot-id", self.boot_id)]
        await self._send(connection, stream, 200, boot_field, body)

    async def _respond(
        self,
        connection: h11.Connection,
        stream: anyio.abc.SocketStream,
        headers: dict[str, str],
        body: bytes,
        *,
        fault: Fault,
        is_head: bool,
    ) -> None:
        attempt_id = headers.get("x-request-id", "")
        id_fields = [("x-request-id", attempt_id), ("x-boot-id", self.boot_id)]
        if fault is Fault.SHED or self.running >= self.slots:
            self.shed += 1
            shed = [*id_fields, ("retry-after", "1")]
            await self._send(connection, stream, 503, shed, b"busy")
            return
        run_id = headers.get("idempotency-key", attempt_id)
        self.runs_by_id[run_id] += 1
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        try:
            is_finished = await self._run(stream, fault)
        finally:
            self.running -= 1
        if not is_finished:
            self.cancelled += 1
            raise anyio.EndOfStream
        if fault is Fault.CLOSE_AFTER_RUN:
            raise anyio.EndOfStream
        if fault is Fault.PLAIN_503:
            await self._send(connection, stream, 503, id_fields, b"failed")
            return
        response_body = json.dumps(
            {"run": run_id, "body_bytes": len(body)}
        ).encode()
        if is_head:
            response_body = b""
        await self._send_with_fault(
            connection, stream, id_fields, response_body, fault
        )

    async def _run(self, stream: anyio.abc.SocketStream, fault: Fault) -> bool:
        """Waits for the end of the run; False if the connection was closed."""
        wait_s = self.processing_ms / MS_PER_SECOND
        if fault is Fault.NO_RESPONSE:
            wait_s = 3_600.0
        with anyio.move_on_after(wait_s):
            try:
                await stream.receive(1)
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return False
        return True

    async def _send_with_fault(
        self,
        connection: h11.Connection,
        stream: anyio.abc.SocketStream,
        id_fields: list[tuple[str, str]],
        response_body: bytes,
        fault: Fault,
    ) -> None:
        if fault is Fault.WRONG_REQUEST_ID:
            id_fields = [("x-request-id", "another-1"), id_fields[1]]
        if fault in (Fault.NO_REQUEST_ID, Fault.LATE_DUPLICATE_NO_REQUEST_ID):
            id_fields = id_fields[1:]
        if fault is Fault.NO_LENGTH:
            head = b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n"
            await stream.send(head + response_body)
            raise anyio.EndOfStream
        if fault is Fault.TRUNCATE:
            id_fields = [
                *id_fields,
                ("content-length", str(len(response_body))),
            ]
            response = h11.Response(status_code=200, headers=id_fields)
            head = connection.send(response) or b""
            await stream.send(head + response_body[: len(response_body) // 2])
            raise anyio.EndOfStream
        sent = await self._send(
            connection, stream, 200, id_fields, response_body
        )
        if fault is Fault.DUPLICATE:
            await stream.send(sent)
        if fault in LATE_COPIES:
            self.late_copies_by_stream[stream] = sent

    async def _send(
        self,
        connection: h11.Connection,
        stream: anyio.abc.SocketStream,
        status: int,
        headers: list[tuple[str, str]],
        body: bytes,
    ) -> bytes:
        all_fields = [*headers, ("content-length", str(len(body)))]
        response = h11.Response(status_code=status, headers=all_fields)
        sent = connection.send(response) or b""
        sent += connection.send(h11.Data(data=body)) or b""
        sent += connection.send(h11.EndOfMessage()) or b""
        await stream.send(sent)
        return sent
