"""A stand-in for an upstream that takes requests over HTTP/1.1.

It bears a number of requests at a time, sheds the others, and counts its runs
by request id. Faults are set for the next requests, one each.
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
    """What the stand-in does wrong with one request."""

    NONE = "none"
    SHED = "shed"
    CLOSE_BEFORE_RUN = "close-before-run"
    CLOSE_AFTER_RUN = "close-after-run"
    TRUNCATE = "truncate"
    WRONG_REQUEST_ID = "cross"
    NO_REQUEST_ID = "no-echo"
    NO_LENGTH = "no-length"
    DUPLICATE = "duplicate"
    NO_RESPONSE = "silent"
    PLAIN_503 = "plain-503"


@dataclasses.dataclass(slots=True)
class FakeRequestUpstream:
    """The state of the stand-in.

    Attributes:
        slots: The requests that it runs at a time; more are shed.
        processing_ms: The time of a run.
        boot_id: The identity of this start.
        is_health_accurate: Whether the health endpoint tells the truth; if not,
            it reports a free upstream whatever its load.
        faults: The faults of the next requests, in order.
        runs_by_id: The runs started, by idempotency key or attempt id.
        cancelled: The runs whose connection closed before their answer.
        shed: The requests shed.
        max_running: The most requests that ran at a time.
        port: The TCP port, once it serves.
        address: The IP number to listen on.
        received_headers: The header fields of each request.
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

    async def serve(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serves on loopback until it is cancelled."""
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
        fault = self.faults.popleft() if self.faults else Fault.NONE
        if fault is Fault.CLOSE_BEFORE_RUN:
            return False
        is_head = request.method == b"HEAD"
        await self._answer(
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
        boot = [("x-boot-id", self.boot_id)]
        await self._send(connection, stream, 200, boot, body)

    async def _answer(
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
        extra = [("x-request-id", attempt_id), ("x-boot-id", self.boot_id)]
        if fault is Fault.SHED or self.running >= self.slots:
            self.shed += 1
            shed = [*extra, ("retry-after", "1")]
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
            await self._send(connection, stream, 503, extra, b"failed")
            return
        answer = json.dumps({"run": run_id, "body_bytes": len(body)}).encode()
        if is_head:
            answer = b""
        await self._send_faulty(connection, stream, extra, answer, fault)

    async def _run(self, stream: anyio.abc.SocketStream, fault: Fault) -> bool:
        """Waits for the end of the run; False if the connection closed."""
        wait_s = self.processing_ms / MS_PER_SECOND
        if fault is Fault.NO_RESPONSE:
            wait_s = 3_600.0
        with anyio.move_on_after(wait_s):
            try:
                await stream.receive(1)
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return False
        return True

    async def _send_faulty(
        self,
        connection: h11.Connection,
        stream: anyio.abc.SocketStream,
        extra: list[tuple[str, str]],
        answer: bytes,
        fault: Fault,
    ) -> None:
        if fault is Fault.WRONG_REQUEST_ID:
            extra = [("x-request-id", "another-1"), extra[1]]
        if fault is Fault.NO_REQUEST_ID:
            extra = extra[1:]
        if fault is Fault.NO_LENGTH:
            head = b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n"
            await stream.send(head + answer)
            raise anyio.EndOfStream
        if fault is Fault.TRUNCATE:
            extra = [*extra, ("content-length", str(len(answer)))]
            response = h11.Response(status_code=200, headers=extra)
            head = connection.send(response) or b""
            await stream.send(head + answer[: len(answer) // 2])
            raise anyio.EndOfStream
        sent = await self._send(connection, stream, 200, extra, answer)
        if fault is Fault.DUPLICATE:
            await stream.send(sent)

    async def _send(
        self,
        connection: h11.Connection,
        stream: anyio.abc.SocketStream,
        status: int,
        headers: list[tuple[str, str]],
        body: bytes,
    ) -> bytes:
        fields = [*headers, ("content-length", str(len(body)))]
        response = h11.Response(status_code=status, headers=fields)
        sent = connection.send(response) or b""
        sent += connection.send(h11.Data(data=body)) or b""
        sent += connection.send(h11.EndOfMessage()) or b""
        await stream.send(sent)
        return sent
