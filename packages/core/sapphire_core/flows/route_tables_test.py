import dataclasses

import testtools

from sapphire_core.flows import data
from sapphire_core.flows import router
from sapphire_core.flows import service_versions
from sapphire_data import records
from sapphire_lab.flows import builders


def service(name: str, octet: int, pool: str) -> records.Service:
    upstreams = [
        builders.upstream(f"{name}-{letter}", address=f"10.{octet}.0.{index}")
        for index, letter in enumerate(pool, start=1)
    ]
    names = [upstream.name for upstream in upstreams]
    return builders.service(
        name, upstreams, [names], address=f"192.0.2.{octet}"
    )


class RebuildTest(testtools.TestCase):
    def test_only_routes_of_changed_services_are_rebuilt(self) -> None:
        host_router = router.Router("h1")
        rota = service("rota", 1, "ab")
        plans = service("plans", 2, "ab")
        host_router.prepare(builders.configuration(1, [rota, plans]), 0)
        before = dict(host_router._tables.routes_by_key)
        changed = service("plans", 2, "abc")
        host_router.prepare(builders.configuration(2, [rota, changed]), 10)
        after = host_router._tables.routes_by_key
        self.assertIs(
            before[builders.service_key(rota)],
            after[builders.service_key(rota)],
        )
        self.assertIsNot(
            before[builders.service_key(plans)],
            after[builders.service_key(plans)],
        )

    def test_a_data_centre_taken_out_of_rotation_rebuilds_all_routes(
        self,
    ) -> None:
        host_router = router.Router("h1")
        rota = service("rota", 1, "ab")
        host_router.prepare(builders.configuration(1, [rota]), 0)
        before = host_router._tables.routes_by_key[builders.service_key(rota)]
        host_router.prepare(
            builders.configuration(2, [rota], out=["tacoma"]), 10
        )
        after = host_router._tables.routes_by_key[builders.service_key(rota)]
        self.assertIsNot(before, after)


class IdentityComparisonTest(testtools.TestCase):
    def test_no_changed_service_is_skipped(self) -> None:
        host_router = router.Router("h1")
        member = builders.member("h1", "tacoma")
        rota, plans = service("rota", 1, "ab"), service("plans", 2, "ab")
        grown = service("plans", 2, "abc")
        now_ms = 0
        steps = (
            builders.configuration(1, [rota, plans]),
            data.UpstreamObservation(
                "rota-a", data.ObservedState.COLD, "b2", 1
            ),
            builders.configuration(2, [rota, grown]),
            data.UpstreamObservation(
                "plans-b", data.ObservedState.FAILED, "", 1
            ),
            builders.configuration(3, [rota, grown], out=["tacoma"]),
            data.UpstreamObservation(
                "plans-b", data.ObservedState.COLD, "b3", 2
            ),
            builders.configuration(4, [rota, grown]),
            data.UpstreamObservation(
                "rota-a", data.ObservedState.SETTLED, "b2", 2
            ),
        )
        for step in steps:
            if isinstance(step, data.UpstreamObservation):
                host_router.apply_observation(step, now_ms)
            else:
                host_router.prepare(step, now_ms)
            for _ in range(50):
                self.assert_routes_current(host_router, now_ms)
                now_ms += 100
                view = builders.view([member], host_router.prepared_revision)
                host_router.set_view(view, now_ms)
                host_router.tick(now_ms)

    def assert_routes_current(
        self, host_router: router.Router, now_ms: int
    ) -> None:
        """Asserts that a full comparison of the inputs changes no routes."""
        tables = host_router._tables
        before = dict(tables.routes_by_key)
        tables._common = None
        tables.rebuild(host_router._slow_start.limiter.cold_upstreams(), now_ms)
        self.assertEqual(before.keys(), tables.routes_by_key.keys())
        for key, routes in tables.routes_by_key.items():
            self.assertIs(before[key], routes)


class ReassignedUpstreamsTest(testtools.TestCase):
    def test_result_is_the_same_whether_or_not_records_are_shared(self) -> None:
        rota = service("rota", 1, "ab")
        plans = service("plans", 2, "ab")
        other = service("other", 3, "a")
        moved = next(iter(plans.upstreams_by_name.values()))
        grown = dataclasses.replace(
            rota,
            upstreams_by_name={**rota.upstreams_by_name, moved.name: moved},
        )
        left = dict(plans.upstreams_by_name)
        del left[moved.name]
        shrunk = dataclasses.replace(plans, upstreams_by_name=left)
        first = builders.configuration(1, [rota, plans, other])
        shared = builders.configuration(2, [grown, shrunk, other])
        apart = builders.configuration(
            2, [grown, shrunk, dataclasses.replace(other)]
        )
        expected = {"plans": frozenset({moved.name})}
        for second in (shared, apart):
            self.assertEqual(
                expected, service_versions.reassigned_upstreams([first, second])
            )

    def test_no_upstream_is_reassigned_without_a_change(self) -> None:
        rota = service("rota", 1, "ab")
        first = builders.configuration(1, [rota])
        second = builders.configuration(2, [rota])
        self.assertEqual(
            {}, service_versions.reassigned_upstreams([first, second])
        )
