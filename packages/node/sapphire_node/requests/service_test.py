from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import MutableMapping
import contextlib
import dataclasses
from typing import Any
from unittest import mock

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
from sapphire_node.requests import upstream_client

Fault = request_upstream.Fault
OK = 200


@dataclasses.dataclass
class RequestFixture:
    """A host in process, with an upstream, a fake store and a caller.

    Attributes:
        recorded_ends: Service and whether answered in time, for each request.
    """

    upstream: request_upstream.FakeRequestUpstream
    store: claim_store_fake.FakeClaimStore
    service: service.RequestService
    app: asgi.RequestApp
    client: httpx.AsyncClient
    recorded_ends: list[tuple[str, bool]]

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
async def open_fixture(
    limits: records.Limits | None = None, service_ms: int = 20
) -> AsyncIterator[RequestFixture]:
    upstream = request_upstream.FakeRequestUpstream(processing_ms=service_ms)
    store = claim_store_fake.FakeClaimStore()
    recorded_ends: list[tuple[str, bool]] = []
    host = service.RequestService(
        "h1",
        store,
        clock.MonotonicClock(),
        record_request_end=lambda name, is_answered: recorded_ends.append(
            (name, is_answered)
        ),
    )
    app = asgi.RequestApp(host)
    async with anyio.create_task_group() as tasks:
        await tasks.start(upstream.serve)
        await tasks.start(host.run)
        target = builders.upstream(port=upstream.port, slots=3)
        configured = builders.service([target], limits=limits)
        host.set_configuration(builders.configuration([configured]))
        transport = httpx.ASGITransport(app)
        async with httpx.AsyncClient(transport=transport) as client:
            yield RequestFixture(
                upstream, store, host, app, client, recorded_ends
            )
        tasks.cancel_scope.cancel()


def run_with_fixture(
    test: Callable[[RequestFixture], Awaitable[None]],
    limits: records.Limits | None = None,
    service_ms: int = 20,
) -> None:
    async def run() -> None:
        with anyio.fail_after(30):
            async with open_fixture(limits, service_ms) as fixture:
                await test(fixture)

    anyio.run(run)


@dataclasses.dataclass(frozen=True)
class Case:
    fault: request_upstream.Fault
    method: str
    status: int
    outcome: str | None
    runs: int


# What is tested is the outcome, not the time it takes: long enough for a busy
# machine. Only the case without a response waits for it.
ANSWERED_DEADLINE_MS = "3000"
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
    def test_request_runs_once_and_gets_the_whole_answer(self) -> None:
        async def test(fixture: RequestFixture) -> None:
            answer = await fixture.send()
            self.assertThat(answer.status_code, matchers.Equals(OK))
            self.assertThat(answer.json()["body_bytes"], matchers.Equals(5))
            self.assertThat(
                fixture.upstream.runs_by_id["k1"], matchers.Equals(1)
            )

        run_with_fixture(test)

    def test_ends_are_recorded_as_answered_or_not(self) -> None:
        async def test(fixture: RequestFixture) -> None:
            fixture.upstream.faults.append(Fault.CLOSE_AFTER_RUN)
            await fixture.send()
            await fixture.send(key="k2")
            self.assertEqual(
                [(builders.SERVICE, False), (builders.SERVICE, True)],
                fixture.recorded_ends,
            )

        run_with_fixture(test)

    def test_repeated_request_id_is_not_run_and_gets_unknown(self) -> None:
        async def test(fixture: RequestFixture) -> None:
            await fixture.send()
            repeat = await fixture.send()
            self.assertThat(repeat.status_code, matchers.Equals(409))
            outcome = repeat.headers["sapphire-outcome"]
            self.assertThat(outcome, matchers.Equals("unknown"))
            self.assertThat(
                fixture.upstream.runs_by_id["k1"], matchers.Equals(1)
            )

        run_with_fixture(test)

    def test_outcome_and_runs_for_each_upstream_fault(self) -> None:
        for case in CASES:

            async def test(fixture: RequestFixture, case: Case = case) -> None:
                fixture.upstream.faults.append(case.fault)
                answer = await fixture.send(
                    case.method, x_request_deadline_ms=ANSWERED_DEADLINE_MS
                )
                seen = Case(
                    case.fault,
                    case.method,
                    answer.status_code,
                    answer.headers.get("sapphire-outcome"),
                    fixture.upstream.runs_by_id["k1"],
                )
                self.assertThat(seen, matchers.Equals(case))

            run_with_fixture(test)

    def test_second_copy_of_an_answer_reaches_no_other_caller(self) -> None:
        copies = (Fault.DUPLICATE, Fault.LATE_DUPLICATE)
        unnamed = (Fault.NO_REQUEST_ID, Fault.LATE_DUPLICATE_NO_REQUEST_ID)
        for faults in (
            copies,
            (Fault.NONE, *copies),
            unnamed[1:] * 3,
            (Fault.NONE, *unnamed),
            (unnamed[0], Fault.NONE, unnamed[1]),
        ):

            async def test(
                fixture: RequestFixture, faults: tuple[Fault, ...] = faults
            ) -> None:
                fixture.upstream.faults.extend(faults)
                for number in range(8):
                    key = f"k{number}"
                    answer = await fixture.send("PUT", key)
                    # A PUT may be retried, so that each gets an answer.
                    self.assertEqual(OK, answer.status_code)
                    self.assertEqual(
                        (key, faults), (answer.json()["run"], faults)
                    )

            run_with_fixture(test)

    def test_targets_that_are_no_paths_end_no_other_request(self) -> None:
        async def test(fixture: RequestFixture) -> None:
            for raw_path in (b"*", b"http://a/", b"a:1", b""):
                statuses: list[int] = []

                async def receive() -> MutableMapping[str, Any]:
                    return {"type": "http.request", "body": b""}

                async def send(
                    event: MutableMapping[str, Any],
                    statuses: list[int] = statuses,
                ) -> None:
                    statuses.append(event.get("status", 0))

                scope = {
                    "type": "http",
                    "method": "OPTIONS",
                    "headers": [(b"host", builders.SERVICE.encode())],
                    "raw_path": raw_path,
                    "path": "",
                }
                await fixture.app(scope, receive, send)
                self.assertEqual([400, 0], statuses)
            self.assertEqual(OK, (await fixture.send()).status_code)

        run_with_fixture(test)

    def test_an_unforeseen_error_ends_one_attempt_only(self) -> None:
        async def test(fixture: RequestFixture) -> None:
            name = "_receive_answer"
            for error in (KeyError("x"), RecursionError("x")):
                with mock.patch.object(
                    upstream_client.UpstreamClient, name, side_effect=error
                ):
                    answer = await fixture.send(key=repr(error))
                outcome = answer.headers["sapphire-outcome"]
                self.assertEqual(
                    (502, "unknown"), (answer.status_code, outcome)
                )
            with mock.patch.object(
                claim_store_fake.FakeClaimStore,
                "apply",
                side_effect=KeyError("x"),
            ):
                refused = await fixture.send(key="k3")
                self.assertEqual(503, refused.status_code)
            # The claim store counts as lost for a while; a GET needs no claim.
            read = await fixture.send("GET")
            self.assertEqual(OK, read.status_code)

        run_with_fixture(test)

    def test_request_to_unreachable_upstream_gets_not_run(self) -> None:
        async def test(fixture: RequestFixture) -> None:
            target = builders.upstream(port=1, slots=3)
            configured = builders.service([target])
            fixture.service.set_configuration(
                builders.configuration([configured])
            )
            answer = await fixture.send(x_request_deadline_ms="3000")
            self.assertThat(answer.status_code, matchers.Equals(503))
            outcome = answer.headers["sapphire-outcome"]
            self.assertThat(outcome, matchers.Equals("not-run"))
            self.assertIn("retry-after", answer.headers)

        run_with_fixture(test)

    def test_without_the_store_only_requests_without_a_claim_run(self) -> None:
        async def test(fixture: RequestFixture) -> None:
            fixture.store.default_fault = claim_store_fake.StoreFault.LOST_AFTER
            refused = await fixture.send()
            self.assertThat(refused.status_code, matchers.Equals(503))
            outcome = refused.headers["sapphire-outcome"]
            self.assertThat(outcome, matchers.Equals("unknown"))
            read = await fixture.send("GET")
            self.assertThat(read.status_code, matchers.Equals(OK))
            self.assertIn("retry-after", refused.headers)
            self.assertThat(
                fixture.upstream.runs_by_id["k1"], matchers.Equals(1)
            )

        run_with_fixture(test)

    def test_no_more_requests_than_slots_run_at_an_upstream(self) -> None:
        async def test(fixture: RequestFixture) -> None:
            statuses = []

            async def send_one(number: int) -> None:
                answer = await fixture.send(key=f"k{number}")
                statuses.append(answer.status_code)

            async with anyio.create_task_group() as tasks:
                for number in range(20):
                    tasks.start_soon(send_one, number)
            self.assertThat(statuses, matchers.Equals([OK] * 20))
            self.assertThat(fixture.upstream.max_running, matchers.Equals(3))
            self.assertThat(fixture.upstream.shed, matchers.Equals(0))

        run_with_fixture(test)

    def test_too_large_body_is_refused(self) -> None:
        async def test(fixture: RequestFixture) -> None:
            answer = await fixture.send()
            self.assertThat(answer.status_code, matchers.Equals(413))
            runs = fixture.upstream.runs_by_id.total()
            self.assertThat(runs, matchers.Equals(0))

        run_with_fixture(test, records.Limits(max_body_bytes=4))

    def test_upstream_gets_the_remaining_time_as_deadline(self) -> None:
        async def test(fixture: RequestFixture) -> None:
            await fixture.send(x_request_deadline_ms="900")
            passed = fixture.upstream.received_headers[0][
                "x-request-deadline-ms"
            ]
            self.assertThat(int(passed), matchers.LessThan(900))

        run_with_fixture(test)

    def test_drain_finishes_requests_in_flight(self) -> None:
        async def test(fixture: RequestFixture) -> None:
            statuses = []

            async def send_one() -> None:
                answer = await fixture.send()
                statuses.append(answer.status_code)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send_one)
                while fixture.upstream.running == 0:
                    await anyio.sleep(0.005)
                fixture.service.begin_drain()
                await fixture.service.wait_idle()
                late = await fixture.send(key="k2")
            self.assertThat(statuses, matchers.Equals([OK]))
            self.assertThat(late.status_code, matchers.Equals(503))
            outcome = late.headers["sapphire-outcome"]
            self.assertThat(outcome, matchers.Equals("not-run"))

        run_with_fixture(test, service_ms=150)
