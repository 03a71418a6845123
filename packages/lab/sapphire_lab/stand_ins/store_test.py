"""Tests of the client of the store against the fake store."""

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
class Fixture:
    """A fake store with a client, and a clock that the test advances."""

    fake_store: store.FakeStoreServer
    client: client.EtcdStore
    clock: clock.ManualClock
    base_url: str


def run_with_store(
    test: Callable[[Fixture], Awaitable[None]], timeout_ms: int = 500
) -> None:
    """Runs a test body against a fake store on a socket."""

    async def body() -> None:
        time = clock.ManualClock(1_000_000)
        fake_store = store.FakeStoreServer(time)
        async with (
            store.run_server(fake_store) as base_url,
            client.open_http_client(base_url, timeout_ms) as http,
        ):
            await test(
                Fixture(fake_store, client.EtcdStore(http), time, base_url)
            )

    anyio.run(body)


async def put(
    fixture: Fixture, key: str, value: bytes, mod_revision: int
) -> Any:
    """Puts a key if it last changed at a revision; 0 for a new key."""
    return await fixture.client.transact(
        [data.Compare(key, mod_revision)], [data.Put(key, value)]
    )


@dataclasses.dataclass(frozen=True, slots=True)
class FaultCase:
    """A set of faults with the expected outcome of a read and a write.

    Attributes:
        faults: The fields of the faults that are on.
        read: The failure type of the read; None if it succeeds.
        write: The failure type of the write; None if it succeeds.
        is_applied: Whether the write took effect.
        timeout_ms: The timeout of the client.
    """

    faults: dict[str, Any]
    read: type | None
    write: type | None
    is_applied: bool
    timeout_ms: int = 10_000


FAULT_CASES = (
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


class FaultCaseTest(testtools.TestCase):
    def test_each_fault_gives_the_expected_failure_types(self) -> None:
        for case in FAULT_CASES:
            run_with_store(
                functools.partial(self._check, case), case.timeout_ms
            )

    async def _check(self, case: FaultCase, fixture: Fixture) -> None:
        fixture.fake_store.set_faults(store_faults.Faults(**case.faults))
        read = await fixture.client.get("a")
        write = await put(fixture, "a", b"1", 0)
        for result, expected in ((read, case.read), (write, case.write)):
            failure_type = type(result.error) if result.is_error() else None
            self.assertThat(failure_type, matchers.Equals(expected), str(case))
        if case.faults.get("slow_ms"):
            # A slow write still takes effect after the timeout of its client.
            while not fixture.fake_store.state.items_by_key:
                await anyio.sleep(0.01)
        applied = "a" in fixture.fake_store.state.items_by_key
        self.assertThat(applied, matchers.Equals(case.is_applied), str(case))


class ClientTest(testtools.TestCase):
    def test_only_one_of_two_compare_and_swap_writes_succeeds(self) -> None:
        async def body(fixture: Fixture) -> None:
            first = (await put(fixture, "a", b"1", 0)).ok
            second = (await put(fixture, "a", b"2", 0)).ok
            read = (await fixture.client.get("a")).ok
            self.assertThat(first.succeeded, matchers.Equals(True))
            self.assertThat(second.succeeded, matchers.Equals(False))
            self.assertThat(read.items[0].value, matchers.Equals(b"1"))

        run_with_store(body)

    def test_prefix_read_is_ordered_and_limited(self) -> None:
        async def body(fixture: Fixture) -> None:
            for key in ("p/b", "p/a", "q"):
                await put(fixture, key, key.encode(), 0)
            read = (await fixture.client.get("p/", is_prefix=True)).ok
            keys = [item.key for item in read.items]
            self.assertThat(keys, matchers.Equals(["p/a", "p/b"]))
            limited = (
                await fixture.client.get("p/", is_prefix=True, limit=1)
            ).ok
            self.assertThat(limited.has_more, matchers.Equals(True))
            keys_only = await fixture.client.get(
                "p/", is_prefix=True, is_keys_only=True
            )
            values = [item.value for item in keys_only.ok.items]
            self.assertThat(values, matchers.Equals([b"", b""]))

        run_with_store(body)

    def test_value_over_the_limit_is_rejected(self) -> None:
        async def body(fixture: Fixture) -> None:
            largest = bytes(interface.MAX_VALUE_BYTES)
            self.assertThat(
                (await put(fixture, "a", largest, 0)).is_ok(),
                matchers.Equals(True),
            )
            rejected = await put(fixture, "b", largest + b"1", 0)
            self.assertIsInstance(rejected.error, failures.StoreRejected)

        run_with_store(body)

    def test_expired_lease_deletes_its_keys_and_cannot_be_renewed(self) -> None:
        async def body(fixture: Fixture) -> None:
            lease = (await fixture.client.grant_lease(1_500)).ok
            self.assertThat(lease.time_to_live_ms, matchers.Equals(2_000))
            await fixture.client.transact(
                [], [data.Put("a", b"1", lease_id=lease.lease_id)]
            )
            fixture.clock.advance(1_999)
            renewed = (await fixture.client.renew_lease(lease.lease_id)).ok
            self.assertThat(renewed.time_to_live_ms, matchers.Equals(2_000))
            fixture.clock.advance(2_000)
            self.assertThat(
                len((await fixture.client.get("a")).ok.items),
                matchers.Equals(0),
            )
            renewed_late = (await fixture.client.renew_lease(lease.lease_id)).ok
            self.assertThat(renewed_late.time_to_live_ms, matchers.Equals(0))
            rejected = await fixture.client.transact(
                [], [data.Put("a", b"2", lease_id=lease.lease_id)]
            )
            self.assertIsInstance(rejected.error, failures.StoreRejected)

        run_with_store(body)

    def test_control_endpoints_set_faults_and_revoke_leases(self) -> None:
        async def body(fixture: Fixture) -> None:
            lease = (await fixture.client.grant_lease(60_000)).ok
            async with httpx.AsyncClient(base_url=fixture.base_url) as http:
                await http.post("/control/lapse-leases")
                invalid = await http.post("/control/faults", json={"nope": 1})
                await http.post("/control/faults", json={"is_down": True})
                usage = (await http.get("/control/usage")).json()
            self.assertThat(invalid.status_code, matchers.Equals(400))
            self.assertThat(
                usage["calls"], matchers.Equals({"/v3/lease/grant": 1})
            )
            self.assertThat(
                len(fixture.fake_store.state.leases_by_id), matchers.Equals(0)
            )
            failed = await fixture.client.renew_lease(lease.lease_id)
            self.assertThat(failed.is_error(), matchers.Equals(True))

        run_with_store(body)

    def test_write_to_unreachable_store_fails_as_unavailable(self) -> None:
        async def body() -> None:
            async with client.open_http_client("http://127.0.0.1:1") as http:
                outcome = await client.EtcdStore(http).transact([], [])
            self.assertIsInstance(outcome.error, failures.StoreUnavailable)

        anyio.run(body)

    def test_call_without_effect_is_retried_at_next_endpoint(self) -> None:
        async def body(fixture: Fixture) -> None:
            async with client.open_http_client("http://127.0.0.1:1") as http:
                etcd_store = client.EtcdStore(http, [fixture.base_url])
                for _ in range(2):
                    written = await etcd_store.transact(
                        [], [data.Put("a", b"")]
                    )
                    self.assertThat(written.is_ok(), matchers.Equals(True))
            # Only the first write calls the unreachable endpoint: one call
            # fails and two succeed.
            calls = etcd_store.calls_by_path["/v3/kv/txn"]
            self.assertThat(calls, matchers.Equals(3))

        run_with_store(body)

    def test_write_of_unknown_outcome_is_not_retried_at_next_endpoint(
        self,
    ) -> None:
        async def body(fixture: Fixture) -> None:
            fixture.fake_store.set_faults(store_faults.Faults(lost_answers=1))
            async with client.open_http_client(fixture.base_url) as http:
                etcd_store = client.EtcdStore(http, [fixture.base_url])
                written = await etcd_store.transact([], [data.Put("a", b"")])
            self.assertIsInstance(written.error, failures.StoreOutcomeUnknown)
            calls = fixture.fake_store.calls_by_path["/v3/kv/txn"]
            self.assertThat(calls, matchers.Equals(1))

        run_with_store(body)

    def test_malformed_response_gives_typed_failure(self) -> None:
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
                    etcd_store = client.EtcdStore(http)
                    read = await etcd_store.get("a")
                    write = await etcd_store.transact([], [])
                self.assertIsInstance(read.error, failures.StoreAnswerInvalid)
                self.assertIsInstance(write.error, failures.StoreOutcomeUnknown)

        anyio.run(body)


class WatchTest(testtools.TestCase):
    def test_watch_reports_past_and_future_changes_until_it_ends(self) -> None:
        async def body(fixture: Fixture) -> None:
            await put(fixture, "a", b"1", 0)
            sender, receiver = anyio.create_memory_object_stream[
                data.WatchEvent
            ](10)
            ended: list[failures.StoreFailure] = []

            async def watch() -> None:
                ended.append(await fixture.client.watch("a", 2, sender))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(watch)
                started = await receiver.receive()
                self.assertThat(
                    started == data.WatchStarted(2), matchers.Equals(True)
                )
                first: Any = await receiver.receive()
                await fixture.client.transact([], [data.Put("b", b"other")])
                await fixture.client.transact([], [data.Delete("a")])
                second: Any = await receiver.receive()
                self.assertThat(
                    fixture.fake_store.watch_count, matchers.Equals(1)
                )
                fixture.fake_store.set_faults(store_faults.Faults(is_down=True))
            self.assertThat(first.item.value, matchers.Equals(b"1"))
            self.assertThat(second.is_deleted, matchers.Equals(True))
            self.assertIsInstance(ended[0], failures.WatchEnded)
            receiver.close()
            sender.close()

        run_with_store(body)

    def test_watch_from_compacted_revision_fails_as_compacted(self) -> None:
        async def body(fixture: Fixture) -> None:
            await put(fixture, "a", b"1", 0)
            fixture.fake_store.state.compact()
            sender, receiver = anyio.create_memory_object_stream[
                data.WatchEvent
            ](10)
            with sender, receiver:
                ended = await fixture.client.watch("a", 1, sender)
            self.assertIsInstance(ended, failures.WatchCompacted)

        run_with_store(body)

    def test_watch_fails_at_once_while_store_is_down(self) -> None:
        async def body(fixture: Fixture) -> None:
            fixture.fake_store.set_faults(store_faults.Faults(is_down=True))
            sender, receiver = anyio.create_memory_object_stream[
                data.WatchEvent
            ](10)
            with sender, receiver:
                ended = await fixture.client.watch("a", 0, sender)
            self.assertIsInstance(ended, failures.StoreUnavailable)

        run_with_store(body)
