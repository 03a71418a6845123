import hypothesis
from hypothesis import strategies
import testtools
from testtools import matchers

from sapphire_wire import codec
from sapphire_wire.gen.envelope import ttypes as envelope_types
from sapphire_wire.gen.relay import ttypes as relay_types


class CodecTest(testtools.TestCase):
    def test_record_survives_the_round_trip(self) -> None:
        packet = relay_types.RelayedPacket(
            revision=7,
            visited=["h1"],
            packet=b"\x45\x00",
            upstream=None,
            fabric_address="192.0.2.1",
            fabric_port=6080,
        )
        decoded = codec.decode(relay_types.RelayedPacket, codec.encode(packet))
        self.assertThat(decoded.ok, matchers.Equals(packet))

    def test_missing_required_field_is_a_typed_failure(self) -> None:
        decoded = codec.decode(relay_types.RelayedPacket, b"\x00")
        self.assertThat(decoded.is_error(), matchers.Equals(True))

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(strategies.binary(max_size=300))
    def test_arbitrary_bytes_never_raise(self, data: bytes) -> None:
        for record_type in (
            relay_types.RelayedPacket,
            envelope_types.Sealed,
        ):
            decoded = codec.decode(record_type, data)
            self.assertThat(
                decoded.is_ok() != decoded.is_error(), matchers.Equals(True)
            )
