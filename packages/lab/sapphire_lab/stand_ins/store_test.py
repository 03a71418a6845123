"""Contract of the store's client, held against the stand-in store."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import functools
from typing import Any

import anyio
import httpx
import testtools
from testtools import matchers

from sapphire_data import clock
from sapphire_lab.stand_ins import store
from sapphire_lab.stand_ins import store_faults
from sapphire_net.store import client
from sapphire_net.store import data
from sapphire_net.store import failures
from sapphire_net.store import interface


@dataclasses.dataclass(slots=True)
class Bench:
    """A stand-in store with a client and a clock that the test moves."""

    fake_store: store.FakeStoreServer
    client: client.EtcdStore
    clock: clock.ManualClock
    base_url: str


def run(
    test: Callable[[Bench], Awaitable[None]], timeout_ms: int = 500
) -> None:
    """Runs a test body against a stand-in store on a socket."""

    async def body() -> None:
        time = clock.ManualClock(1_000_000)
        fake_store = store.FakeStoreServer(time)
        async with (
            store.run_server(fake_store) as base_url,
            client.open_http_client(base_url, timeout_ms) as http,
        ):
            await test(
                Bench(fake_store, client.EtcdStore(http), time, base_url)
            )

    anyio.run(body)


async def put(bench: Bench, key: str, value: bytes, seen: int) -> Any:
    """Puts a key if its last change is the one seen."""
    return await bench.client.transact(
        [data.Compare(key, seen)], [data.Put(key, value)]
    )


@dataclasses.dataclass(frozen=True, slots=True)
class FaultCase:
    """One row of the fault table.

    Attributes:
        faults: What is switched on.
        read: The type of the read's failure; none if it succeeds.
        write: The type of the write's failure; none if it succeeds.
        is_applied: Whether the write took effect.
        timeout_ms: The longest wait of the client.
    """

    faults: dict[str, Any]
    read: type | None
    write: type | None
    is_applied: bool
    timeout_ms: int = 10_000


FAULT_TABLE = (
    FaultCase({}, None, None, True),
    FaultCase(
        {"is_down": True},
        failures.StoreUnavailable,
        failures.StoreOutcomeUnknown,
        False,
    ),
    FaultCase(
        {"slow_ms": 1_000},
        failures.StoreUnavailable,
        failures.StoreOutcomeUnknown,
        True,
        timeout_ms=200,
    ),
    FaultCase({"slow_ms": 50}, None, None, True),
    FaultCase({"lost_answers": 1}, None, failures.StoreOutcomeUnknown, True),
    FaultCase({"lost_requests": 1}, None, failures.StoreOutcomeUnknown, False),
    FaultCase(
        {"reads_per_second": 0, "writes_per_second": 0},
        failures.StoreThrottled,
        failures.StoreThrottled,
        False,
    ),
    FaultCase({"has_old_reads": True}, None, None, True),
)


class FaultTableTest(testtools.TestCase):
    def test_each_fault_gives_its_typed_outcome(self) -> None:
        for case in FAULT_TABLE:
            run(functools.partial(self._check, case), case.timeout_ms)

    async def _check(self, case: FaultCase, bench: Bench) -> None:
        bench.fake_store.set_faults(store_faults.Faults(**case.faults))
        read = await bench.client.get("a")
        write = await put(bench, "a", b"1", 0)
        for result, expected in ((read, case.read), (write, case.write)):
            found = type(result.error) if result.is_error() else None
            self.assertThat(found, matchers.Equals(expected), str(case))
        if case.faults.get("slow_ms"):
            # A late write still takes effect after its caller gave up.
            while not bench.fake_store.state.items_by_key:
                await anyio.sleep(0.01)
        applied = "a" in bench.fake_store.state.items_by_key
        self.assertThat(applied, matchers.Equals(case.is_applied), str(case))


class ClientTest(testtools.TestCase):
    def test_compare_and_swap_lets_one_of_two_writers_through(self) -> None:
        async def body(bench: Bench) -> None:
            first = (await put(bench, "a", b"1", 0)).ok
            second = (await put(bench, "a", b"2", 0)).ok
            read = (await bench.client.get("a")).ok
            self.assertThat(first.succeeded, matchers.Equals(True))
            self.assertThat(second.succeeded, matchers.Equals(False))
            self.assertThat(read.items[0].value, matchers.Equals(b"1"))

        run(body)

    def test_prefix_read_is_ordered_and_limited(self) -> None:
        async def body(bench: Bench) -> None:
            for key in ("p/b", "p/a", "q"):
                await put(bench, key, key.encode(), 0)
            read = (await bench.client.get("p/", is_prefix=True)).ok
            keys = [item.key for item in read.items]
            self.assertThat(keys, matchers.Equals(["p/a", "p/b"]))
            cut = (await bench.client.get("p/", is_prefix=True, limit=1)).ok
            self.assertThat(cut.has_more, matchers.Equals(True))
            bare = await bench.client.get(
                "p/", is_prefix=True, is_keys_only=True
            )
            values = [item.value for item in bare.ok.items]
            self.assertThat(values, matchers.Equals([b"", b""]))

        run(body)

    def test_value_over_the_limit_is_rejected(self) -> None:
        async def body(bench: Bench) -> None:
            largest = bytes(interface.MAX_VALUE_BYTES)
            self.assertThat(
                (await put(bench, "a", largest, 0)).is_ok(),
                matchers.Equals(True),
            )
            refused = await put(bench, "b", largest + b"1", 0)
            self.assertIsInstance(refused.error, failures.StoreRejected)

        run(body)

    def test_lapsed_lease_takes_its_keys_and_cannot_be_renewed(self) -> None:
        async def body(bench: Bench) -> None:
            lease = (await bench.client.grant_lease(1_500)).ok
            self.assertThat(lease.time_to_live_ms, matchers.Equals(2_000))
            await bench.client.transact(
                [], [data.Put("a", b"1", lease_id=lease.lease_id)]
            )
            bench.clock.advance(1_999)
            renewed = (await bench.client.renew_lease(lease.lease_id)).ok
            self.assertThat(renewed.time_to_live_ms, matchers.Equals(2_000))
            bench.clock.advance(2_000)
            self.assertThat(
                len((await bench.client.get("a")).ok.items), matchers.Equals(0)
            )
            late = (await bench.client.renew_lease(lease.lease_id)).ok
            self.assertThat(late.time_to_live_ms, matchers.Equals(0))
            refused = await bench.client.transact(
                [], [data.Put("a", b"2", lease_id=lease.lease_id)]
            )
            self.assertIsInstance(refused.error, failures.StoreRejected)

        run(body)

    def test_control_endpoint_switches_faults_and_lapses_leases(self) -> None:
        async def body(bench: Bench) -> None:
            lease = (await bench.client.grant_lease(60_000)).ok
            async with httpx.AsyncClient(base_url=bench.base_url) as http:
                await http.post("/control/lapse-leases")
                bad = await http.post("/control/faults", json={"nope": 1})
                await http.post("/control/faults", json={"is_down": True})
                usage = (await http.get("/control/usage")).json()
            self.assertThat(bad.status_code, matchers.Equals(400))
            self.assertThat(
                usage["calls"], matchers.Equals({"/v3/lease/grant": 1})
            )
            self.assertThat(
                len(bench.fake_store.state.leases_by_id), matchers.Equals(0)
            )
            failed = await bench.client.renew_lease(lease.lease_id)
            self.assertThat(failed.is_error(), matchers.Equals(True))

        run(body)

    def test_unreachable_store_had_no_effect(self) -> None:
        async def body() -> None:
            async with client.open_http_client("http://127.0.0.1:1") as http:
                outcome = await client.EtcdStore(http).transact([], [])
            self.assertIsInstance(outcome.error, failures.StoreUnavailable)

        anyio.run(body)

    def test_calls_without_effect_go_to_the_next_endpoint(self) -> None:
        async def body(bench: Bench) -> None:
            async with client.open_http_client("http://127.0.0.1:1") as http:
                under_test = client.EtcdStore(http, [bench.base_url])
                for _ in range(2):
                    written = await under_test.transact(
                        [], [data.Put("a", b"")]
                    )
                    self.assertThat(written.is_ok(), matchers.Equals(True))
            # The endpoint that failed is asked once.
            calls = under_test.calls_by_path["/v3/kv/txn"]
            self.assertThat(calls, matchers.Equals(3))

        run(body)

    def test_write_of_unknown_outcome_is_not_made_again_elsewhere(self) -> None:
        async def body(bench: Bench) -> None:
            bench.fake_store.set_faults(store_faults.Faults(lost_answers=1))
            async with client.open_http_client(bench.base_url) as http:
                under_test = client.EtcdStore(http, [bench.base_url])
                written = await under_test.transact([], [data.Put("a", b"")])
            self.assertIsInstance(written.error, failures.StoreOutcomeUnknown)
            calls = bench.fake_store.calls_by_path["/v3/kv/txn"]
            self.assertThat(calls, matchers.Equals(1))

        run(body)

    def test_answers_outside_the_protocol_are_typed(self) -> None:
        async def body() -> None:
            for content in (
                b"",
                b"[]",
                b"{}",
                b'{"header": {"revision": "x"}}',
            ):
                transport = httpx.MockTransport(
                    lambda _, content=content: httpx.Response(
                        200, content=content
                    )
                )
                async with httpx.AsyncClient(
                    transport=transport, base_url="http://store"
                ) as http:
                    under_test = client.EtcdStore(http)
                    read = await under_test.get("a")
                    write = await under_test.transact([], [])
                self.assertIsInstance(read.error, failures.StoreAnswerInvalid)
                self.assertIsInstance(write.error, failures.StoreOutcomeUnknown)

        anyio.run(body)


class WatchTest(testtools.TestCase):
    def test_watch_reports_past_and_coming_changes_until_it_ends(self) -> None:
        async def body(bench: Bench) -> None:
            await put(bench, "a", b"1", 0)
            sender, receiver = anyio.create_memory_object_stream[
                data.WatchEvent
            ](10)
            ended: list[failures.StoreFailure] = []

            async def watch() -> None:
                ended.append(await bench.client.watch("a", 2, sender))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(watch)
                started = await receiver.receive()
                self.assertThat(
                    started == data.WatchStarted(2), matchers.Equals(True)
                )
                first: Any = await receiver.receive()
                await bench.client.transact([], [data.Put("b", b"other")])
                await bench.client.transact([], [data.Delete("a")])
                second: Any = await receiver.receive()
                self.assertThat(
                    bench.fake_store.watch_count, matchers.Equals(1)
                )
                bench.fake_store.set_faults(store_faults.Faults(is_down=True))
            self.assertThat(first.item.value, matchers.Equals(b"1"))
            self.assertThat(second.is_deleted, matchers.Equals(True))
            self.assertIsInstance(ended[0], failures.WatchEnded)
            receiver.close()
            sender.close()

        run(body)

    def test_watch_from_a_forgotten_revision_says_so(self) -> None:
        async def body(bench: Bench) -> None:
            await put(bench, "a", b"1", 0)
            bench.fake_store.state.compact()
            sender, receiver = anyio.create_memory_object_stream[
                data.WatchEvent
            ](10)
            with sender, receiver:
                ended = await bench.client.watch("a", 1, sender)
            self.assertIsInstance(ended, failures.WatchCompacted)

        run(body)

    def test_watch_of_a_store_that_is_down_fails_at_once(self) -> None:
        async def body(bench: Bench) -> None:
            bench.fake_store.set_faults(store_faults.Faults(is_down=True))
            sender, receiver = anyio.create_memory_object_stream[
                data.WatchEvent
            ](10)
            with sender, receiver:
                ended = await bench.client.watch("a", 0, sender)
            self.assertIsInstance(ended, failures.StoreUnavailable)

        run(body)
