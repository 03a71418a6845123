import zlib

import testtools

from sapphire_core.peers import data
from sapphire_core.replication import data as replication_data
from sapphire_data import failures
from sapphire_lab.tagged_flows import builders
from sapphire_wire import peer_messages
from sapphire_wire import thrift_codec
from sapphire_wire.gen.peers import ttypes

BEAT = builders.heartbeat(
    "edge-1",
    sequence=7,
    revision=530,
    store_failed_ms=1_200,
    followers={"edge-1": 0, "edge-2": 340},
    upstreams=(data.UpstreamReport(4_294_967_295, 2.25, 300),),
)


class PeerMessagesTest(testtools.TestCase):
    def test_a_beat_is_read_as_it_was_written(self) -> None:
        for beat in (BEAT, builders.heartbeat("edge-2")):
            datagram = peer_messages.encode_heartbeat(beat)
            self.assertEqual(beat, peer_messages.decode_heartbeat(datagram))

    def test_a_beat_about_many_upstreams_fits_a_datagram(self) -> None:
        reports = tuple(
            data.UpstreamReport(2**32 - 1 - number, 1.0, 2_400)
            for number in range(400)
        )
        datagram = peer_messages.encode_heartbeat(
            builders.heartbeat("edge-1", upstreams=reports)
        )
        self.assertLess(len(datagram), peer_messages.MAX_HEARTBEAT_BYTES)

    def test_what_is_no_beat_is_told(self) -> None:
        whole = peer_messages.encode_heartbeat(BEAT)
        for size in range(len(whole)):
            read = peer_messages.decode_heartbeat(whole[:size])
            self.assertIsInstance(read, failures.UnreadableInput)
        for noise in (b"\xff" * 40, bytes(40)):
            read = peer_messages.decode_heartbeat(noise)
            self.assertIsInstance(read, failures.UnreadableInput)

    def test_lists_of_different_lengths_are_told(self) -> None:
        for changes in (
            {"busy": [1, 2]},
            {"follower_ages_ms": [1]},
            {"revisions": [1]},
        ):
            record = thrift_codec.decode_or_failure(
                ttypes.Beat, peer_messages.encode_heartbeat(BEAT)
            )
            for name, value in changes.items():
                setattr(record, name, value)
            read = peer_messages.decode_heartbeat(thrift_codec.encode(record))
            self.assertIsInstance(read, failures.UnreadableInput)

    def test_a_batch_is_read_as_it_was_written(self) -> None:
        batch = builders.batch(
            builders.item("a", 1, b"\x00\xff"),
            builders.item("b", 2, None),
            builders.item("c", 3, b""),
            as_of=9,
            is_full=True,
        )
        body = peer_messages.encode_batch(batch)
        self.assertEqual(batch, peer_messages.decode_batch(body))

    def test_what_is_no_batch_is_told(self) -> None:
        body = peer_messages.encode_batch(
            replication_data.Batch((builders.item("a", 1),), 9, False)
        )
        for fault in (b"", body[:-9], b"noise", zlib.compress(b"noise")):
            read = peer_messages.decode_batch(fault)
            self.assertIsInstance(read, failures.UnreadableInput)

    def test_a_contact_is_read_as_it_was_written(self) -> None:
        value = peer_messages.encode_contact(BEAT.contact)
        self.assertEqual(BEAT.contact, peer_messages.decode_contact(value))
        broken = peer_messages.decode_contact(value[:-3])
        self.assertIsInstance(broken, failures.UnreadableInput)
