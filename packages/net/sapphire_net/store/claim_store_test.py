"""Contract of the claims, held against the stand-in store on a socket."""

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
    """Two hosts with a store of claims each, on one stand-in store."""

    stand_in: store.StandInStore
    first: claim_store.KeyValueClaimStore
    second: claim_store.KeyValueClaimStore
    time: clock.ManualClock


def run(test: Callable[[Bench], Awaitable[None]]) -> None:
    async def body() -> None:
        time = clock.ManualClock(1_000_000)
        stand_in = store.StandInStore(time)
        async with (
            store.running(stand_in) as url,
            client.open_http_client(url, TIMEOUT_MS) as http,
        ):
            environment = environments.Environment(
                client.EtcdStore(http), "/test/"
            )
            await test(
                Bench(
                    stand_in,
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
            mine = await holders(bench.first, batch(1, {"a": "n1", "b": "n1"}))
            self.assertEqual({"a": "n1", "b": "n1"}, mine)
            other = await holders(
                bench.second, batch(1, {"b": "n2", "c": "n2"})
            )
            self.assertEqual({"b": "n1", "c": "n2"}, other)

        run(check)

    def test_unseen_ids_cost_one_call(self) -> None:
        async def check(bench: Bench) -> None:
            for number in range(3):
                await holders(bench.first, batch(number, {f"k{number}": "n"}))
            calls = bench.stand_in.calls_by_path[etcd_messages.TRANSACTION_PATH]
            self.assertEqual(3, calls)

        run(check)

    def test_a_release_frees_only_its_own_claim(self) -> None:
        async def check(bench: Bench) -> None:
            await holders(bench.first, batch(1, {"a": "n1", "b": "n1"}))
            releases = {"a": "n1", "b": "another", "never": "n1"}
            await holders(bench.second, batch(1, {}, releases))
            held = await holders(bench.second, batch(2, {"a": "n2", "b": "n2"}))
            self.assertEqual({"a": "n2", "b": "n1"}, held)

        run(check)

    def test_a_call_repeated_after_each_fault_finds_its_own_claim(
        self,
    ) -> None:
        async def check(bench: Bench) -> None:
            await holders(bench.first, batch(0, {"warm": "n"}))
            faults_table = (
                store_faults.Faults(is_down=True),
                store_faults.Faults(lost_requests=1),
                store_faults.Faults(lost_answers=1),
                store_faults.Faults(writes_per_second=0),
            )
            for number, faults in enumerate(faults_table, start=1):
                bench.stand_in.set_faults(faults)
                wanted = batch(number, {f"k{number}": "n1"})
                failed = await bench.first.apply(wanted)
                self.assertTrue(failed.is_error(), str(faults))
                bench.stand_in.set_faults(store_faults.Faults())
                held = await holders(bench.first, wanted)
                self.assertEqual({f"k{number}": "n1"}, held)

        run(check)

    def test_a_lapsed_lease_is_replaced(self) -> None:
        async def check(bench: Bench) -> None:
            await holders(bench.first, batch(1, {"a": "n1"}))
            for lease_id in list(bench.stand_in.state.leases_by_id):
                bench.stand_in.state.revoke(lease_id)
            await bench.first.apply(batch(2, {"b": "n1"}))
            held = await holders(bench.first, batch(3, {"b": "n1"}))
            self.assertEqual({"b": "n1"}, held)

        run(check)

    def test_claims_outlive_their_host_and_end_after_their_retention(
        self,
    ) -> None:
        async def check(bench: Bench) -> None:
            await holders(bench.first, batch(1, {"a": "n1"}))
            bench.time.advance(claim_store.RETENTION_MS)
            still = await holders(bench.second, batch(1, {"a": "n2"}))
            self.assertEqual({"a": "n1"}, still)
            bench.time.advance(2 * claim_store.RETENTION_MS)
            later = await holders(bench.second, batch(2, {"a": "n2"}))
            self.assertEqual({"a": "n2"}, later)

        run(check)
