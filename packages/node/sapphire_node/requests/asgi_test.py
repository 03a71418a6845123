"""Forwarding over real sockets: HTTP server, HTTP client, an upstream."""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses

import anyio
import httpx
import testtools
from testtools import matchers

from sapphire_data import clock
from sapphire_lab import loopback
from sapphire_lab.requests import builders
from sapphire_lab.requests import claim_store_fake
from sapphire_lab.stand_ins import request_upstream
from sapphire_net import http_server
from sapphire_node.requests import asgi
from sapphire_node.requests import service

POLL_S = 0.005


@dataclasses.dataclass
class RequestFixture:
    """A host that serves callers on a TCP port, with an upstream.

    Attributes:
        stop: Set to stop the HTTP server of the host.
        stopped: Set when that server has stopped.
    """

    port: int
    upstream: request_upstream.FakeRequestUpstream
    service: service.RequestService
    stop: anyio.Event
    stopped: anyio.Event


@contextlib.asynccontextmanager
async def open_fixture(service_ms: int) -> AsyncIterator[RequestFixture]:
    upstream = request_upstream.FakeRequestUpstream(processing_ms=service_ms)
    store = claim_store_fake.FakeClaimStore()
    host = service.RequestService("h1", store, clock.MonotonicClock())
    fixture = RequestFixture(
        loopback.find_free_port(), upstream, host, anyio.Event(), anyio.Event()
    )

    async def serve() -> None:
        app = asgi.RequestApp(host)
        await http_server.serve(
            app, "127.0.0.1", fixture.port, fixture.stop.wait
        )
        fixture.stopped.set()

    async with anyio.create_task_group() as tasks:
        await tasks.start(upstream.serve)
        await tasks.start(host.run)
        target = builders.upstream(port=upstream.port, slots=3)
        configured = builders.service([target])
        host.set_configuration(builders.configuration([configured]))
        tasks.start_soon(serve)
        await wait_for_port(fixture.port)
        yield fixture
        fixture.stop.set()
        await fixture.stopped.wait()
        tasks.cancel_scope.cancel()


async def wait_for_port(port: int) -> None:
    while True:
        try:
            stream = await anyio.connect_tcp("127.0.0.1", port)
        except OSError:
            await anyio.sleep(POLL_S)
            continue
        await stream.aclose()
        return


async def post(port: int, key: str) -> httpx.Response:
    headers = {"host": builders.SERVICE, "idempotency-key": key}
    async with httpx.AsyncClient(trust_env=False) as client:
        url = f"http://127.0.0.1:{port}/plans"
        return await client.post(url, headers=headers, content=b"x" * 100_000)


class RequestAppTest(testtools.TestCase):
    def test_graceful_stop_finishes_requests_in_flight(self) -> None:
        async def run() -> None:
            async with open_fixture(service_ms=300) as fixture:
                answers: list[httpx.Response] = []

                async def post_one(key: str) -> None:
                    answers.append(await post(fixture.port, key))

                async with anyio.create_task_group() as tasks:
                    for key in ("a", "b", "c", "queued"):
                        tasks.start_soon(post_one, key)
                    while fixture.upstream.running < 3:
                        await anyio.sleep(POLL_S)
                    fixture.service.begin_drain()
                    fixture.stop.set()
                await fixture.service.wait_idle()
                await fixture.stopped.wait()
                statuses = [answer.status_code for answer in answers]
                self.assertThat(statuses, matchers.Equals([200] * 4))
                sizes = {answer.json()["body_bytes"] for answer in answers}
                self.assertThat(sizes, matchers.Equals({100_000}))

        with_limit(run)

    def test_disconnect_of_a_caller_cancels_the_run(self) -> None:
        async def run() -> None:
            async with open_fixture(service_ms=20_000) as fixture:
                with anyio.move_on_after(0.3):
                    await post(fixture.port, "a")
                while fixture.upstream.cancelled == 0:
                    await anyio.sleep(POLL_S)
                self.assertThat(fixture.upstream.running, matchers.Equals(0))

        with_limit(run)

    def test_incomplete_upload_reaches_no_upstream(self) -> None:
        async def run() -> None:
            async with open_fixture(service_ms=1) as fixture:
                stream = await anyio.connect_tcp("127.0.0.1", fixture.port)
                head = (
                    f"POST /plans HTTP/1.1\r\nhost: {builders.SERVICE}\r\n"
                    "content-length: 1000\r\n\r\n"
                )
                await stream.send(head.encode() + b"x" * 500)
                await stream.aclose()
                await post(fixture.port, "whole")
                runs = dict(fixture.upstream.runs_by_id)
                self.assertThat(runs, matchers.Equals({"whole": 1}))
                used = fixture.service.upload_memory.used_bytes
                self.assertThat(used, matchers.Equals(0))

        with_limit(run)


def with_limit(test: Callable[[], Awaitable[None]]) -> None:
    async def body() -> None:
        with anyio.fail_after(30):
            await test()

    anyio.run(body)
