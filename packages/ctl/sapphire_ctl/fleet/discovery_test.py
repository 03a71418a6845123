import testtools

from sapphire_ctl import failures
from sapphire_ctl.fleet import data
from sapphire_ctl.fleet import discovery
from sapphire_wire import api

_HOSTS = 7_000
_DATA_CENTRES = 10


def _member(number: int, prepared: int = 1) -> api.MemberStatus:
    return api.MemberStatus(
        host_id=f"h{number:04d}",
        data_centre=f"dc{number % _DATA_CENTRES}",
        address=f"10.0.{number // 250}.{number % 250 + 1}",
        api_port=7401,
        state="alive",
        prepared_revision=prepared,
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
        found = discovery.Discovery(["10.0.0.1:7401"], queries_all=False)
        self.assertEqual(1, len(found.next_targets()))
        found.record_responses([_status(0, members)], [])
        sample = found.next_targets()
        self.assertEqual(discovery.MAX_SAMPLED_HOSTS - 1, len(sample))
        counts = [
            sum(target.data_centre == f"dc{number}" for target in sample)
            for number in range(_DATA_CENTRES)
        ]
        self.assertTrue(max(counts) - min(counts) <= 1, counts)
        numbers = [int(target.host_id[1:]) for target in sample]
        found.record_responses([_status(number) for number in numbers], [])
        self.assertEqual([], found.next_targets())
        answer = found.build_fleet_status(lists_upstreams=True)
        self.assertEqual(_HOSTS, len(answer.statuses) + len(answer.told))
        self.assertFalse(answer.is_complete)

    def test_all_hosts_are_asked_where_that_is_wanted(self) -> None:
        members = tuple(_member(number) for number in range(_HOSTS))
        found = discovery.Discovery(["10.0.0.1:7401"], queries_all=True)
        found.next_targets()
        found.record_responses([_status(0, members)], [])
        self.assertEqual(_HOSTS - 1, len(found.next_targets()))
        self.assertTrue(found.is_large)

    def test_newest_word_on_a_member_counts(self) -> None:
        self.patch(discovery, "MAX_SAMPLED_HOSTS", 2)
        found = discovery.Discovery(["a:1", "b:1"], queries_all=False)
        found.next_targets()
        found.record_responses(
            [
                _status(1, (_member(3, prepared=7),)),
                _status(2, (_member(3, prepared=6),)),
            ],
            [],
        )
        self.assertEqual([], found.next_targets())
        told = found.build_fleet_status(lists_upstreams=True).told
        self.assertEqual([7], [member.prepared_revision for member in told])

    def test_silent_host_is_not_told_by_peers_as_well(self) -> None:
        found = discovery.Discovery(["10.0.0.2:7401"], queries_all=False)
        found.next_targets()
        found.record_responses([_status(1, (_member(2),))], [])
        (target,) = found.next_targets()
        failure = failures.HostUnreachable(target.address, "refused")
        found.record_responses([], [data.UnansweredHost(target, failure)])
        answer = found.build_fleet_status(lists_upstreams=True)
        self.assertEqual((), answer.told)
        self.assertEqual(1, len(answer.unanswered))
