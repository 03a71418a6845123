import testtools

from sapphire_core.flows import routes as routes_lib
from sapphire_core.flows import upstream_selection
from sapphire_lab.flows import builders


def routes_of(*pools: str) -> routes_lib.Routes:
    """Returns the routes of a service with one generation for each pool."""
    upstreams = [builders.upstream(name) for name in "abc"]
    service = builders.service("rota", upstreams, pools)
    nothing: frozenset[str] = frozenset()
    return routes_lib.build(
        routes_lib.RouteInputs(
            versions=(service,),
            is_active=True,
            previous=None,
            data_centres_out_in_active=nothing,
            data_centres_out_in_any=nothing,
            data_centres_out_in_newest=nothing,
            unsettled=nothing,
            propagated=nothing,
            failed=nothing,
            reassigned=nothing,
        )
    )


class DefaultOwnerTest(testtools.TestCase):
    # Guards against a default owner that is tried last because it owns the
    # bucket in the newest generation again.
    def test_the_default_owner_is_preferred_if_it_is_the_newest_owner_too(
        self,
    ) -> None:
        routes = routes_of("ab", "bc", "ab")
        count = 0
        for bucket in range(routes.bucket_count):
            if not routes.ambiguous_everywhere[bucket]:
                continue
            for is_default_preferred in (False, True):
                selected = upstream_selection.select_upstream(
                    routes, bucket, bucket, is_default_preferred, lambda _: True
                )
                self.assertEqual(routes.default_owner(bucket), selected)
            count += 1
        self.assertNotEqual(0, count)

    def test_owners_are_tried_from_the_preferred_end(self) -> None:
        routes = routes_of("ab", "bc")
        count = 0
        for bucket in range(routes.bucket_count):
            if not routes.ambiguous_everywhere[bucket]:
                continue
            selected = []
            for is_default_preferred in (False, True):
                name = upstream_selection.select_upstream(
                    routes, bucket, bucket, is_default_preferred, lambda _: True
                )
                selected.append(name)
            newest = routes.generations[-1].owner(bucket)
            self.assertEqual([newest, routes.default_owner(bucket)], selected)
            count += 1
        self.assertNotEqual(0, count)
