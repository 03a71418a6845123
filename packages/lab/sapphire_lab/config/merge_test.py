import dataclasses
from typing import Any

import testtools
from testtools import matchers

from sapphire_core.configuration import failures
from sapphire_core.configuration import merge
from sapphire_data import records
from sapphire_lab.config import builders

ONE_POOL = {"rota": {"rota-1": "tacoma", "rota-2": "salem"}}


def generations(configuration: records.Configuration) -> list[Any]:
    """Returns the pool history of the service `rota`.

    Returns:
        The number and the upstreams of each generation, oldest first.
    """
    service = configuration.services_by_name["rota"]
    return [(item.number, item.upstreams) for item in service.generations]


class NextConfigurationTest(testtools.TestCase):
    def test_first_configuration_has_one_generation(self) -> None:
        built = builders.configuration(ONE_POOL)
        self.assertThat(
            generations(built), matchers.Equals([(1, ("rota-1", "rota-2"))])
        )
        self.assertThat(built.revision, matchers.Equals(1))

    def test_change_with_the_same_eligible_upstreams_adds_no_generation(
        self,
    ) -> None:
        first = builders.configuration(ONE_POOL)
        second = builders.configuration(ONE_POOL, previous=first)
        self.assertThat(
            generations(second), matchers.Equals(generations(first))
        )
        self.assertThat(second.revision, matchers.Equals(2))

    def test_drained_upstream_and_data_centre_out_add_generations(self) -> None:
        first = builders.configuration(ONE_POOL)
        second = builders.configuration(ONE_POOL, first, drained=("rota-1",))
        third = builders.configuration(ONE_POOL, second, out=("salem",))
        self.assertThat(
            generations(third),
            matchers.Equals(
                [(1, ("rota-1", "rota-2")), (2, ("rota-2",)), (3, ("rota-1",))]
            ),
        )

    def test_removed_upstream_stays_as_draining_until_the_truncation(
        self,
    ) -> None:
        first = builders.configuration(ONE_POOL)
        smaller_pool = {"rota": {"rota-2": "salem"}}
        second, errors = merge.next_configuration(
            first, builders.document(smaller_pool), builders.bindings(ONE_POOL)
        )
        self.assertEqual([], errors)
        removed = second.services_by_name["rota"].upstreams_by_name["rota-1"]
        self.assertIs(removed.intent, records.UpstreamIntent.DRAIN)
        tacoma = second.data_centres_by_name["tacoma"]
        self.assertIs(tacoma.state, records.DataCentreState.OUT)
        truncated = merge.truncate_history(second, {"rota": 2, "unknown": 1})
        service = truncated.services_by_name["rota"]
        self.assertThat(list(service.upstreams_by_name), matchers.HasLength(1))
        self.assertThat(
            generations(truncated), matchers.Equals([(2, ("rota-2",))])
        )
        self.assertThat(truncated.revision, matchers.Equals(3))

    def test_truncation_never_removes_the_current_generation(self) -> None:
        first = builders.configuration(ONE_POOL)
        truncated = merge.truncate_history(first, {"rota": 99})
        self.assertThat(
            generations(truncated), matchers.Equals(generations(first))
        )

    def test_unbound_names_are_all_reported(self) -> None:
        bindings = dataclasses.replace(
            builders.bindings(ONE_POOL), upstreams_by_name={}
        )
        _, errors = merge.next_configuration(
            merge.EMPTY, builders.document(ONE_POOL), bindings
        )
        self.assertEqual(
            [
                failures.UnboundName("upstreams.rota-1"),
                failures.UnboundName("upstreams.rota-2"),
            ],
            errors,
        )

    def _failures_after(self, pools: Any, **changes: Any) -> list[str]:
        """Returns the failures of a change from the default pools to others.

        Args:
            pools: The data centre of each upstream, by service.
            **changes: The fields of the bindings that change.

        Returns:
            The code of each type of failure, sorted.
        """
        first = builders.configuration()
        document = dataclasses.replace(builders.document(pools))
        bindings = dataclasses.replace(builders.bindings(), **changes)
        _, errors = merge.next_configuration(first, document, bindings)
        return sorted({error.code for error in errors})

    def test_upstream_name_moved_to_another_service_is_refused(self) -> None:
        pools = {
            "rota": {"rota-2": "salem", "rota-3": "spokane"},
            "plans": {"plans-1": "tacoma", "rota-1": "tacoma"},
        }
        self.assertThat(
            self._failures_after(pools), matchers.Equals(["UpstreamNameReused"])
        )

    def test_address_of_a_removed_upstream_is_refused(self) -> None:
        pools = {
            "rota": {"rota-2": "salem", "rota-3": "spokane"},
            "plans": {"plans-1": "tacoma", "plans-9": "tacoma"},
        }
        addresses = dict(builders.bindings().upstreams_by_name)
        addresses["plans-9"] = addresses["rota-1"]
        self.assertThat(
            self._failures_after(pools, upstreams_by_name=addresses),
            matchers.Equals(["UpstreamAddressHeld"]),
        )

    def test_changed_address_of_an_upstream_is_refused(self) -> None:
        addresses = dict(builders.bindings().upstreams_by_name)
        addresses["rota-1"] = dataclasses.replace(
            addresses["rota-1"], address="10.9.9.9"
        )
        self.assertThat(
            self._failures_after(
                builders.DEFAULT_POOLS, upstreams_by_name=addresses
            ),
            matchers.Equals(["UpstreamNameReused"]),
        )

    def test_address_of_another_service_is_refused(self) -> None:
        addresses = dict(builders.bindings().services_by_name)
        addresses["rota"], addresses["plans"] = (
            addresses["plans"],
            addresses["rota"],
        )
        self.assertThat(
            self._failures_after(
                builders.DEFAULT_POOLS, services_by_name=addresses
            ),
            matchers.Equals(["ServiceAddressHeld"]),
        )

    def test_bucket_count_is_fixed_for_the_life_of_a_service(self) -> None:
        first = builders.configuration(ONE_POOL)
        document = builders.document(ONE_POOL)
        changed = dataclasses.replace(
            document.services_by_name["rota"], bucket_count=13
        )
        _, errors = merge.next_configuration(
            first,
            dataclasses.replace(document, services_by_name={"rota": changed}),
            builders.bindings(ONE_POOL),
        )
        self.assertEqual(
            [failures.BucketCountChanged("rota", 1_021, 13)], errors
        )
