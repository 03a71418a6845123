import collections

import hypothesis
from hypothesis import strategies
import testtools

from sapphire_core.flows import slow_start
from sapphire_lab.flows import builders

HOSTS = 5
STEP_MS = 50
NEVER_MS = 10**9
# Freshness of the membership and validity of a view.
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
        """Hosts are cut off and return; others learn up to 1,400 ms apart."""
        upstream = builders.upstream("u", cold=rate, warm_up_ms=15_000)
        learned = [set(range(HOSTS)) for _ in range(HOSTS)]
        ramps = []
        for host in range(HOSTS):

            def is_holder(_: str, slot: int, mine: int = host) -> bool:
                live = sorted(learned[mine])
                return bool(live) and live[slot % len(live)] == mine

            ramp = slow_start.SlowStartLimiter(is_holder)
            ramp.note_cold(upstream, 0)
            ramps.append(ramp)
        news = []
        for at_ms, host, is_up in changes:
            for receiver in range(HOSTS):
                delay_ms = 0 if receiver == host else 350 * receiver
                news.append((at_ms + delay_ms, receiver, host, is_up))
        news.sort()
        admitted: list[int] = []
        fresh_until_ms = [NEVER_MS] * HOSTS
        for now_ms in range(0, 15_000, STEP_MS):
            while news and news[0][0] <= now_ms:
                _, receiver, host, is_up = news.pop(0)
                if receiver == host:
                    was_fresh = now_ms < fresh_until_ms[host]
                    if is_up and not was_fresh:
                        ramps[host].note_regained(now_ms)
                    limit_ms = min(fresh_until_ms[host], now_ms + STALE_MS)
                    fresh_until_ms[host] = NEVER_MS if is_up else limit_ms
                    continue
                change = set.add if is_up else set.discard
                change(learned[receiver], host)
                ramps[receiver].note_view(now_ms)
            for host, ramp in enumerate(ramps):
                is_fresh = now_ms < fresh_until_ms[host]
                for _ in range(3):
                    if ramp.admits("u", is_fresh, now_ms):
                        admitted.append(now_ms)
        self.check(admitted, upstream.cold_flows_per_second)

    def check(self, admitted: list[int], rate: float) -> None:
        window: collections.deque[int] = collections.deque()
        upstream = builders.upstream("u", cold=rate, warm_up_ms=15_000)
        for at_ms in admitted:
            window.append(at_ms)
            while window[0] <= at_ms - 1_000:
                window.popleft()
            allowed = slow_start.rate_per_second(upstream, at_ms)
            self.assertTrue(len(window) <= max(1.0, allowed), (at_ms, window))

    def test_a_host_that_is_not_fresh_admits_nothing(self) -> None:
        ramp = slow_start.SlowStartLimiter(lambda _, __: True)
        ramp.note_cold(builders.upstream("u"), 0)
        self.assertFalse(ramp.admits("u", False, 5_000))
        self.assertTrue(ramp.admits("u", True, 5_000))

    def test_ramp_ends(self) -> None:
        ramp = slow_start.SlowStartLimiter(lambda _, __: False)
        ramp.note_cold(builders.upstream("u", warm_up_ms=1_000), 0)
        self.assertFalse(ramp.admits("u", True, 900))
        self.assertTrue(ramp.tick(1_000))
        self.assertTrue(ramp.admits("u", True, 1_000))
