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
    def test_each_state_of_a_host(self) -> None:
        leaving = api.HostState.LEAVING
        cases = (
            ("the revision", _status(7), True),
            ("a newer one", _status(8, "e"), True),
            ("an older one", _status(6), False),
            ("the number with another document", _status(7, "e"), False),
            (
                "an older one on a host that leaves",
                _status(6, "d", leaving),
                True,
            ),
        )
        for name, status, is_in_force in cases:
            answer = data.FleetStatus((status,))
            found = aggregation.find_hosts_not_in_force(answer, 7, "d")
            self.assertEqual(is_in_force, not found, name)

    def test_host_without_an_answer_is_not_taken_for_granted(self) -> None:
        failure = failures.HostUnreachable("10.0.0.2:7001", "refused")
        missing = data.UnansweredHost(data.Target("10.0.0.2:7001"), failure)
        answer = data.FleetStatus((_status(7),), (missing,))
        self.assertEqual(
            [failure], aggregation.find_hosts_not_in_force(answer, 7, "d")
        )

    def test_host_that_was_not_asked_counts_by_the_word_of_peers(self) -> None:
        for prepared, state, is_in_force in (
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
                prepared_revision=prepared,
            )
            answer = data.FleetStatus((_status(7),), told=(member,))
            found = aggregation.find_hosts_not_in_force(answer, 7, "d")
            self.assertEqual(is_in_force, not found)
