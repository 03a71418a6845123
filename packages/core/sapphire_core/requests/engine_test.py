import dataclasses
import random

import testtools
from testtools import matchers

from sapphire_core.requests import data
from sapphire_core.requests import engine
from sapphire_core.requests import failures
from sapphire_data import records
from sapphire_lab.requests import builders

Fault = data.AttemptFault
Outcome = data.Outcome


def make_engine(slots: int = 1, upstreams: int = 1) -> engine.Engine:
    host = engine.Engine("h1", random.Random(1))
    targets = [
        builders.upstream(f"u{number}", slots=slots)
        for number in range(upstreams)
    ]
    one = builders.service(targets)
    host.set_configuration(builders.configuration([one]), 0)
    return host


def find_sends(actions: list[data.Action]) -> list[data.SendAttempt]:
    return [each for each in actions if isinstance(each, data.SendAttempt)]


def find_finishes(actions: list[data.Action]) -> list[data.Finish]:
    return [each for each in actions if isinstance(each, data.Finish)]


def find_claim_batches(actions: list[data.Action]) -> list[data.ClaimBatch]:
    return [
        each.batch for each in actions if isinstance(each, data.ApplyClaims)
    ]


def arrive(
    host: engine.Engine, request: data.Request, now_ms: int = 0
) -> list[data.Action]:
    return host.handle(data.RequestArrived(request), now_ms)


@dataclasses.dataclass(frozen=True)
class Case:
    fault: data.AttemptFault
    is_idempotent: bool
    outcome: data.Outcome | None


# The outcome None stands for a retry.
CASES = (
    Case(Fault.UNREACHABLE, False, None),
    Case(Fault.SHED, False, None),
    Case(Fault.CONNECTION_LOST, False, Outcome.UNKNOWN),
    Case(Fault.TRUNCATED, False, Outcome.UNKNOWN),
    Case(Fault.TOO_LARGE, False, Outcome.UNKNOWN),
    Case(Fault.MISMATCHED, False, Outcome.UNKNOWN),
    Case(Fault.UNREACHABLE, True, None),
    Case(Fault.SHED, True, None),
    Case(Fault.CONNECTION_LOST, True, None),
    Case(Fault.TRUNCATED, True, None),
    Case(Fault.MISMATCHED, True, None),
)


class AttemptFaultTest(testtools.TestCase):
    def test_faults_lead_to_a_retry_or_an_outcome(self) -> None:
        for case in CASES:
            host = make_engine(upstreams=2)
            request = builders.request(is_idempotent=case.is_idempotent)
            sent = find_sends(arrive(host, request))[0]
            failed = data.AttemptFailed(sent.attempt_id, case.fault)
            actions = host.handle(failed, 10)
            outcomes = [each.outcome for each in find_finishes(actions)]
            expected = [] if case.outcome is None else [case.outcome]
            self.assertThat(outcomes, matchers.Equals(expected), str(case))
            retries = len(find_sends(actions))
            expected_retries = 1 if case.outcome is None else 0
            self.assertThat(
                retries, matchers.Equals(expected_retries), str(case)
            )

    def test_shed_after_a_lost_attempt_is_unknown(self) -> None:
        host = make_engine(upstreams=2)
        request = builders.request(is_idempotent=True, retries_left=1)
        first = find_sends(arrive(host, request))[0]
        lost = data.AttemptFailed(first.attempt_id, Fault.CONNECTION_LOST)
        second = find_sends(host.handle(lost, 10))[0]
        shed = data.AttemptFailed(second.attempt_id, Fault.SHED)
        end = find_finishes(host.handle(shed, 20))[0]
        self.assertThat(end.outcome, matchers.Equals(Outcome.UNKNOWN))

    def test_shed_without_retries_is_not_run_with_retry_after(self) -> None:
        host = make_engine()
        sent = find_sends(arrive(host, builders.request(retries_left=0)))[0]
        shed = data.AttemptFailed(sent.attempt_id, Fault.SHED)
        end = find_finishes(host.handle(shed, 10))[0]
        self.assertThat(end.outcome, matchers.Equals(Outcome.NOT_RUN))
        self.assertIsNotNone(end.retry_after_ms)

    def test_shed_that_names_another_attempt_is_unknown(self) -> None:
        host = make_engine()
        sent = find_sends(arrive(host, builders.request()))[0]
        shed = data.AttemptFailed(
            sent.attempt_id, Fault.SHED, echoed_id="other-1"
        )
        end = find_finishes(host.handle(shed, 10))[0]
        self.assertThat(end.outcome, matchers.Equals(Outcome.UNKNOWN))


class AnswerTest(testtools.TestCase):
    def answer(self, attempt_id: str, echoed_id: str) -> data.AnswerArrived:
        return data.AnswerArrived(attempt_id, echoed_id, "b", "whole")

    def test_duplicated_late_crossed_and_foreign_answers_reach_no_caller(
        self,
    ) -> None:
        host = make_engine(slots=2)
        one = find_sends(arrive(host, builders.request(1)))[0].attempt_id
        two = find_sends(arrive(host, builders.request(2)))[0].attempt_id
        crossed = find_finishes(host.handle(self.answer(one, two), 1))
        outcomes = [each.outcome for each in crossed]
        self.assertThat(outcomes, matchers.Equals([Outcome.UNKNOWN]))
        self.assertIsNone(crossed[0].answer)
        answered = find_finishes(host.handle(self.answer(two, two), 2))
        self.assertEqual("whole", answered[0].answer)
        for attempt_id, mismatch in ((two, "duplicated"), (one, "late")):
            actions = host.handle(self.answer(attempt_id, attempt_id), 3)
            self.assertEqual([], find_finishes(actions))
            counted = host.counters[f"answers_{mismatch}"]
            self.assertThat(counted, matchers.Equals(1))
        host.handle(self.answer("elsewhere", "elsewhere"), 4)
        foreign = host.counters["answers_foreign"]
        self.assertThat(foreign, matchers.Equals(1))

    def test_deadline_cancels_the_attempt_and_is_unknown(self) -> None:
        host = make_engine()
        sent = find_sends(arrive(host, builders.request(deadline_ms=100)))[0]
        actions = host.handle(data.Tick(), 100)
        self.assertIn(data.CancelAttempt(sent.attempt_id), actions)
        end = find_finishes(actions)[0]
        self.assertThat(end.outcome, matchers.Equals(Outcome.UNKNOWN))

    def test_disconnected_caller_cancels_the_attempt(self) -> None:
        host = make_engine()
        sent = find_sends(arrive(host, builders.request()))[0]
        actions = host.handle(data.CallerDisconnected(1), 5)
        self.assertIn(data.CancelAttempt(sent.attempt_id), actions)
        self.assertTrue(host.is_idle)


class ClaimTest(testtools.TestCase):
    def request_claim(self, host: engine.Engine) -> data.ClaimBatch:
        return find_claim_batches(arrive(host, builders.request(key="k")))[0]

    def apply_all(self, batch: data.ClaimBatch) -> data.ClaimsApplied:
        nonces = {claim.key: claim.nonce for claim in batch.creates}
        return data.ClaimsApplied(batch.batch_id, nonces)

    def test_no_attempt_is_made_before_the_claim_is_held(self) -> None:
        host = make_engine()
        actions = arrive(host, builders.request(key="k"))
        self.assertEqual([], find_sends(actions))
        after = host.handle(self.apply_all(find_claim_batches(actions)[0]), 5)
        self.assertThat(len(find_sends(after)), matchers.Equals(1))

    def test_request_claimed_by_another_arrival_is_unknown(self) -> None:
        host = make_engine()
        batch = self.request_claim(host)
        key = batch.creates[0].key
        other = data.ClaimsApplied(batch.batch_id, {key: "h2/7"})
        end = find_finishes(host.handle(other, 5))[0]
        self.assertThat(end.outcome, matchers.Equals(Outcome.UNKNOWN))
        duplicate = failures.DuplicateRequest()
        self.assertEqual(duplicate, end.failure)

    def test_request_while_the_store_is_down_is_unknown_and_claim_released(
        self,
    ) -> None:
        host = make_engine()
        batch = self.request_claim(host)
        host.handle(data.ClaimsFailed(batch.batch_id), 500)
        second = find_claim_batches(host.handle(data.Tick(), 700))[0]
        actions = host.handle(data.ClaimsFailed(second.batch_id), 900)
        end = find_finishes(actions)[0]
        self.assertThat(end.outcome, matchers.Equals(Outcome.UNKNOWN))
        self.assertIsNotNone(end.retry_after_ms)
        later = find_claim_batches(host.handle(data.Tick(), 9_000))[0]
        self.assertThat(later.releases, matchers.Equals(batch.creates))

    def test_claim_of_a_request_that_may_have_run_is_kept(self) -> None:
        for is_answered in (False, True):
            host = make_engine()
            batch = self.request_claim(host)
            sent = find_sends(host.handle(self.apply_all(batch), 5))[0]
            event: data.Event = data.CallerDisconnected(1)
            if is_answered:
                event = data.AnswerArrived(sent.attempt_id, None, None, "w")
            host.handle(event, 10)
            releases = [
                claim
                for call in find_claim_batches(host.handle(data.Tick(), 1_000))
                for claim in call.releases
            ]
            self.assertEqual([], releases)

    def test_request_that_waits_for_its_claim_is_sent_after_drain(self) -> None:
        host = make_engine()
        batch = self.request_claim(host)
        host.begin_drain()
        sent = find_sends(host.handle(self.apply_all(batch), 5))
        self.assertThat(len(sent), matchers.Equals(1))

    def test_claim_held_after_a_pause_past_the_deadline_sends_nothing(
        self,
    ) -> None:
        host = make_engine()
        batch = self.request_claim(host)
        paused_ms = 3_700_000
        actions = host.handle(self.apply_all(batch), paused_ms)
        self.assertEqual([], find_sends(actions))
        self.assertEqual(1, len(find_finishes(actions)))
        self.assertEqual([], find_sends(host.handle(data.Tick(), paused_ms)))

    def test_queued_request_is_not_sent_after_a_pause_past_its_deadline(
        self,
    ) -> None:
        host = make_engine()
        first = find_sends(arrive(host, builders.request(1)))[0]
        arrive(host, builders.request(2))
        event = data.AnswerArrived(first.attempt_id, None, None, "w")
        actions = host.handle(event, 3_700_000)
        self.assertEqual([], find_sends(actions))

    def test_draining_host_claims_before_it_refuses_as_not_run(self) -> None:
        host = make_engine()
        host.begin_drain()
        batch = self.request_claim(host)
        actions = host.handle(self.apply_all(batch), 5)
        end = find_finishes(actions)[0]
        self.assertThat(end.outcome, matchers.Equals(Outcome.NOT_RUN))
        releases = find_claim_batches(actions)[0].releases
        self.assertThat(releases, matchers.Equals(batch.creates))


class LimitTest(testtools.TestCase):
    def test_full_queue_refuses_newest_request_of_busiest_caller(self) -> None:
        host = engine.Engine("h1", random.Random(1))
        limits = records.Limits(max_queue=4)
        one = builders.service([builders.upstream()], limits=limits)
        host.set_configuration(builders.configuration([one]), 0)
        for serial in range(6):
            arrive(host, builders.request(serial, caller="busy"))
        actions = arrive(host, builders.request(9, caller="quiet"))
        refused = [each.serial for each in find_finishes(actions)]
        self.assertThat(refused, matchers.Equals([4]))

    def test_hopeless_request_is_refused_on_arrival(self) -> None:
        host = make_engine()
        first = find_sends(arrive(host, builders.request(1, deadline_ms=900)))[
            0
        ]
        answer = data.AnswerArrived(first.attempt_id, None, None, "whole")
        host.handle(answer, 400)
        for serial in (2, 3):
            arrive(host, builders.request(serial, deadline_ms=5_000), 400)
        late = builders.request(4, deadline_ms=700)
        end = find_finishes(arrive(host, late, 400))[0]
        self.assertIsInstance(end.failure, failures.DeadlineHopeless)
        self.assertThat(end.outcome, matchers.Equals(Outcome.NOT_RUN))

    def test_draining_and_out_upstreams_get_no_new_requests(self) -> None:
        drain = records.UpstreamIntent.DRAIN
        draining = builders.service([builders.upstream(intent=drain)])
        in_centre_out = builders.service([builders.upstream()])
        out = frozenset({builders.CENTRE})
        for configuration in (
            builders.configuration([draining]),
            builders.configuration([in_centre_out], out=out),
        ):
            host = engine.Engine("h1", random.Random(1))
            host.set_configuration(configuration, 0)
            end = find_finishes(arrive(host, builders.request()))[0]
            refusal = failures.NoUpstream()
            self.assertEqual(refusal, end.failure)

    def test_data_centre_out_cancels_attempts_after_grace_period(self) -> None:
        host = make_engine()
        sent = find_sends(arrive(host, builders.request(deadline_ms=60_000)))[0]
        one = builders.service([builders.upstream("u0")])
        out = frozenset({builders.CENTRE})
        host.set_configuration(builders.configuration([one], out=out), 100)
        early = host.handle(data.Tick(), 1_000)
        self.assertEqual([], early)
        late = host.handle(data.Tick(), 1_100)
        self.assertIn(data.CancelAttempt(sent.attempt_id), late)

    def test_upstream_with_new_boot_id_starts_with_one_slot(self) -> None:
        host = make_engine(slots=3)
        for number, boot_id in enumerate(("b1", "b2")):
            sent = find_sends(arrive(host, builders.request(number)))[0]
            answer = data.AnswerArrived(sent.attempt_id, None, boot_id, "w")
            host.handle(answer, 10)
        send_counts = [
            len(find_sends(arrive(host, builders.request(number), 20)))
            for number in range(5, 8)
        ]
        self.assertThat(send_counts, matchers.Equals([1, 0, 0]))

    def test_idle_slot_is_lent_until_the_loan_expires(self) -> None:
        lent = [self.check_loan("h1", "h2"), self.check_loan("h2", "h1")]
        self.assertThat(sorted(lent), matchers.Equals([False, True]))

    def check_loan(self, name: str, borrower: str) -> bool:
        """Checks the loan of a host; False if it has no slot to lend."""
        host = engine.Engine(name, random.Random(1))
        one = builders.service([builders.upstream("u0")])
        host.set_configuration(builders.configuration([one]), 0)
        host.set_view(builders.view([name, borrower]), 0)
        need = data.PeerMessageReceived(
            data.SlotNeed(borrower, builders.SERVICE, 200)
        )
        loans = [
            each.message
            for each in host.handle(need, 0)
            if isinstance(each, data.SendPeerMessage)
        ]
        if not loans:
            return False
        while_lent = find_sends(arrive(host, builders.request(), 10))
        self.assertEqual([], while_lent)
        after_loan = find_sends(host.handle(data.Tick(), 300))
        self.assertThat(len(after_loan), matchers.Equals(1))
        return True
