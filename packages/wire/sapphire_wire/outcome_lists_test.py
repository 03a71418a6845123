from typing import Any

import testtools

from sapphire_core.peers import data
from sapphire_core.peers import outcome_reports
from sapphire_lab.tagged_flows import builders
from sapphire_lab.tagged_flows import outcome_builders
from sapphire_wire import peer_messages
from sapphire_wire import thrift_codec
from sapphire_wire.gen.peers import ttypes

REPORTS = (
    outcome_builders.report(4_294_967_295, 2, 3, time_ratio=4.25),
    outcome_builders.report(17, 0, 1),
)
HEARTBEAT = builders.heartbeat(
    "edge-1",
    upstreams=(data.UpstreamReport(9, 1.0, 300),),
    outcomes=REPORTS,
)


def decoded_with(**changes: Any) -> Any:
    """Returns a heartbeat some of whose lists were replaced."""
    record = thrift_codec.decode_or_failure(
        ttypes.Beat, peer_messages.encode_heartbeat(HEARTBEAT)
    )
    for name, value in changes.items():
        setattr(record, name, value)
    return peer_messages.decode_heartbeat(thrift_codec.encode(record))


class OutcomeListsTest(testtools.TestCase):
    def test_reports_survive_the_round_trip(self) -> None:
        decoded = decoded_with()
        self.assertEqual(REPORTS, decoded.outcomes)
        self.assertEqual("", decoded.left_out)

    def test_malformed_lists_are_left_out_and_the_rest_holds(self) -> None:
        for changes in (
            {"ended_badly": [1]},
            {"ended_badly": None},
            {"outcome_tags": [1, 2, 3]},
            {"outcome_tags": None},
            {"outcome_tags": [17, 17]},
            {"ended_well": [-1, 2]},
            {"time_percents": [100, -5]},
        ):
            decoded = decoded_with(**changes)
            self.assertEqual((), decoded.outcomes, str(changes))
            self.assertNotEqual("", decoded.left_out, str(changes))
            self.assertEqual(HEARTBEAT.upstreams, decoded.upstreams)

    def test_a_heartbeat_of_an_earlier_version_has_none(self) -> None:
        decoded = decoded_with(
            outcome_tags=None,
            ended_well=None,
            ended_badly=None,
            answered=None,
            time_percents=None,
        )
        self.assertEqual(((), ""), (decoded.outcomes, decoded.left_out))

    def test_nothing_is_sent_while_all_do_well(self) -> None:
        sound = peer_messages.encode_heartbeat(builders.heartbeat("edge-1"))
        record = thrift_codec.decode_or_failure(ttypes.Beat, sound)
        assert isinstance(record, ttypes.Beat)
        self.assertIsNone(record.outcome_tags)

    def test_a_full_list_takes_few_bytes(self) -> None:
        reports = tuple(
            outcome_builders.report(2**32 - 1 - number, 2, 6, 10.0)
            for number in range(outcome_reports.MAX_REPORTS)
        )
        size = len(
            peer_messages.encode_heartbeat(
                builders.heartbeat("edge-1", outcomes=reports)
            )
        ) - len(peer_messages.encode_heartbeat(builders.heartbeat("edge-1")))
        self.assertLess(size, 100)
