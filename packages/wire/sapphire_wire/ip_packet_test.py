import socket

import dpkt
import hypothesis
from hypothesis import strategies
import testtools
from testtools import matchers

from sapphire_wire import ip_packet
from sapphire_wire import packet_builders

CALLER = ("192.0.2.7", 40001)
SERVICE = ("198.51.100.1", 443)
SERVICE_KEY = ip_packet.service_key(socket.inet_aton(SERVICE[0]), SERVICE[1])


def decode_fields(packet: bytes) -> ip_packet.PacketFields:
    fields = ip_packet.decode(packet)
    assert isinstance(fields, ip_packet.PacketFields), fields
    return fields


class DecodeTest(testtools.TestCase):
    def test_opening_and_closing_follow_from_the_tcp_flags(self) -> None:
        cases = (
            (packet_builders.SYN, True, False),
            (packet_builders.SYN | packet_builders.ACK, False, False),
            (packet_builders.ACK, False, False),
            (packet_builders.FIN | packet_builders.ACK, False, True),
            (packet_builders.RST, False, True),
        )
        for flags, is_opening, is_closing in cases:
            fields = decode_fields(
                packet_builders.tcp_packet(CALLER, SERVICE, flags)
            )
            self.expectThat(fields.is_opening, matchers.Equals(is_opening))
            self.expectThat(fields.is_closing, matchers.Equals(is_closing))
            self.expectThat(fields.service_key, matchers.Equals(SERVICE_KEY))

    def test_all_packets_of_a_flow_have_one_hash(self) -> None:
        opening = decode_fields(
            packet_builders.tcp_packet(CALLER, SERVICE, packet_builders.SYN)
        )
        later = decode_fields(
            packet_builders.tcp_packet(CALLER, SERVICE, payload=b"hello")
        )
        other = decode_fields(
            packet_builders.tcp_packet((CALLER[0], 40002), SERVICE)
        )
        self.assertThat(later.flow_hash, matchers.Equals(opening.flow_hash))
        self.assertThat(
            other.flow_hash, matchers.Not(matchers.Equals(opening.flow_hash))
        )

    def test_ip_options_do_not_change_the_decoded_fields(self) -> None:
        plain = packet_builders.tcp_packet(CALLER, SERVICE, packet_builders.SYN)
        size = len(plain) + 4
        with_options = (
            b"\x46\x00"
            + size.to_bytes(2, "big")
            + plain[4:20]
            + b"\x01" * 4
            + plain[20:]
        )
        self.assertEqual(decode_fields(plain), decode_fields(with_options))

    def test_icmp_error_gets_the_hash_and_service_of_the_quoted_flow(
        self,
    ) -> None:
        quoted = packet_builders.tcp_packet(SERVICE, CALLER)
        error = dpkt.ip.IP(
            src=socket.inet_aton("203.0.113.1"),
            dst=socket.inet_aton(SERVICE[0]),
            p=dpkt.ip.IP_PROTO_ICMP,
            len=20 + 8 + 28,
            data=b"\x03\x04\x00\x00\x00\x00\x05\x00" + quoted[:28],
        )
        fields = decode_fields(bytes(error))
        flow = decode_fields(packet_builders.tcp_packet(CALLER, SERVICE))
        self.assertThat(fields.flow_hash, matchers.Equals(flow.flow_hash))
        self.assertThat(fields.service_key, matchers.Equals(SERVICE_KEY))

    def test_unroutable_packets_are_typed_failures(self) -> None:
        valid = packet_builders.tcp_packet(CALLER, SERVICE)
        fragment = valid[:6] + b"\x00\x10" + valid[8:]
        udp_packet = valid[:9] + b"\x11" + valid[10:]
        cases = (
            (b"", ip_packet.MalformedPacket),
            (valid[:30], ip_packet.MalformedPacket),
            (valid + b"x", ip_packet.MalformedPacket),
            (b"\x15" + valid[1:], ip_packet.MalformedPacket),
            (fragment, ip_packet.UnsupportedPacket),
            (udp_packet, ip_packet.UnsupportedPacket),
        )
        for packet, failure_type in cases:
            self.assertIsInstance(ip_packet.decode(packet), failure_type)

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(strategies.binary(max_size=120))
    def test_arbitrary_bytes_never_raise(self, data: bytes) -> None:
        for prefix in (b"", b"\x45", b"\x60", b"\x45\x00\x00"):
            ip_packet.decode(prefix + data)
            if prefix + data:
                ip_packet.build_reset(prefix + data)


class BuildResetTest(testtools.TestCase):
    def test_reset_has_the_acknowledged_sequence_number(self) -> None:
        packet = packet_builders.tcp_packet(CALLER, SERVICE, ack=77)
        reset = ip_packet.build_reset(packet)
        assert reset is not None
        decoded = dpkt.ip.IP(reset)
        self.assertThat(decoded.data.seq, matchers.Equals(77))
        self.assertThat(
            decoded.data.flags, matchers.Equals(packet_builders.RST)
        )
        self.assertThat(
            decoded.dst, matchers.Equals(socket.inet_aton(CALLER[0]))
        )
        self.assertThat(decoded.data.dport, matchers.Equals(CALLER[1]))

    def test_reset_of_an_opening_packet_acknowledges_it(self) -> None:
        packet = packet_builders.tcp_packet(
            CALLER, SERVICE, packet_builders.SYN, seq=9
        )
        reset = ip_packet.build_reset(packet)
        assert reset is not None
        self.assertThat(dpkt.ip.IP(reset).data.ack, matchers.Equals(10))

    def test_no_reset_is_built_for_a_reset(self) -> None:
        packet = packet_builders.tcp_packet(
            CALLER, SERVICE, packet_builders.RST
        )
        self.assertIs(None, ip_packet.build_reset(packet))
