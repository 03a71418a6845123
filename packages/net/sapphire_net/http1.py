"""A minimal HTTP/1.1 client and server on `anyio` and `h11`.

They are for processes whose start-up time and memory must be small: one
request at a time on each connection, no pipelining, no TLS, bodies in memory.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import logging
import select
from typing import Any

import anyio
import anyio.abc
import h11

from sapphire_data import clock
from sapphire_data import failures
from sapphire_net import event_log
from sapphire_net import pauses
from sapphire_net import transfers

_LOG = logging.getLogger(__name__)
_READ_BYTES = 65_536
MAX_BODY_BYTES = 8_388_608
CONNECT_TIMEOUT_MS = 1_000
SERVER_IDLE_TIMEOUT_MS = 30_000
# Descriptors that ran out are free again once some connections have closed.
ACCEPT_RETRY_MS = 100
OK = 200
NOT_FOUND = 404
UNAVAILABLE = 503


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A complete HTTP response.

    Attributes:
        status: The status code.
        body: The whole body.
        headers: The header fields with their names in lower case, as received;
            those of a response to be sent follow from its body.
    """

    status: int
    body: bytes
    headers: tuple[tuple[bytes, bytes], ...] = dataclasses.field(
        default=(), compare=False
    )

    def header(self, name: bytes) -> bytes | None:
        """Returns the value of a header field, None if it is missing.

        Args:
            name: The name in lower case.
        """
        for each_name, value in self.headers:
            if each_name == name:
                return value
        return None


@dataclasses.dataclass(frozen=True, slots=True)
class CallFailure(failures.Failure):
    """A request that got no complete response.

    Attributes:
        problem: The error of the socket or of the protocol.
        may_have_run: Whether the server may have processed the request.
    """

    problem: str
    may_have_run: bool


class CallTimeout(CallFailure):
    """No response began before the timeout, or it stalled."""


class Client:
    """A client of one server, on a connection that is kept open.

    Only one task may use it at a time. After a failure, the connection is
    closed and the next call opens another: a late response to the failed
    request would be taken for the response to the next one. So would a second
    copy of a response, so a connection with bytes that nobody asked for is not
    used again.

    Args:
        address: The IP address and port of the server.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address
        self._stream: anyio.abc.ByteStream | None = None
        self._protocol = h11.Connection(our_role=h11.CLIENT)

    async def call(
        self,
        method: str,
        target: str,
        timeout_ms: int,
        body: bytes | None = None,
    ) -> Response | CallFailure:
        """Sends a request and waits for its response.

        Args:
            method: The HTTP method.
            target: The path and query.
            timeout_ms: The timeout for connecting, sending and the first byte
                of the response. The rest may take as long as it arrives
                steadily, see `transfers`.
            body: A JSON body; None for none.

        Returns:
            The response, or why there is none.
        """
        is_sent = False
        with anyio.move_on_after(timeout_ms / clock.MS_PER_SECOND) as scope:
            deadline = transfers.TransferDeadline(scope, timeout_ms)
            try:
                stream = await self._connect()
                await stream.send(self._encode(method, target, body))
                is_sent = True
                response = await self._read_response(stream, deadline)
            except (OSError, anyio.BrokenResourceError) as error:
                return await self._close_failed(
                    CallFailure(repr(error), is_sent)
                )
            except anyio.EndOfStream:
                closed = CallFailure("closed by the server", is_sent)
                return await self._close_failed(closed)
            except h11.ProtocolError as error:
                return await self._close_failed(CallFailure(repr(error), True))
            await self._prepare_next_call()
            return response
        problem = deadline.describe_timeout(timeout_ms)
        return await self._close_failed(CallTimeout(problem, is_sent))

    async def close(self) -> None:
        """Closes the connection; the next call opens another."""
        stream, self._stream = self._stream, None
        self._protocol = h11.Connection(our_role=h11.CLIENT)
        if stream is not None:
            await anyio.aclose_forcefully(stream)

    async def _connect(self) -> anyio.abc.ByteStream:
        """Returns the open connection, or opens one."""
        if self._has_surplus_bytes():
            event_log.log(
                _LOG,
                logging.INFO,
                "connection_not_reused",
                address=f"{self._address[0]}:{self._address[1]}",
            )
            await self.close()
        if self._stream is None:
            with anyio.fail_after(CONNECT_TIMEOUT_MS / clock.MS_PER_SECOND):
                self._stream = await anyio.connect_tcp(*self._address)
        return self._stream

    def _has_surplus_bytes(self) -> bool:
        """Returns whether the idle connection was closed or has received bytes.

        The stream does not read while no call waits for a response.
        """
        if self._stream is None:
            return False
        surplus, is_ended = self._protocol.trailing_data
        if surplus or is_ended:
            return True
        poller = select.poll()
        raw_socket = self._stream.extra(anyio.abc.SocketAttribute.raw_socket)
        poller.register(raw_socket.fileno(), select.POLLIN)
        return bool(poller.poll(0))

    def _encode(self, method: str, target: str, body: bytes | None) -> bytes:
        """Encodes a request."""
        headers = [("Host", f"{self._address[0]}:{self._address[1]}")]
        if body is not None:
            headers.append(("Content-Type", "application/json"))
            headers.append(("Content-Length", str(len(body))))
        protocol = self._protocol
        request = h11.Request(method=method, target=target, headers=headers)
        encoded = protocol.send(request) or b""
        if body:
            encoded += protocol.send(h11.Data(data=body)) or b""
        return encoded + (protocol.send(h11.EndOfMessage()) or b"")

    async def _read_response(
        self, stream: anyio.abc.ByteStream, deadline: transfers.TransferDeadline
    ) -> Response:
        """Reads the response to the request that was sent."""
        status = 0
        headers: tuple[tuple[bytes, bytes], ...] = ()
        chunks: list[bytes] = []
        while True:
            event: Any = self._protocol.next_event()
            if event is h11.NEED_DATA:
                received = await stream.receive(_READ_BYTES)
                deadline.record_bytes(len(received))
                self._protocol.receive_data(received)
                continue
            if isinstance(event, h11.Response):
                status = event.status_code
                headers = tuple(event.headers)
                continue
            if isinstance(event, h11.Data):
                chunks.append(bytes(event.data))
                if sum(len(chunk) for chunk in chunks) > MAX_BODY_BYTES:
                    raise h11.RemoteProtocolError("body too long")
                continue
            if isinstance(event, h11.EndOfMessage):
                return Response(status, b"".join(chunks), headers)
            if isinstance(event, h11.ConnectionClosed):
                raise anyio.EndOfStream

    async def _prepare_next_call(self) -> None:
        """Keeps the connection for the next call, or closes it."""
        if self._protocol.our_state is h11.MUST_CLOSE:
            await self.close()
            return
        try:
            self._protocol.start_next_cycle()
        except h11.LocalProtocolError:
            await self.close()

    async def _close_failed(self, failure: CallFailure) -> CallFailure:
        """Closes the connection and returns the failure."""
        await self.close()
        return failure


RequestHandler = Callable[[str, str], Awaitable[Response]]


async def serve(
    listener: anyio.abc.Listener[Any],
    handler: RequestHandler,
    transfer_slots: transfers.TransferSlots = transfers.UNLIMITED_TRANSFERS,
) -> None:
    """Serves requests until cancelled; request bodies are ignored.

    An error of one connection ends this connection only. If no connection can
    be accepted, such as without a free descriptor, that is tried again.

    Args:
        listener: The bound listener.
        handler: Returns the response to a method and a path without query.
        transfer_slots: Bounds the large bodies sent at a time.
    """

    async def handle(stream: anyio.abc.ByteStream) -> None:
        async with stream:
            try:
                await _serve_connection(stream, handler, transfer_slots)
            except anyio.EndOfStream:
                # The client has closed the connection.
                return
            except (OSError, anyio.BrokenResourceError) as error:
                event_log.log(
                    _LOG,
                    logging.INFO,
                    "connection_lost",
                    problem=repr(error),
                )
            except h11.ProtocolError as error:
                event_log.log(
                    _LOG, logging.WARNING, "bad_request", problem=str(error)
                )
            except Exception as error:
                event_log.log_unexpected(_LOG, "request_failed", error)

    async with anyio.create_task_group() as connections:
        while True:
            try:
                await listener.serve(handle, connections)
            except* OSError as group:
                event_log.log(
                    _LOG,
                    logging.WARNING,
                    "accept_failed",
                    problem=repr(group.exceptions[0]),
                )
            await pauses.sleep_ms(ACCEPT_RETRY_MS)


async def listen_and_serve(
    address: tuple[str, int],
    handler: RequestHandler,
    transfer_slots: transfers.TransferSlots = transfers.UNLIMITED_TRANSFERS,
) -> None:
    """Listens and serves requests until cancelled.

    Request bodies are ignored.

    Args:
        address: The IPv4 address and port to listen on.
        handler: Returns the response to a method and a path without query.
        transfer_slots: Bounds the large bodies sent at a time.

    Raises:
        OSError: The address is not this machine's, or is in use.
    """
    listener = await anyio.create_tcp_listener(
        local_host=address[0], local_port=address[1]
    )
    async with listener:
        await serve(listener, handler, transfer_slots)


async def _serve_connection(
    stream: anyio.abc.ByteStream,
    handler: RequestHandler,
    transfer_slots: transfers.TransferSlots,
) -> None:
    """Serves the requests of one connection, one after another.

    A large body keeps its slot until the client has read it: until the client
    sends its next request or closes the connection, or its time is over.
    """
    protocol = h11.Connection(our_role=h11.SERVER)
    request: h11.Request | None = None
    held_body_bytes = 0
    try:
        while True:
            event: Any = protocol.next_event()
            if event is h11.NEED_DATA:
                received = await _receive_next(stream, held_body_bytes)
                transfer_slots.release(held_body_bytes)
                held_body_bytes = 0
                if received is None:
                    return
                protocol.receive_data(received)
                continue
            if isinstance(event, h11.Request):
                request = event
                continue
            if isinstance(event, h11.EndOfMessage) and request is not None:
                path = request.target.decode("ascii").partition("?")[0]
                response = await handler(request.method.decode("ascii"), path)
                if not transfer_slots.try_acquire(len(response.body)):
                    response = Response(UNAVAILABLE, b"")
                held_body_bytes = len(response.body)
                with anyio.fail_after(transfers.timeout_s(held_body_bytes)):
                    await stream.send(_encode_response(protocol, response))
                if protocol.our_state is h11.MUST_CLOSE:
                    return
                protocol.start_next_cycle()
                continue
            if isinstance(event, h11.ConnectionClosed):
                return
    finally:
        transfer_slots.release(held_body_bytes)


async def _receive_next(
    stream: anyio.abc.ByteStream, held_body_bytes: int
) -> bytes | None:
    """Receives what a client sends next; None if it sends nothing in time.

    Args:
        stream: The connection.
        held_body_bytes: The length of the body that the client still reads.
    """
    timeout_s = SERVER_IDLE_TIMEOUT_MS / clock.MS_PER_SECOND
    if held_body_bytes >= transfers.MIN_LARGE_BODY_BYTES:
        timeout_s = transfers.timeout_s(held_body_bytes)
    with anyio.move_on_after(timeout_s):
        return await stream.receive(_READ_BYTES)
    return None


def _encode_response(protocol: h11.Connection, response: Response) -> bytes:
    """Encodes a response."""
    headers = [("Content-Length", str(len(response.body)))]
    encoded = protocol.send(
        h11.Response(status_code=response.status, headers=headers)
    )
    encoded = encoded or b""
    if response.body:
        encoded += protocol.send(h11.Data(data=response.body)) or b""
    return encoded + (protocol.send(h11.EndOfMessage()) or b"")
