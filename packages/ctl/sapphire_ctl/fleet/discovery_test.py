import testtools

from sapphire_ctl import failures
from sapphire_ctl.fleet import data
from sapphire_ctl.fleet import discovery
from sapphire_wire import api

_HOSTS = 7_000
_DATA_CENTRES = 10


def _member(number: int, prepared_revision: int = 1) -> api.MemberStatus:
    return api.MemberStatus(
        host_id=f"h{number:04d}",
        data_centre=f"dc{number % _DATA_CENTRES}",
        address=f"10.0.{number // 250}.{number % 250 + 1}",
        api_port=7401,
        state="alive",
        prepared_revision=prepared_revision,
    )


def _status(
    number: int, members: tuple[api.MemberStatus, ...] = ()
) -> api.HostStatus:
    member = _member(number)
    return api.HostStatus(
        host_id=member.host_id,
        data_centre=member.data_centre,
        address=member.address,
        api_port=member.api_port,
        state=api.HostState.SERVING,
        members=members,
    )


class DiscoveryTest(testtools.TestCase):
    def test_large_fleet_is_sampled_evenly_over_data_centres(self) -> None:
        members = tuple(_member(number) for number in range(_HOSTS))
        host_discovery = discovery.Discovery(
            ["10.0.0.1:7401"], queries_all=False
        )
        self.assertEqual(1, len(host_discovery.next_targets()))
        host_discovery.record_responses([_status(0, members)], [])
        sample = host_discovery.next_targets()
        self.assertEqual(discovery.MAX_SAMPLED_HOSTS - 1, len(sample))
        counts = [
            sum(target.data_centre == f"dc{number}" for target in sample)
            for number in range(_DATA_CENTRES)
        ]
        self.assertTrue(max(counts) - min(counts) <= 1, counts)
        numbers = [int(target.host_id[1:]) for target in sample]
        host_discovery.record_responses(
            [_status(number) for number in numbers], []
        )
        self.assertEqual([], host_discovery.next_targets())
        fleet_status = host_discovery.build_fleet_status(lists_upstreams=True)
        self.assertEqual(
            _HOSTS, len(fleet_status.statuses) + len(fleet_status.told)
        )
        self.assertFalse(fleet_status.is_complete)

    def test_all_hosts_of_a_large_fleet_are_queried_on_request(self) -> None:
        members = tuple(_member(number) for number in range(_HOSTS))
        host_discovery = discovery.Discovery(
            ["10.0.0.1:7401"], queries_all=True
        )
        host_discovery.next_targets()
        host_discovery.record_responses([_status(0, members)], [])
        self.assertEqual(_HOSTS - 1, len(host_discovery.next_targets()))
        self.assertTrue(host_discovery.is_large)

    def test_newest_report_of_a_member_counts(self) -> None:
        self.patch(discovery, "MAX_SAMPLED_HOSTS", 2)
        host_discovery = discovery.Discovery(["a:1", "b:1"], queries_all=False)
        host_discovery.next_targets()
        host_discovery.record_responses(
            [
                _status(1, (_member(3, prepared_revision=7),)),
                _status(2, (_member(3, prepared_revision=6),)),
            ],
            [],
        )
        self.assertEqual([], host_discovery.next_targets())
        reported_members = host_discovery.build_fleet_status(
            lists_upstreams=True
        ).told
        self.assertEqual(
            [7], [member.prepared_revision for member in reported_members]
        )

    def test_unanswered_host_is_not_listed_from_reports_of_peers(self) -> None:
        host_discovery = discovery.Discovery(
            ["10.0.0.2:7401"], queries_all=False
        )
        host_discovery.next_targets()
        host_discovery.record_responses([_status(1, (_member(2),))], [])
        (target,) = host_discovery.next_targets()
        failure = failures.HostUnreachable(target.address, "refused")
        host_discovery.record_responses(
            [], [data.UnansweredHost(target, failure)]
        )
        fleet_status = host_discovery.build_fleet_status(lists_upstreams=True)
        self.assertEqual((), fleet_status.told)
        self.assertEqual(1, len(fleet_status.unanswered))
