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
from sapphire_data import records
from sapphire_lab.requests import builders
from sapphire_lab.requests import claim_store_fake
from sapphire_lab.stand_ins import request_upstream
from sapphire_node.requests import asgi
from sapphire_node.requests import service

Fault = request_upstream.Fault
OK = 200


@dataclasses.dataclass
class Bench:
    upstream: request_upstream.FakeRequestUpstream
    store: claim_store_fake.FakeClaimStore
    service: service.RequestService
    app: asgi.RequestApp
    client: httpx.AsyncClient
    ends: list[tuple[str, bool]]

    async def send(
        self, method: str = "POST", key: str | None = "k1", **fields: str
    ) -> httpx.Response:
        headers = {"host": builders.SERVICE}
        if key is not None:
            headers["idempotency-key"] = key
        for name, value in fields.items():
            headers[name.replace("_", "-")] = value
        return await self.client.request(
            method, "http://host/orders?x=1", headers=headers, content=b"squat"
        )


@contextlib.asynccontextmanager
async def open_bench(
    limits: records.Limits | None = None, service_ms: int = 20
) -> AsyncIterator[Bench]:
    upstream = request_upstream.FakeRequestUpstream(processing_ms=service_ms)
    store = claim_store_fake.FakeClaimStore()
    ends: list[tuple[str, bool]] = []
    host = service.RequestService(
        "h1",
        store,
        clock.MonotonicClock(),
        record_request_end=lambda name, is_answered: ends.append(
            (name, is_answered)
        ),
    )
    app = asgi.RequestApp(host)
    async with anyio.create_task_group() as tasks:
        await tasks.start(upstream.serve)
        await tasks.start(host.run)
        target = builders.upstream(port=upstream.port, slots=3)
        one = builders.service([target], limits=limits)
        host.set_configuration(builders.configuration([one]))
        transport = httpx.ASGITransport(app)
        async with httpx.AsyncClient(transport=transport) as client:
            yield Bench(upstream, store, host, app, client, ends)
        tasks.cancel_scope.cancel()


def run_bench(
    test: Callable[[Bench], Awaitable[None]],
    limits: records.Limits | None = None,
    service_ms: int = 20,
) -> None:
    async def run() -> None:
        with anyio.fail_after(30):
            async with open_bench(limits, service_ms) as bench:
                await test(bench)

    anyio.run(run)


@dataclasses.dataclass(frozen=True)
class Case:
    fault: request_upstream.Fault
    method: str
    status: int
    outcome: str | None
    runs: int


CASES = (
    Case(Fault.CLOSE_BEFORE_RUN, "POST", 502, "unknown", 0),
    Case(Fault.CLOSE_AFTER_RUN, "POST", 502, "unknown", 1),
    Case(Fault.TRUNCATE, "POST", 502, "unknown", 1),
    Case(Fault.WRONG_REQUEST_ID, "POST", 502, "unknown", 1),
    Case(Fault.NO_LENGTH, "POST", 502, "unknown", 1),
    Case(Fault.SHED, "POST", OK, None, 1),
    Case(Fault.PLAIN_503, "POST", 503, None, 1),
    Case(Fault.CLOSE_AFTER_RUN, "PUT", OK, None, 2),
    Case(Fault.TRUNCATE, "PUT", OK, None, 2),
    Case(Fault.WRONG_REQUEST_ID, "PUT", OK, None, 2),
    Case(Fault.DUPLICATE, "POST", OK, None, 1),
    Case(Fault.NO_RESPONSE, "POST", 504, "unknown", 1),
)


class RequestServiceTest(testtools.TestCase):
    def test_whole_answer_and_one_run(self) -> None:
        async def test(bench: Bench) -> None:
            answer = await bench.send()
            self.assertThat(answer.status_code, matchers.Equals(OK))
            self.assertThat(answer.json()["body_bytes"], matchers.Equals(5))
            self.assertThat(bench.upstream.runs_by_id["k1"], matchers.Equals(1))

        run_bench(test)

    def test_ends_are_told_as_answered_in_time_or_not(self) -> None:
        async def test(bench: Bench) -> None:
            bench.upstream.faults.append(Fault.CLOSE_AFTER_RUN)
            await bench.send()
            await bench.send(key="k2")
            self.assertEqual(
                [(builders.SERVICE, False), (builders.SERVICE, True)],
                bench.ends,
            )

        run_bench(test)

    def test_repeat_of_an_id_runs_nothing_and_is_unknown(self) -> None:
        async def test(bench: Bench) -> None:
            await bench.send()
            repeat = await bench.send()
            self.assertThat(repeat.status_code, matchers.Equals(409))
            outcome = repeat.headers["sapphire-outcome"]
            self.assertThat(outcome, matchers.Equals("unknown"))
            self.assertThat(bench.upstream.runs_by_id["k1"], matchers.Equals(1))

        run_bench(test)

    def test_fault_table_of_upstreams(self) -> None:
        for case in CASES:

            async def test(bench: Bench, case: Case = case) -> None:
                bench.upstream.faults.append(case.fault)
                answer = await bench.send(
                    case.method, x_request_deadline_ms="400"
                )
                seen = Case(
                    case.fault,
                    case.method,
                    answer.status_code,
                    answer.headers.get("sapphire-outcome"),
                    bench.upstream.runs_by_id["k1"],
                )
                self.assertThat(seen, matchers.Equals(case))

            run_bench(test)

    def test_unreachable_upstream_is_not_run(self) -> None:
        async def test(bench: Bench) -> None:
            target = builders.upstream(port=1, slots=3)
            one = builders.service([target])
            bench.service.set_configuration(builders.configuration([one]))
            answer = await bench.send(x_request_deadline_ms="400")
            self.assertThat(answer.status_code, matchers.Equals(503))
            outcome = answer.headers["sapphire-outcome"]
            self.assertThat(outcome, matchers.Equals("not-run"))
            self.assertIn("retry-after", answer.headers)

        run_bench(test)

    def test_store_down_is_unknown_and_keyless_requests_go_on(self) -> None:
        async def test(bench: Bench) -> None:
            bench.store.default_fault = claim_store_fake.StoreFault.LOST_AFTER
            refused = await bench.send()
            self.assertThat(refused.status_code, matchers.Equals(503))
            outcome = refused.headers["sapphire-outcome"]
            self.assertThat(outcome, matchers.Equals("unknown"))
            read = await bench.send("GET")
            self.assertThat(read.status_code, matchers.Equals(OK))
            self.assertIn("retry-after", refused.headers)
            self.assertThat(bench.upstream.runs_by_id["k1"], matchers.Equals(1))

        run_bench(test)

    def test_slots_of_an_upstream_are_respected(self) -> None:
        async def test(bench: Bench) -> None:
            statuses = []

            async def one(number: int) -> None:
                answer = await bench.send(key=f"k{number}")
                statuses.append(answer.status_code)

            async with anyio.create_task_group() as tasks:
                for number in range(20):
                    tasks.start_soon(one, number)
            self.assertThat(statuses, matchers.Equals([OK] * 20))
            self.assertThat(bench.upstream.max_running, matchers.Equals(3))
            self.assertThat(bench.upstream.shed, matchers.Equals(0))

        run_bench(test)

    def test_too_large_body_is_refused_whole(self) -> None:
        async def test(bench: Bench) -> None:
            answer = await bench.send()
            self.assertThat(answer.status_code, matchers.Equals(413))
            runs = bench.upstream.runs_by_id.total()
            self.assertThat(runs, matchers.Equals(0))

        run_bench(test, records.Limits(max_body_bytes=4))

    def test_deadline_shrinks_along_the_path(self) -> None:
        async def test(bench: Bench) -> None:
            await bench.send(x_request_deadline_ms="900")
            passed = bench.upstream.received_headers[0]["x-request-deadline-ms"]
            self.assertThat(int(passed), matchers.LessThan(900))

        run_bench(test)

    def test_drain_finishes_what_is_in_flight(self) -> None:
        async def test(bench: Bench) -> None:
            statuses = []

            async def one() -> None:
                answer = await bench.send()
                statuses.append(answer.status_code)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(one)
                while bench.upstream.running == 0:
                    await anyio.sleep(0.005)
                bench.service.begin_drain()
                await bench.service.wait_idle()
                late = await bench.send(key="k2")
            self.assertThat(statuses, matchers.Equals([OK]))
            self.assertThat(late.status_code, matchers.Equals(503))
            outcome = late.headers["sapphire-outcome"]
            self.assertThat(outcome, matchers.Equals("not-run"))

        run_bench(test, service_ms=150)
