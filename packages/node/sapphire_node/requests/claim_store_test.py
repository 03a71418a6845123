from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
from typing import Any

import anyio
import testtools
from testtools import matchers

from sapphire_core.requests import data
from sapphire_data import clock
from sapphire_lab.stand_ins import store
from sapphire_lab.stand_ins import store_faults
from sapphire_net.store import client
from sapphire_node.requests import claim_store


@dataclasses.dataclass
class Bench:
    stand_in: store.StandInStore
    gateway: client.GatewayStore
    clock: clock.ManualClock
    one: claim_store.StoredClaims
    two: claim_store.StoredClaims


def run_bench(test: Callable[[Bench], Awaitable[None]]) -> None:
    async def body() -> None:
        time = clock.ManualClock(1_000_000)
        stand_in = store.StandInStore(time)
        async with (
            store.running(stand_in) as base_url,
            client.open_client(base_url, 500) as http,
        ):
            gateway = client.GatewayStore(http)
            one = claim_store.StoredClaims(gateway, time)
            two = claim_store.StoredClaims(gateway, time)
            await test(Bench(stand_in, gateway, time, one, two))

    anyio.run(body)


def batch(
    host: str, *keys: str, releases: tuple[str, ...] = ()
) -> data.ClaimBatch:
    return data.ClaimBatch(
        1,
        tuple(data.Claim(key, host) for key in keys),
        tuple(data.Claim(key, host) for key in releases),
    )


async def nonces(
    claims: claim_store.StoredClaims, wanted: data.ClaimBatch
) -> Mapping[str, str]:
    result = await claims.apply(wanted)
    return result.ok.nonces_by_key


class StoredClaimsTest(testtools.TestCase):
    def test_a_batch_without_conflict_is_one_write(self) -> None:
        async def test(bench: Bench) -> None:
            held = await nonces(bench.one, batch("h1", "a", "b", "c"))
            self.assertEqual({"a": "h1", "b": "h1", "c": "h1"}, held)
            # One call for the lease, one for the claims.
            calls = bench.gateway.calls_by_path.total()
            self.assertThat(calls, matchers.Equals(2))

        run_bench(test)

    def test_conflicts_leave_the_other_claims_of_a_batch(self) -> None:
        async def test(bench: Bench) -> None:
            await bench.one.apply(batch("h1", "b"))
            held = await nonces(bench.two, batch("h2", "a", "b", "c"))
            self.assertEqual({"a": "h2", "b": "h1", "c": "h2"}, held)

        run_bench(test)

    def test_repeat_finds_its_own_claim(self) -> None:
        async def test(bench: Bench) -> None:
            await bench.one.apply(batch("h1", "a"))
            held = await nonces(bench.one, batch("h1", "a", "b"))
            self.assertEqual({"a": "h1", "b": "h1"}, held)

        run_bench(test)

    def test_release_frees_only_the_claim_of_its_own_nonce(self) -> None:
        async def test(bench: Bench) -> None:
            await bench.one.apply(batch("h1", "a"))
            await bench.two.apply(batch("h2", releases=("a",)))
            held = await nonces(bench.two, batch("h2", "a"))
            self.assertEqual({"a": "h1"}, held)
            await bench.one.apply(batch("h1", releases=("a",)))
            free = await nonces(bench.two, batch("h2", "a"))
            self.assertEqual({"a": "h2"}, free)

        run_bench(test)

    FAULTS: tuple[dict[str, Any], ...] = (
        {"is_down": True},
        {"lost_answers": 1},
        {"lost_requests": 1},
    )

    def test_fault_is_a_failure_and_a_repeat_succeeds(self) -> None:
        for faults in self.FAULTS:

            async def test(
                bench: Bench, faults: dict[str, Any] = faults
            ) -> None:
                await bench.one.apply(batch("h1", "z"))
                bench.stand_in.set_faults(store_faults.Faults(**faults))
                failed = await bench.one.apply(batch("h1", "a"))
                self.assertTrue(failed.is_error(), str(faults))
                bench.stand_in.set_faults(store_faults.Faults())
                held = await nonces(bench.one, batch("h1", "a"))
                self.assertEqual({"a": "h1"}, held)

            run_bench(test)
