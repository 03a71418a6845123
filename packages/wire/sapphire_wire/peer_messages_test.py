import dataclasses
import zlib

import testtools

from sapphire_core.peers import data
from sapphire_core.replication import data as replication_data
from sapphire_core.tagged_flows import data as flow_data
from sapphire_data import failures
from sapphire_lab.tagged_flows import builders
from sapphire_lab.tagged_flows import outcome_builders
from sapphire_wire import peer_messages
from sapphire_wire import thrift_codec
from sapphire_wire.gen.peers import ttypes

HEARTBEAT = builders.heartbeat(
    "edge-1",
    sequence=7,
    revision=530,
    store_failed_ms=1_200,
    followers=builders.claims({"edge-1": 0, "edge-2": 340}),
    upstreams=(data.UpstreamReport(4_294_967_295, 2.25, 300),),
    outcomes=(
        outcome_builders.report(4_294_967_295, 2, 3, time_ratio=4.25),
        outcome_builders.report(17, 0, 1),
    ),
    is_cut_off=True,
    answered_ms=2**40,
    flow_pins=(flow_data.FlowPin(builders.flow(3), 2**32 - 1, 2**32 - 1),),
)


class FormerBeat(ttypes.Beat):  # type: ignore[misc]
    """A heartbeat with the fields that hosts of 8db66d3 know."""

    thrift_spec = ttypes.Beat.thrift_spec[:26]


class PeerMessagesTest(testtools.TestCase):
    def test_heartbeat_survives_the_round_trip(self) -> None:
        for heartbeat in (HEARTBEAT, builders.heartbeat("edge-2")):
            datagram = peer_messages.encode_heartbeat(heartbeat)
            self.assertEqual(
                heartbeat, peer_messages.decode_heartbeat(datagram)
            )

    def test_heartbeat_about_400_upstreams_fits_a_datagram(self) -> None:
        reports = tuple(
            data.UpstreamReport(2**32 - 1 - number, 1.0, 2_400)
            for number in range(400)
        )
        datagram = peer_messages.encode_heartbeat(
            builders.heartbeat("edge-1", upstreams=reports)
        )
        self.assertLess(len(datagram), peer_messages.MAX_HEARTBEAT_BYTES)

    def test_malformed_heartbeat_is_a_typed_failure(self) -> None:
        datagram = peer_messages.encode_heartbeat(HEARTBEAT)
        for size in range(len(datagram)):
            decoded = peer_messages.decode_heartbeat(datagram[:size])
            self.assertIsInstance(decoded, failures.UnreadableInput)
        for noise in (b"\xff" * 40, bytes(40)):
            decoded = peer_messages.decode_heartbeat(noise)
            self.assertIsInstance(decoded, failures.UnreadableInput)

    def test_lists_of_different_lengths_are_a_typed_failure(self) -> None:
        for changes in (
            {"busy": [1, 2]},
            {"follower_ages_ms": [1]},
            {"follower_answered_ms": [1]},
            {"revisions": [1]},
        ):
            record = thrift_codec.decode_or_failure(
                ttypes.Beat, peer_messages.encode_heartbeat(HEARTBEAT)
            )
            for name, value in changes.items():
                setattr(record, name, value)
            decoded = peer_messages.decode_heartbeat(
                thrift_codec.encode(record)
            )
            self.assertIsInstance(decoded, failures.UnreadableInput)

    def test_contact_without_an_address_is_a_typed_failure(self) -> None:
        for address, port in (
            ("", 1),
            ("edge-1", 1),
            ("10.0.0.1\0", 1),
            ("\u00e9" * 100, 1),
            ("::1", 1),
            ("10.0.0.1", -1),
            ("10.0.0.1", 70_000),
        ):
            contact = data.Contact("edge-1", "pnw", address, port)
            value = peer_messages.encode_contact(contact)
            self.assertIsInstance(
                peer_messages.decode_contact(value), failures.UnreadableInput
            )
            heartbeat = dataclasses.replace(HEARTBEAT, contact=contact)
            datagram = peer_messages.encode_heartbeat(heartbeat)
            self.assertIsInstance(
                peer_messages.decode_heartbeat(datagram),
                failures.UnreadableInput,
            )

    def test_ages_of_more_than_24_days_are_sent_as_the_largest(self) -> None:
        too_large = 2**31
        heartbeat = builders.heartbeat(
            "edge-1",
            store_failed_ms=too_large,
            followers=builders.claims({"edge-2": too_large}),
            upstreams=(data.UpstreamReport(1, float(too_large), too_large),),
        )
        decoded = peer_messages.decode_heartbeat(
            peer_messages.encode_heartbeat(heartbeat)
        )
        assert isinstance(decoded, data.Heartbeat)
        self.assertEqual(too_large - 1, decoded.store_failed_ms)
        self.assertEqual(
            builders.claims({"edge-2": too_large - 1}), decoded.followers
        )
        self.assertEqual(too_large - 1, decoded.upstreams[0].silent_ms)

    def test_a_host_of_8db66d3_reads_followers_and_their_ages(self) -> None:
        record = thrift_codec.decode_or_failure(
            FormerBeat, peer_messages.encode_heartbeat(HEARTBEAT)
        )
        assert isinstance(record, FormerBeat)
        self.assertEqual(["edge-1", "edge-2"], record.followers)
        self.assertEqual([0, 340], record.follower_ages_ms)
        self.assertTrue(record.is_cut_off)
        self.assertIsNone(record.answered_ms)

    def test_claims_of_8db66d3_have_no_time_of_an_answer(self) -> None:
        record = thrift_codec.decode_or_failure(
            ttypes.Beat, peer_messages.encode_heartbeat(HEARTBEAT)
        )
        assert isinstance(record, ttypes.Beat)
        record.follower_answered_ms = record.answered_ms = None
        decoded = peer_messages.decode_heartbeat(thrift_codec.encode(record))
        assert isinstance(decoded, data.Heartbeat)
        self.assertEqual(
            builders.claims({"edge-1": 0, "edge-2": 340}, None),
            decoded.followers,
        )
        self.assertIsNone(decoded.answered_ms)

    def test_flow_pins_that_are_cut_short_are_left_out_alone(self) -> None:
        record = thrift_codec.decode_or_failure(
            ttypes.Beat, peer_messages.encode_heartbeat(HEARTBEAT)
        )
        assert isinstance(record, ttypes.Beat)
        record.flow_pins = record.flow_pins[:-1]
        decoded = peer_messages.decode_heartbeat(thrift_codec.encode(record))
        assert isinstance(decoded, data.Heartbeat)
        self.assertEqual((), decoded.flow_pins)
        self.assertIn("19 bytes", decoded.left_out)

    def test_batch_survives_the_round_trip(self) -> None:
        batch = builders.batch(
            builders.item("a", 1, b"\x00\xff"),
            builders.item("b", 2, None),
            builders.item("c", 3, b""),
            as_of=9,
            is_full=True,
        )
        body = peer_messages.encode_batch(batch)
        self.assertEqual(batch, peer_messages.decode_batch(body))

    def test_malformed_batch_is_a_typed_failure(self) -> None:
        body = peer_messages.encode_batch(
            replication_data.Batch((builders.item("a", 1),), 9, False)
        )
        for malformed in (b"", body[:-9], b"noise", zlib.compress(b"noise")):
            decoded = peer_messages.decode_batch(malformed)
            self.assertIsInstance(decoded, failures.UnreadableInput)

    def test_contact_survives_the_round_trip_unless_truncated(self) -> None:
        value = peer_messages.encode_contact(HEARTBEAT.contact)
        self.assertEqual(HEARTBEAT.contact, peer_messages.decode_contact(value))
        truncated = peer_messages.decode_contact(value[:-3])
        self.assertIsInstance(truncated, failures.UnreadableInput)

    def test_eras_are_sent_and_are_0_without_the_field(self) -> None:
        batch = builders.copy_batch(builders.item("a", 1), as_of=9)
        body = peer_messages.encode_batch(batch)
        self.assertEqual(batch, peer_messages.decode_batch(body))
        for era, sent in ((6, 6), (0, 0), (-3, 0)):
            heartbeat = dataclasses.replace(HEARTBEAT, era=era)
            datagram = peer_messages.encode_heartbeat(heartbeat)
            decoded = peer_messages.decode_heartbeat(datagram)
            assert not isinstance(decoded, failures.Failure)
            self.assertEqual(sent, decoded.era)
