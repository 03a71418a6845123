"""Tests of the fake upstream for requests over a socket."""

from collections.abc import Awaitable
from collections.abc import Callable

import anyio
import httpx
import testtools
from testtools import matchers

from sapphire_lab.stand_ins import request_upstream

Fault = request_upstream.Fault
TestBody = Callable[
    [request_upstream.FakeRequestUpstream, httpx.AsyncClient], Awaitable[None]
]


def run_with_upstream(test: TestBody, slots: int = 1) -> None:
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
    def test_response_has_attempt_id_and_boot_id_and_run_is_counted(
        self,
    ) -> None:
        async def test(
            upstream: request_upstream.FakeRequestUpstream,
            client: httpx.AsyncClient,
        ) -> None:
            response = await client.post("/", headers=headers("k"))
            self.assertThat(response.status_code, matchers.Equals(200))
            attempt_id = response.headers["x-request-id"]
            self.assertThat(attempt_id, matchers.Equals("a-k"))
            boot_id = response.headers["x-boot-id"]
            self.assertThat(boot_id, matchers.Equals(upstream.boot_id))
            self.assertThat(upstream.runs_by_id["k"], matchers.Equals(1))

        run_with_upstream(test)

    def test_request_without_free_slot_is_shed_and_not_run(self) -> None:
        async def test(
            upstream: request_upstream.FakeRequestUpstream,
            client: httpx.AsyncClient,
        ) -> None:
            statuses: list[int] = []

            async def send_request(key: str) -> None:
                response = await client.post("/", headers=headers(key))
                statuses.append(response.status_code)

            async with anyio.create_task_group() as tasks:
                for key in ("k1", "k2", "k3"):
                    tasks.start_soon(send_request, key)
            self.assertThat(sorted(statuses), matchers.Equals([200, 200, 503]))
            runs = upstream.runs_by_id.total()
            self.assertThat(runs, matchers.Equals(2))

        run_with_upstream(test, slots=2)

    def test_client_gets_error_if_connection_closes_early(self) -> None:
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
                run_count = upstream.runs_by_id[fault.value]
                self.assertThat(run_count, matchers.Equals(runs), str(fault))

        run_with_upstream(test)

    def test_inaccurate_health_endpoint_reports_no_running_requests(
        self,
    ) -> None:
        async def test(
            upstream: request_upstream.FakeRequestUpstream,
            client: httpx.AsyncClient,
        ) -> None:
            upstream.running = 1
            reported_running = [(await client.get("/health")).json()["running"]]
            upstream.is_health_accurate = False
            reported_running.append(
                (await client.get("/health")).json()["running"]
            )
            self.assertThat(reported_running, matchers.Equals([1, 0]))

        run_with_upstream(test)
