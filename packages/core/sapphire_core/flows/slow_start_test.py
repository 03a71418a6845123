import collections

import hypothesis
from hypothesis import strategies
import testtools

from sapphire_core.flows import slow_start
from sapphire_lab.flows import builders

HOSTS = 5
STEP_MS = 50
NEVER_MS = 10**9
# A host that is cut off from its peers admits flows for at most this long:
# 1,500 ms until its membership is stale and 800 ms of validity of its view.
STALE_MS = 2_300
SETTINGS = hypothesis.settings(derandomize=True, deadline=None, max_examples=40)


class SlowStartTest(testtools.TestCase):
    @SETTINGS
    @hypothesis.given(
        strategies.floats(0.5, 30.0),
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 15_000),
                strategies.integers(0, HOSTS - 1),
                strategies.booleans(),
            ),
            max_size=6,
        ),
    )
    def test_sum_over_hosts_stays_within_the_rate(
        self,
        rate: float,
        changes: list[tuple[int, int, bool]],
    ) -> None:
        """Hosts lose and regain their peers, which learn of it one by one.

        The last of the five hosts learns of a change 1,400 ms after it.
        """
        upstream = builders.upstream(
            "u", cold_flows_per_second=rate, warm_up_ms=15_000
        )
        known_live_hosts = [set(range(HOSTS)) for _ in range(HOSTS)]
        limiters = []
        for host in range(HOSTS):

            def is_holder(_: str, slot: int, own: int = host) -> bool:
                live = sorted(known_live_hosts[own])
                return bool(live) and live[slot % len(live)] == own

            limiter = slow_start.SlowStartLimiter(is_holder)
            limiter.start(upstream, 0)
            limiters.append(limiter)
        pending = []
        for at_ms, host, is_up in changes:
            for receiver in range(HOSTS):
                delay_ms = 0 if receiver == host else 350 * receiver
                pending.append((at_ms + delay_ms, receiver, host, is_up))
        pending.sort()
        admitted: list[int] = []
        fresh_until_ms = [NEVER_MS] * HOSTS
        for now_ms in range(0, 15_000, STEP_MS):
            while pending and pending[0][0] <= now_ms:
                _, receiver, host, is_up = pending.pop(0)
                if receiver == host:
                    was_fresh = now_ms < fresh_until_ms[host]
                    if is_up and not was_fresh:
                        limiters[host].restart_takeovers(now_ms)
                    limit_ms = min(fresh_until_ms[host], now_ms + STALE_MS)
                    fresh_until_ms[host] = NEVER_MS if is_up else limit_ms
                    continue
                change = set.add if is_up else set.discard
                change(known_live_hosts[receiver], host)
                limiters[receiver].reassign_slots(now_ms)
            for host, limiter in enumerate(limiters):
                is_fresh = now_ms < fresh_until_ms[host]
                for _ in range(3):
                    if limiter.try_admit("u", is_fresh, now_ms):
                        admitted.append(now_ms)
        self.assert_within_rate(admitted, upstream.cold_flows_per_second)

    def assert_within_rate(self, admitted: list[int], rate: float) -> None:
        window: collections.deque[int] = collections.deque()
        upstream = builders.upstream(
            "u", cold_flows_per_second=rate, warm_up_ms=15_000
        )
        for at_ms in admitted:
            window.append(at_ms)
            while window[0] <= at_ms - 1_000:
                window.popleft()
            allowed = slow_start.rate_per_second(upstream, at_ms)
            self.assertTrue(len(window) <= max(1.0, allowed), (at_ms, window))

    def test_a_host_that_is_not_fresh_admits_nothing(self) -> None:
        limiter = slow_start.SlowStartLimiter(lambda _, __: True)
        limiter.start(builders.upstream("u"), 0)
        self.assertFalse(limiter.try_admit("u", False, 5_000))
        self.assertTrue(limiter.try_admit("u", True, 5_000))

    def test_slow_start_ends_after_the_warm_up_time(self) -> None:
        limiter = slow_start.SlowStartLimiter(lambda _, __: False)
        limiter.start(builders.upstream("u", warm_up_ms=1_000), 0)
        self.assertFalse(limiter.try_admit("u", True, 900))
        self.assertTrue(limiter.tick(1_000))
        self.assertTrue(limiter.try_admit("u", True, 1_000))
