from collections.abc import Awaitable
from collections.abc import Callable
import errno
from typing import Any

import anyio
import anyio.abc
import testtools

from sapphire_net import http1
from sapphire_net import transfers

TIMEOUT_MS = 300


async def echo(method: str, path: str) -> http1.Response:
    return http1.Response(200, f"{method} {path}".encode())


async def is_closed(stream: anyio.abc.ByteStream) -> bool:
    """Reads until the server closes the connection, or times out."""
    with anyio.fail_after(5):
        while True:
            try:
                await stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return True


async def raw_server(
    responses: list[bytes], *, task_status: anyio.abc.TaskStatus[int]
) -> None:
    """Responds to each connection with the next of the given byte strings.

    Empty bytes stand for a server that never responds.
    """
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    task_status.started(listener.extra(anyio.abc.SocketAttribute.local_port))

    async def handle(stream: anyio.abc.ByteStream) -> None:
        async with stream:
            await stream.receive()
            response = responses.pop(0)
            if response:
                await stream.send(response)
                return
            await anyio.sleep_forever()

    async with listener:
        await listener.serve(handle)


def with_raw_server(
    responses: list[bytes], body: Callable[[http1.Client], Awaitable[None]]
) -> None:
    """Runs a test body against a server that sends the given bytes."""

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            port = await tasks.start(raw_server, responses)
            await body(http1.Client(("127.0.0.1", port)))
            tasks.cancel_scope.cancel()

    anyio.run(main)


OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class ClientTest(testtools.TestCase):
    def test_calls_share_a_connection(self) -> None:
        async def main() -> None:
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            async with listener, anyio.create_task_group() as tasks:
                tasks.start_soon(http1.serve, listener, echo)
                client = http1.Client(("127.0.0.1", port))
                for number in range(3):
                    response = await client.call(
                        "GET", f"/{number}", TIMEOUT_MS
                    )
                    expected = http1.Response(200, f"GET /{number}".encode())
                    self.assertEqual(expected, response)
                await client.close()
                tasks.cancel_scope.cancel()

        anyio.run(main)

    def test_next_call_after_a_failure_uses_a_new_connection(self) -> None:
        faults = {
            "no response": (b"", http1.CallTimeout),
            "truncated body": (OK[:-1], http1.CallFailure),
            "truncated status line": (b"HTTP/1.1", http1.CallFailure),
            "bytes that are not HTTP": (
                b"\x00\x01\x02\r\n\r\n",
                http1.CallFailure,
            ),
        }
        for name, (response, expected) in faults.items():

            async def body(
                client: http1.Client,
                name: str = name,
                expected: type = expected,
            ) -> None:
                failure = await client.call("GET", "/", TIMEOUT_MS)
                self.assertIs(expected, type(failure), name)
                assert isinstance(failure, http1.CallFailure)
                self.assertTrue(failure.may_have_run)
                again = await client.call("GET", "/", TIMEOUT_MS)
                self.assertEqual(http1.Response(200, b"ok"), again)

            with_raw_server([response, OK], body)

    def test_late_response_is_not_returned_for_the_next_request(self) -> None:
        async def body(client: http1.Client) -> None:
            await client.call("GET", "/first", TIMEOUT_MS)
            again = await client.call("GET", "/second", TIMEOUT_MS)
            assert isinstance(again, http1.Response)
            self.assertEqual(b"ok", again.body)

        late = OK.replace(b"ok", b"no") + OK.replace(b"ok", b"xx")
        with_raw_server([b"", OK, late], body)

    def test_second_copy_is_not_returned_for_the_next_request(self) -> None:
        first, copy = OK, OK.replace(b"ok", b"xx")

        async def body(client: http1.Client, pause_s: float) -> None:
            for _ in range(2):
                again = await client.call("GET", "/", TIMEOUT_MS)
                self.assertEqual(http1.Response(200, b"ok"), again)
                await anyio.sleep(pause_s)
            await client.close()

        async def call_copying_server(pause_s: float) -> None:
            async def handle(stream: anyio.abc.ByteStream) -> None:
                async with stream:
                    await stream.receive()
                    await stream.send(first)
                    await anyio.sleep(pause_s / 2)
                    await stream.send(copy)
                    await anyio.sleep_forever()

            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            async with listener, anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, handle)
                await body(http1.Client(("127.0.0.1", port)), pause_s)
                tasks.cancel_scope.cancel()

        for pause_s in (0.0, 0.2):
            anyio.run(call_copying_server, pause_s)

    def test_refused_connection_is_reported_as_not_run(self) -> None:
        async def main() -> None:
            client = http1.Client(("127.0.0.1", 1))
            failure = await client.call("GET", "/", TIMEOUT_MS)
            assert isinstance(failure, http1.CallFailure)
            self.assertFalse(failure.may_have_run)

        anyio.run(main)

    def test_body_above_the_limit_is_a_failure(self) -> None:
        size = http1.MAX_BODY_BYTES + 1
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n".encode()

        async def body(client: http1.Client) -> None:
            failure = await client.call("GET", "/", 10_000)
            self.assertIs(http1.CallFailure, type(failure))

        with_raw_server([head + bytes(size)], body)


async def paced_server(
    chunks: list[bytes],
    interval_s: float,
    *,
    task_status: anyio.abc.TaskStatus[int],
) -> None:
    """Responds to each connection with chunks at an interval, then stalls."""
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    task_status.started(listener.extra(anyio.abc.SocketAttribute.local_port))

    async def handle(stream: anyio.abc.ByteStream) -> None:
        async with stream:
            await stream.receive()
            for chunk in chunks:
                await stream.send(chunk)
                await anyio.sleep(interval_s)
            await anyio.sleep_forever()

    async with listener:
        await listener.serve(handle)


class TransferTest(testtools.TestCase):
    """Pattern: timeouts bound the progress of a transfer, not its length."""

    def call_paced_server(
        self, chunks: list[bytes], interval_s: float
    ) -> http1.Response | http1.CallFailure:
        """Calls a server whose response arrives in paced chunks."""

        async def main() -> http1.Response | http1.CallFailure:
            async with anyio.create_task_group() as tasks:
                port = await tasks.start(paced_server, chunks, interval_s)
                client = http1.Client(("127.0.0.1", port))
                result = await client.call("GET", "/", TIMEOUT_MS)
                await client.close()
                tasks.cancel_scope.cancel()
            return result

        return anyio.run(main)

    def test_a_large_body_on_a_narrow_link_outlasts_the_timeout(self) -> None:
        # 378 KB at 5 Mbit/s take 600 ms, twice the timeout.
        chunk = bytes(15_750)
        body = chunk * 24
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        response = self.call_paced_server(
            [head.encode(), *[chunk] * 24], 15_750 * 8 / 5_000_000
        )
        self.assertEqual(http1.Response(200, body), response)

    def test_a_response_that_stalls_is_a_timeout(self) -> None:
        self.patch(transfers, "STALL_TIMEOUT_MS", 100)
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 90000\r\n\r\n"
        failure = self.call_paced_server([head + bytes(60_000)], 0.0)
        self.assertIs(http1.CallTimeout, type(failure))
        assert isinstance(failure, http1.CallTimeout)
        self.assertIn("stalled after", failure.problem)

    def test_a_response_below_the_minimum_rate_is_a_timeout(self) -> None:
        # One byte each 20 ms never pauses for long, and would take minutes.
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\n"
        failure = self.call_paced_server([head, *[b"x"] * 9_000], 0.02)
        self.assertIs(http1.CallTimeout, type(failure))

    def test_a_server_without_a_free_slot_responds_unavailable(self) -> None:
        slots = transfers.TransferSlots(1)

        async def answer(method: str, path: str) -> http1.Response:
            size = transfers.MIN_LARGE_BODY_BYTES if path == "/large" else 1
            return http1.Response(200, bytes(size))

        async def main() -> list[int]:
            statuses: list[int] = []
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            async with listener, anyio.create_task_group() as tasks:
                tasks.start_soon(http1.serve, listener, answer, slots)
                client = http1.Client(("127.0.0.1", port))
                slots.try_acquire(transfers.MIN_LARGE_BODY_BYTES)
                for path in ("/large", "/small"):
                    response = await client.call("GET", path, TIMEOUT_MS)
                    assert isinstance(response, http1.Response)
                    statuses.append(response.status)
                slots.release(transfers.MIN_LARGE_BODY_BYTES)
                for _ in range(2):
                    response = await client.call("GET", "/large", TIMEOUT_MS)
                    assert isinstance(response, http1.Response)
                    statuses.append(response.status)
                await client.close()
                tasks.cancel_scope.cancel()
            return statuses

        self.assertEqual([503, 200, 200, 200], anyio.run(main))


class ServerTest(testtools.TestCase):
    def test_malformed_request_closes_only_its_connection(self) -> None:
        async def main() -> None:
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            async with listener, anyio.create_task_group() as tasks:
                tasks.start_soon(http1.serve, listener, echo)
                bad = await anyio.connect_tcp("127.0.0.1", port)
                await bad.send(b"\x00\x00\r\n\r\n")
                self.assertTrue(await is_closed(bad))
                client = http1.Client(("127.0.0.1", port))
                response = await client.call("GET", "/x", TIMEOUT_MS)
                self.assertEqual(http1.Response(200, b"GET /x"), response)
                await client.close()
                tasks.cancel_scope.cancel()

        anyio.run(main)


class FailingListener:
    """A listener that first fails to accept, as without a descriptor."""

    def __init__(self, listener: Any) -> None:
        self._listener = listener
        self._errors = [OSError(errno.EMFILE, "x"), OSError(errno.ENFILE, "x")]

    async def serve(self, handler: Any, task_group: Any = None) -> None:
        if self._errors:
            raise ExceptionGroup("accept", [self._errors.pop()])
        await self._listener.serve(handler, task_group)


class ServerErrorTest(testtools.TestCase):
    """Pattern: an error of one connection ends this connection only."""

    def test_errors_of_a_handler_and_of_accepting_do_not_end_the_server(
        self,
    ) -> None:
        async def fail(method: str, path: str) -> http1.Response:
            if path == "/fails":
                raise KeyError(path)
            return await echo(method, path)

        async def main() -> None:
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            async with listener, anyio.create_task_group() as tasks:
                failing: Any = FailingListener(listener)
                tasks.start_soon(http1.serve, failing, fail)
                client = http1.Client(("127.0.0.1", port))
                failure = await client.call("GET", "/fails", 5_000)
                self.assertIsInstance(failure, http1.CallFailure)
                again = await client.call("GET", "/", 5_000)
                self.assertEqual(http1.Response(200, b"GET /"), again)
                await client.close()
                tasks.cancel_scope.cancel()

        anyio.run(main)
