import testtools

from sapphire_core.tagged_flows import data
from sapphire_core.tagged_flows import upstream_table
from sapphire_core.tagged_flows.flows import flow_pins
from sapphire_lab.tagged_flows import builders

LIFETIME_MS = upstream_table.MAX_FLOW_LIFETIME_MS


class FlowPinsTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.pins = flow_pins.FlowPins()

    def pin(self, number: int, tag: int = 7, acknowledged: int = 100) -> None:
        packet = builders.packet(number, tag=tag, acknowledged=acknowledged)
        self.pins.record_upstream(packet, tag, 0)

    def tag_of(self, number: int, acknowledged: int = 100) -> int | None:
        return self.pins.tag_of(
            builders.packet(number, tag=9, acknowledged=acknowledged)
        )

    def test_the_first_upstream_that_is_known_holds(self) -> None:
        self.pin(1, tag=7)
        self.pin(1, tag=8)
        self.pins.merge([data.FlowPin(builders.flow(1), 8, 100)], 5)
        self.pins.merge([data.FlowPin(builders.flow(1), data.NO_TAG, 0)], 5)
        self.assertEqual(7, self.tag_of(1))

    def test_a_flow_is_unresolved_until_some_host_knows_its_upstream(
        self,
    ) -> None:
        self.pins.record_ambiguous(builders.flow(1), 0)
        self.assertTrue(self.pins.is_unresolved(builders.flow(1)))
        self.assertIsNone(self.tag_of(1))
        self.pins.merge([data.FlowPin(builders.flow(1), 8, 100)], 5)
        self.assertFalse(self.pins.is_unresolved(builders.flow(1)))
        self.assertEqual(8, self.tag_of(1))

    def test_a_pin_does_not_hold_for_a_later_flow_of_the_same_port(
        self,
    ) -> None:
        """Guards against: a new flow is sent to the upstream of a former one
        whose caller used the same port within a minute."""
        self.pin(1, acknowledged=2**32 - 10)
        self.assertEqual(7, self.tag_of(1, 2**32 - 20))
        self.assertEqual(7, self.tag_of(1, 1_000_000))
        self.assertIsNone(self.tag_of(1, 2**31))
        self.pins.merge([data.FlowPin(builders.flow(1), 8, 2**31)], 5)
        self.assertEqual(8, self.tag_of(1, 2**31))

    def test_own_pins_are_told_for_some_time_and_others_by_relays_only(
        self,
    ) -> None:
        self.pin(1)
        self.pins.merge([data.FlowPin(builders.flow(2), 8, 100)], 0)
        flows = {
            relays: {
                pin.flow_id for pin in self.pins.reported(0, relays=relays)
            }
            for relays in (False, True)
        }
        self.assertEqual({builders.flow(1)}, flows[False])
        self.assertEqual({builders.flow(1), builders.flow(2)}, flows[True])
        later_ms = flow_pins.REPORT_MS + 1
        self.assertEqual((), self.pins.reported(later_ms, relays=True))
        self.assertEqual(2, len(self.pins.all_pins()))

    def test_a_burst_of_pins_is_bounded(self) -> None:
        for number in range(flow_pins.MAX_PINS + 50):
            self.pin(number)
        self.assertEqual(flow_pins.MAX_PINS, len(self.pins))
        reported = self.pins.reported(0, relays=False)
        self.assertEqual(flow_pins.MAX_REPORTED_PINS, len(reported))
        newest = builders.flow(flow_pins.MAX_PINS + 49)
        self.assertEqual(newest, reported[0].flow_id)

    def test_pins_are_evicted_after_the_longest_life_of_a_flow(self) -> None:
        self.pin(1)
        self.pins.evict_expired(LIFETIME_MS)
        self.assertEqual(1, len(self.pins))
        self.pins.evict_expired(LIFETIME_MS + 1)
        self.assertEqual(0, len(self.pins))
