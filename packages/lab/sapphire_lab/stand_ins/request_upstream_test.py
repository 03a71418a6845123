"""Contract of the stand-in upstream, over a real socket."""

from collections.abc import Awaitable
from collections.abc import Callable

import anyio
import httpx
import testtools
from testtools import matchers

from sapphire_lab.stand_ins import request_upstream

Fault = request_upstream.Fault
Test = Callable[
    [request_upstream.FakeRequestUpstream, httpx.AsyncClient], Awaitable[None]
]


def run(test: Test, slots: int = 1) -> None:
    async def body() -> None:
        upstream = request_upstream.FakeRequestUpstream(
            slots=slots, processing_ms=30
        )
        async with anyio.create_task_group() as tasks:
            await tasks.start(upstream.serve)
            base_url = f"http://127.0.0.1:{upstream.port}"
            async with httpx.AsyncClient(
                base_url=base_url, trust_env=False
            ) as client:
                await test(upstream, client)
            tasks.cancel_scope.cancel()

    anyio.run(body)


def headers(key: str) -> dict[str, str]:
    return {"x-request-id": f"a-{key}", "idempotency-key": key}


class RequestUpstreamTest(testtools.TestCase):
    def test_answer_names_attempt_and_boot_and_counts_the_run(self) -> None:
        async def test(
            upstream: request_upstream.FakeRequestUpstream,
            client: httpx.AsyncClient,
        ) -> None:
            answer = await client.post("/", headers=headers("k"))
            self.assertThat(answer.status_code, matchers.Equals(200))
            echoed = answer.headers["x-request-id"]
            self.assertThat(echoed, matchers.Equals("a-k"))
            boot = answer.headers["x-boot-id"]
            self.assertThat(boot, matchers.Equals(upstream.boot_id))
            self.assertThat(upstream.runs_by_id["k"], matchers.Equals(1))

        run(test)

    def test_request_beyond_the_slots_is_shed_and_not_run(self) -> None:
        async def test(
            upstream: request_upstream.FakeRequestUpstream,
            client: httpx.AsyncClient,
        ) -> None:
            statuses: list[int] = []

            async def one(key: str) -> None:
                answer = await client.post("/", headers=headers(key))
                statuses.append(answer.status_code)

            async with anyio.create_task_group() as tasks:
                for key in ("k1", "k2", "k3"):
                    tasks.start_soon(one, key)
            self.assertThat(sorted(statuses), matchers.Equals([200, 200, 503]))
            runs = upstream.runs_by_id.total()
            self.assertThat(runs, matchers.Equals(2))

        run(test, slots=2)

    def test_connection_faults_reach_the_client_as_errors(self) -> None:
        async def test(
            upstream: request_upstream.FakeRequestUpstream,
            client: httpx.AsyncClient,
        ) -> None:
            for fault, runs in (
                (Fault.CLOSE_BEFORE_RUN, 0),
                (Fault.CLOSE_AFTER_RUN, 1),
                (Fault.TRUNCATE, 1),
            ):
                upstream.faults.append(fault)
                with testtools.ExpectedException(httpx.RemoteProtocolError):
                    await client.post("/", headers=headers(fault.value))
                seen = upstream.runs_by_id[fault.value]
                self.assertThat(seen, matchers.Equals(runs), str(fault))

        run(test)

    def test_health_endpoint_may_lie(self) -> None:
        async def test(
            upstream: request_upstream.FakeRequestUpstream,
            client: httpx.AsyncClient,
        ) -> None:
            upstream.running = 1
            told = [(await client.get("/health")).json()["running"]]
            upstream.is_health_accurate = False
            told.append((await client.get("/health")).json()["running"])
            self.assertThat(told, matchers.Equals([1, 0]))

        run(test)
