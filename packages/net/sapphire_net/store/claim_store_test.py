"""Tests claims against the fake store on a socket."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

import anyio
import testtools

from sapphire_core.requests import data as request_data
from sapphire_data import clock
from sapphire_lab.stand_ins import store
from sapphire_lab.stand_ins import store_faults
from sapphire_net.store import claim_store
from sapphire_net.store import client
from sapphire_net.store import environment as environments
from sapphire_net.store import etcd_messages

TIMEOUT_MS = 500


@dataclasses.dataclass(slots=True)
class Bench:
    """Two hosts with a claim store each, on one fake key-value store."""

    fake_store: store.FakeStoreServer
    first: claim_store.KeyValueClaimStore
    second: claim_store.KeyValueClaimStore
    time: clock.ManualClock


def run(test: Callable[[Bench], Awaitable[None]]) -> None:
    async def body() -> None:
        time = clock.ManualClock(1_000_000)
        fake_store = store.FakeStoreServer(time)
        async with (
            store.run_server(fake_store) as url,
            client.open_http_client(url, TIMEOUT_MS) as http,
        ):
            environment = environments.Environment(
                client.EtcdStore(http), "/test/"
            )
            await test(
                Bench(
                    fake_store,
                    claim_store.KeyValueClaimStore(environment, time),
                    claim_store.KeyValueClaimStore(environment, time),
                    time,
                )
            )

    anyio.run(body)


def batch(
    number: int,
    creates: dict[str, str],
    releases: dict[str, str] | None = None,
) -> request_data.ClaimBatch:
    return request_data.ClaimBatch(
        number,
        tuple(request_data.Claim(*item) for item in creates.items()),
        tuple(request_data.Claim(*item) for item in (releases or {}).items()),
    )


async def holders(
    claims: claim_store.KeyValueClaimStore, wanted: request_data.ClaimBatch
) -> dict[str, str]:
    outcome = await claims.apply(wanted)
    assert outcome.is_ok(), outcome
    return dict(outcome.ok.nonces_by_key)


class KeyValueClaimStoreTest(testtools.TestCase):
    def test_one_of_two_hosts_holds_an_id(self) -> None:
        async def check(bench: Bench) -> None:
            first = await holders(bench.first, batch(1, {"a": "n1", "b": "n1"}))
            self.assertEqual({"a": "n1", "b": "n1"}, first)
            second = await holders(
                bench.second, batch(1, {"b": "n2", "c": "n2"})
            )
            self.assertEqual({"b": "n1", "c": "n2"}, second)

        run(check)

    def test_unseen_ids_cost_one_call(self) -> None:
        async def check(bench: Bench) -> None:
            for number in range(3):
                await holders(bench.first, batch(number, {f"k{number}": "n"}))
            calls = bench.fake_store.calls_by_path[
                etcd_messages.TRANSACTION_PATH
            ]
            self.assertEqual(3, calls)

        run(check)

    def test_release_deletes_only_the_claim_with_its_nonce(self) -> None:
        async def check(bench: Bench) -> None:
            await holders(bench.first, batch(1, {"a": "n1", "b": "n1"}))
            releases = {"a": "n1", "b": "another", "never": "n1"}
            await holders(bench.second, batch(1, {}, releases))
            held = await holders(bench.second, batch(2, {"a": "n2", "b": "n2"}))
            self.assertEqual({"a": "n2", "b": "n1"}, held)

        run(check)

    def test_batch_repeated_after_a_fault_holds_its_claim(self) -> None:
        async def check(bench: Bench) -> None:
            await holders(bench.first, batch(0, {"warm": "n"}))
            all_faults = (
                store_faults.Faults(is_down=True),
                store_faults.Faults(lost_requests=1),
                store_faults.Faults(lost_answers=1),
                store_faults.Faults(writes_per_second=0),
            )
            for number, faults in enumerate(all_faults, start=1):
                bench.fake_store.set_faults(faults)
                wanted = batch(number, {f"k{number}": "n1"})
                failed = await bench.first.apply(wanted)
                self.assertTrue(failed.is_error(), str(faults))
                bench.fake_store.set_faults(store_faults.Faults())
                held = await holders(bench.first, wanted)
                self.assertEqual({f"k{number}": "n1"}, held)

        run(check)

    def test_lease_that_the_store_revoked_is_replaced(self) -> None:
        async def check(bench: Bench) -> None:
            await holders(bench.first, batch(1, {"a": "n1"}))
            for lease_id in list(bench.fake_store.state.leases_by_id):
                bench.fake_store.state.revoke_lease(lease_id)
            await bench.first.apply(batch(2, {"b": "n1"}))
            held = await holders(bench.first, batch(3, {"b": "n1"}))
            self.assertEqual({"b": "n1"}, held)

        run(check)

    def test_claims_outlive_their_host_and_expire_after_the_retention(
        self,
    ) -> None:
        async def check(bench: Bench) -> None:
            await holders(bench.first, batch(1, {"a": "n1"}))
            bench.time.advance(claim_store.RETENTION_MS)
            retained = await holders(bench.second, batch(1, {"a": "n2"}))
            self.assertEqual({"a": "n1"}, retained)
            bench.time.advance(2 * claim_store.RETENTION_MS)
            expired = await holders(bench.second, batch(2, {"a": "n2"}))
            self.assertEqual({"a": "n2"}, expired)

        run(check)
