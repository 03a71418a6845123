import testtools

from sapphire_ctl import failures
from sapphire_ctl.fleet import aggregation
from sapphire_ctl.fleet import data
from sapphire_wire import api


def _status(
    revision: int,
    digest: str = "d",
    state: api.HostState = api.HostState.SERVING,
) -> api.HostStatus:
    return api.HostStatus(
        host_id="h1",
        data_centre="tacoma",
        address="10.0.0.1",
        api_port=7001,
        state=state,
        active_revision=revision,
        active_digest=digest,
    )


class NotInForceTest(testtools.TestCase):
    def test_host_is_listed_by_revision_document_and_state(self) -> None:
        leaving = api.HostState.LEAVING
        cases = (
            ("the revision", _status(7), True),
            ("a newer one", _status(8, "e"), True),
            ("an older one", _status(6), False),
            ("the number with another document", _status(7, "e"), False),
            (
                "an older one on a leaving host",
                _status(6, "d", leaving),
                True,
            ),
        )
        for name, status, is_in_force in cases:
            fleet_status = data.FleetStatus((status,))
            not_in_force = aggregation.find_hosts_not_in_force(
                fleet_status, 7, "d"
            )
            self.assertEqual(is_in_force, not not_in_force, name)

    def test_host_without_an_answer_is_listed(self) -> None:
        failure = failures.HostUnreachable("10.0.0.2:7001", "refused")
        unanswered = data.UnansweredHost(data.Target("10.0.0.2:7001"), failure)
        fleet_status = data.FleetStatus((_status(7),), (unanswered,))
        self.assertEqual(
            [failure], aggregation.find_hosts_not_in_force(fleet_status, 7, "d")
        )

    def test_host_that_was_not_queried_counts_as_its_peers_report(self) -> None:
        for prepared_revision, state, is_in_force in (
            (7, "alive", True),
            (6, "alive", False),
            (6, "leaving", True),
        ):
            member = api.MemberStatus(
                host_id="h2",
                data_centre="salem",
                address="10.0.0.2",
                api_port=7001,
                state=state,
                prepared_revision=prepared_revision,
            )
            fleet_status = data.FleetStatus((_status(7),), told=(member,))
            not_in_force = aggregation.find_hosts_not_in_force(
                fleet_status, 7, "d"
            )
            self.assertEqual(is_in_force, not not_in_force)
