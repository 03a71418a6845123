from typing import Any

import hypothesis
from hypothesis import strategies
import testtools
from testtools import matchers

from sapphire_core.configuration import lease as leases
from sapphire_lab.config import fakes
from sapphire_net.store import data
from sapphire_net.store import lease_calls

KEY = "test/leases/collector"
LENGTH_MS = 10_000


class Holder:
    """A holder whose calls the test carries out step by step."""

    def __init__(self, store: fakes.FakeStore) -> None:
        self.store = store
        self.lease = leases.Lease(KEY, LENGTH_MS, store.time.now_ms())

    def turn(self) -> None:
        """Gives the holder the time and carries out its call, if any."""
        event: leases.Event = leases.Tick()
        for _ in range(3):
            now_ms = self.store.time.now_ms()
            actions = self.lease.handle(event, now_ms)
            if not actions:
                return
            event = fakes.SteppedTask(
                lease_calls.execute(
                    self.store, KEY, actions[0], self.store.time
                )
            ).finish()
        self.lease.handle(event, self.store.time.now_ms())

    def is_held(self) -> bool:
        """Says whether the holder believes that it holds the lease."""
        fence = self.lease.fencing_token(self.store.time.now_ms())
        return isinstance(fence, leases.FencingToken)

    def start_write(self, key: str) -> fakes.SteppedTask[Any]:
        """Starts a write under the lease."""
        return fakes.SteppedTask(
            lease_calls.write_fenced(
                self.store,
                self.lease,
                [],
                [data.Put(key, b"x")],
                self.store.time,
            )
        )


class LeaseTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.store = fakes.FakeStore()
        self.first = Holder(self.store)
        self.second = Holder(self.store)

    def test_one_of_two_holds_and_keeps_it_by_renewing(self) -> None:
        for _ in range(50):
            self.first.turn()
            self.second.turn()
            self.assertThat(self.first.is_held(), matchers.Equals(True))
            self.assertThat(self.second.is_held(), matchers.Equals(False))
            self.store.time.advance(1_000)

    def test_holder_paused_past_the_end_knows_on_waking(self) -> None:
        self.first.turn()
        self.store.time.advance(LENGTH_MS)
        self.assertThat(self.first.is_held(), matchers.Equals(False))
        outcome = self.first.start_write("a").finish()
        self.assertIsInstance(outcome.error, leases.LeaseNotHeld)

    def test_write_on_its_way_during_a_pause_is_refused(self) -> None:
        self.first.turn()
        write = self.first.start_write("a")
        write.step()
        self.store.time.advance(LENGTH_MS + 1)
        self.second.turn()
        self.assertThat(self.second.is_held(), matchers.Equals(True))
        self.assertThat(write.finish().ok.succeeded, matchers.Equals(False))
        self.assertNotIn("a", self.store.state.items_by_key)

    def test_lost_answer_to_the_acquisition_is_recognised(self) -> None:
        self.store.faults = [fakes.Fault.NONE, fakes.Fault.LOST_ANSWER]
        self.first.turn()
        self.assertThat(self.first.is_held(), matchers.Equals(True))

    def test_lapse_in_the_store_is_learned_by_renewing(self) -> None:
        self.first.turn()
        for lease_id in list(self.store.state.leases_by_id):
            self.store.state.revoke(lease_id)
        write = self.first.start_write("a").finish()
        self.assertThat(write.ok.succeeded, matchers.Equals(False))
        self.store.time.advance(4_000)
        self.first.turn()
        self.store.time.advance(leases.RETRY_MS)
        self.first.turn()
        write = self.first.start_write("a").finish()
        self.assertThat(write.ok.succeeded, matchers.Equals(True))

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=100)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 1), strategies.integers(0, 12_000)
            ),
            max_size=40,
        ),
        strategies.lists(
            strategies.sampled_from(list(fakes.Fault)), max_size=30
        ),
    )
    def test_two_never_hold_at_once(
        self, turns: list[tuple[int, int]], faults: list[fakes.Fault]
    ) -> None:
        store = fakes.FakeStore()
        store.faults = list(faults)
        holders = (Holder(store), Holder(store))
        for choice, pause_ms in turns:
            holders[choice].turn()
            store.apply_delayed_writes()
            both = holders[0].is_held() and holders[1].is_held()
            self.assertThat(both, matchers.Equals(False))
            store.time.advance(pause_ms)
