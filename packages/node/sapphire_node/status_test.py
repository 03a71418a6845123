import dataclasses
from typing import Any
from typing import cast

import testtools

from sapphire_core.flows import data
from sapphire_data import records
from sapphire_lab.flows import builders
from sapphire_node import flow_statistics
from sapphire_node import forwarder
from sapphire_node import lifecycle
from sapphire_node import revision_tracker
from sapphire_node import status

OWN = records.HostAddress("h1", "tacoma", "127.0.0.1", 1, 2)


@dataclasses.dataclass
class FakeRouter:
    """A fake with the attributes of a router that the status reads."""

    all_observations: list[data.UpstreamObservation]
    active_revision: int = 1
    prepared_revision: int = 1

    def observations(self) -> list[data.UpstreamObservation]:
        return self.all_observations


@dataclasses.dataclass
class FakeForwarder:
    """A fake with the attributes of a forwarder that the status reads."""

    router: FakeRouter
    statistics: flow_statistics.FlowStatistics


class StatusTest(testtools.TestCase):
    def ready_by_upstream(
        self, observations: list[data.UpstreamObservation]
    ) -> dict[str, bool]:
        upstreams = [
            builders.upstream("a", "tacoma"),
            builders.upstream("b", "salem"),
            builders.upstream("c", "spokane"),
            builders.upstream(
                "d", "tacoma", intent=records.UpstreamIntent.DRAIN
            ),
        ]
        service = builders.service("rota", upstreams, ["abc"])
        configuration = builders.configuration(1, [service], out=["spokane"])
        statistics = flow_statistics.FlowStatistics()
        self.assertIsInstance(
            statistics.revisions, revision_tracker.RevisionTracker
        )
        fake_forwarder = FakeForwarder(FakeRouter(observations), statistics)
        host_status = status.build(
            OWN,
            lifecycle.Lifecycle(),
            cast(forwarder.Forwarder, cast(Any, fake_forwarder)),
            records.MemberView({}, True, 1),
            configuration_status=status.ConfigurationStatus(
                1, True, configuration
            ),
            service=None,
            now_ms=0,
        )
        return {item.upstream: item.is_ready for item in host_status.upstreams}

    def test_only_upstreams_that_may_get_flows_are_ready(self) -> None:
        expected = {"a": True, "b": True, "c": False, "d": False}
        self.assertEqual(expected, self.ready_by_upstream([]))

    def test_a_failed_upstream_is_not_ready_and_a_cold_one_is(self) -> None:
        observations = [
            data.UpstreamObservation("a", data.ObservedState.FAILED, "", 1),
            data.UpstreamObservation("b", data.ObservedState.COLD, "", 1),
        ]
        ready = self.ready_by_upstream(observations)
        self.assertEqual((False, True), (ready["a"], ready["b"]))
