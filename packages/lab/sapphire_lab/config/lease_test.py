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
TIME_TO_LIVE_MS = 10_000


class Holder:
    """A host that tries to hold the lease, with the state machine under test.

    Attributes:
        store: The store, which the other holders use too.
        lease: The state machine of this holder.
    """

    def __init__(self, store: fakes.FakeStore) -> None:
        self.store = store
        self.lease = leases.Lease(KEY, TIME_TO_LIVE_MS, store.time.now_ms())

    def make_due_calls(self) -> None:
        """Sends a tick and makes the calls that are due, at most three."""
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
        """Returns whether the holder is certain that it holds the lease."""
        token = self.lease.fencing_token(self.store.time.now_ms())
        return isinstance(token, leases.FencingToken)

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

    def test_first_of_two_holders_keeps_the_lease_by_renewing_it(self) -> None:
        for _ in range(50):
            self.first.make_due_calls()
            self.second.make_due_calls()
            self.assertThat(self.first.is_held(), matchers.Equals(True))
            self.assertThat(self.second.is_held(), matchers.Equals(False))
            self.store.time.advance(1_000)

    def test_holder_paused_past_the_expiry_refuses_to_write(self) -> None:
        self.first.make_due_calls()
        self.store.time.advance(TIME_TO_LIVE_MS)
        self.assertThat(self.first.is_held(), matchers.Equals(False))
        outcome = self.first.start_write("a").finish()
        self.assertIsInstance(outcome.error, leases.LeaseNotHeld)

    def test_write_in_flight_while_the_lease_expires_is_refused(self) -> None:
        self.first.make_due_calls()
        write = self.first.start_write("a")
        write.step()
        self.store.time.advance(TIME_TO_LIVE_MS + 1)
        self.second.make_due_calls()
        self.assertThat(self.second.is_held(), matchers.Equals(True))
        self.assertThat(write.finish().ok.succeeded, matchers.Equals(False))
        self.assertNotIn("a", self.store.state.items_by_key)

    def test_lease_is_held_although_the_acquisition_got_no_answer(self) -> None:
        self.store.faults = [fakes.Fault.NONE, fakes.Fault.LOST_ANSWER]
        self.first.make_due_calls()
        self.assertThat(self.first.is_held(), matchers.Equals(True))

    def test_lease_that_the_store_revoked_is_acquired_again(self) -> None:
        self.first.make_due_calls()
        for lease_id in list(self.store.state.leases_by_id):
            self.store.state.revoke_lease(lease_id)
        write = self.first.start_write("a").finish()
        self.assertThat(write.ok.succeeded, matchers.Equals(False))
        self.store.time.advance(4_000)
        self.first.make_due_calls()
        self.store.time.advance(leases.RETRY_MS)
        self.first.make_due_calls()
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
    def test_two_holders_never_hold_the_lease_at_once(
        self, turns: list[tuple[int, int]], faults: list[fakes.Fault]
    ) -> None:
        store = fakes.FakeStore()
        store.faults = list(faults)
        holders = (Holder(store), Holder(store))
        for index, pause_ms in turns:
            holders[index].make_due_calls()
            store.apply_delayed_writes()
            are_both_held = holders[0].is_held() and holders[1].is_held()
            self.assertThat(are_both_held, matchers.Equals(False))
            store.time.advance(pause_ms)
