from collections.abc import Awaitable
from collections.abc import Callable

import anyio
import anyio.abc
import testtools

from sapphire_net import http1

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
