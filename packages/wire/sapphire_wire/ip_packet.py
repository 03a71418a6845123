"""Decodes the IP packets that the fabric encapsulates, and builds TCP resets.

The fabric uses GUE variant 1: the payload of the UDP datagram is the IP packet
itself, and the version field of the IP header is the only discriminator. The
decoder slices the few fields that routing needs; `dpkt` builds the resets.
"""

import dataclasses
import struct
from typing import NamedTuple

import dpkt
import xxhash

from sapphire_data import failures

_PROTOCOL_ICMP = 1
_PROTOCOL_TCP = 6
_IPV4_MIN_HEADER_BYTES = 20
_IPV6_HEADER_BYTES = 40
_TCP_MIN_HEADER_BYTES = 20
_ICMP_HEADER_BYTES = 8
_ICMP_DESTINATION_UNREACHABLE = 3
_FRAGMENT_MASK = 0x3FFF
_FLAG_FIN = 0x01
_FLAG_SYN = 0x02
_FLAG_RST = 0x04
_FLAG_ACK = 0x10
_OPENING_MASK = _FLAG_SYN | _FLAG_ACK | _FLAG_RST | _FLAG_FIN
_CLOSING_MASK = _FLAG_FIN | _FLAG_RST
_IPV6 = 6
_RESET_TTL = 64
# A common packet has an IPv4 header without options, followed by a TCP header.
_COMMON_FIRST_BYTE = 0x45
_COMMON_MIN_BYTES = _IPV4_MIN_HEADER_BYTES + _TCP_MIN_HEADER_BYTES
_FRAGMENT_HIGH_MASK = _FRAGMENT_MASK >> 8


class PacketFields(NamedTuple):
    """The fields of a packet that routing needs.

    Attributes:
        service_key: The service's IP address and port in network byte order.
        flow_hash: A 64-bit hash of the flow's addresses and ports.
        is_opening: Whether the packet opens a connection: a SYN without ACK,
            RST or FIN.
        is_closing: Whether the packet has FIN or RST set.
    """

    service_key: bytes
    flow_hash: int
    is_opening: bool
    is_closing: bool


@dataclasses.dataclass(frozen=True, slots=True)
class MalformedPacket(failures.Failure):
    """A datagram that does not hold exactly one complete IP packet.

    Attributes:
        problem: The check that failed.
    """

    problem: str


@dataclasses.dataclass(frozen=True, slots=True)
class UnsupportedPacket(failures.Failure):
    """A well-formed packet of a kind that cannot be routed.

    Attributes:
        problem: The kind of packet.
    """

    problem: str


PacketFailure = MalformedPacket | UnsupportedPacket

_TOO_SHORT = MalformedPacket("shorter than its headers")
_WRONG_LENGTH = MalformedPacket("length field does not match the datagram")
_FRAGMENT = UnsupportedPacket("fragment")
_OTHER_VERSION = MalformedPacket("neither IPv4 nor IPv6")
_OTHER_PROTOCOL = UnsupportedPacket("neither TCP nor an ICMP error about TCP")


def decode(packet: bytes) -> PacketFields | PacketFailure:
    """Decodes the fields of an IP packet that routing needs.

    Args:
        packet: The payload of a datagram; it may hold arbitrary bytes.

    Returns:
        The fields, or why the packet cannot be routed.
    """
    size = len(packet)
    if (
        size >= _COMMON_MIN_BYTES
        and packet[0] == _COMMON_FIRST_BYTE
        and packet[9] == _PROTOCOL_TCP
        and not packet[6] & _FRAGMENT_HIGH_MASK
        and not packet[7]
        and packet[3] == size & 0xFF
        and packet[2] == size >> 8
    ):
        # Nearly all packets are IPv4 without options. Their addresses and ports
        # are adjacent, so that one slice holds all bytes that are hashed.
        flags = packet[33]
        return PacketFields(
            packet[16:20] + packet[22:24],
            xxhash.xxh64_intdigest(packet[12:24]),
            (flags & _OPENING_MASK) == _FLAG_SYN,
            (flags & _CLOSING_MASK) != 0,
        )
    return _decode_uncommon(packet)


def _decode_uncommon(packet: bytes) -> PacketFields | PacketFailure:
    """Decodes any packet but common IPv4 with TCP; it may be malformed."""
    if len(packet) < _IPV4_MIN_HEADER_BYTES + _ICMP_HEADER_BYTES:
        return _TOO_SHORT
    version = packet[0] >> 4
    if version == _IPV6:
        return _decode_ipv6(packet)
    if version != 4:  # noqa: PLR2004 - The version number of the protocol.
        return _OTHER_VERSION
    header_bytes = (packet[0] & 0x0F) * 4
    if header_bytes < _IPV4_MIN_HEADER_BYTES:
        return _TOO_SHORT
    if (packet[2] << 8 | packet[3]) != len(packet):
        return _WRONG_LENGTH
    if (packet[6] << 8 | packet[7]) & _FRAGMENT_MASK:
        return _FRAGMENT
    if packet[9] == _PROTOCOL_TCP:
        return _decode_tcp(packet, header_bytes, packet[12:16], packet[16:20])
    if packet[9] == _PROTOCOL_ICMP:
        return _decode_icmp(packet, header_bytes)
    return _OTHER_PROTOCOL


def service_key(address: bytes, port: int) -> bytes:
    """Returns the key by which packets are assigned to a service.

    Args:
        address: The packed IP address of the service, 4 or 16 bytes.
        port: The port that callers use.

    Returns:
        The address followed by the port in network byte order.
    """
    return address + struct.pack("!H", port)


def build_reset(packet: bytes) -> bytes | None:
    """Builds the TCP reset that closes a flow towards its caller.

    The sequence numbers follow RFC 9293, section 3.10.7.1.

    Args:
        packet: A packet of the caller, as `decode` accepted it.

    Returns:
        The packet from the service to the caller, or None if the caller's
        packet is a reset itself or holds no TCP segment.
    """
    try:
        if packet[0] >> 4 == _IPV6:
            received = dpkt.ip6.IP6(packet)
        else:
            received = dpkt.ip.IP(packet)
    except (dpkt.UnpackError, dpkt.NeedData, ValueError, struct.error):
        return None
    segment = received.data
    if not isinstance(segment, dpkt.tcp.TCP) or segment.flags & _FLAG_RST:
        return None
    return _wrap_reset(received, _reset_segment(segment))


def _decode_tcp(
    packet: bytes, offset: int, caller: bytes, service: bytes
) -> PacketFields | PacketFailure:
    """Decodes a TCP segment that starts at an offset of the packet."""
    if len(packet) < offset + _TCP_MIN_HEADER_BYTES:
        return _TOO_SHORT
    ports = packet[offset : offset + 4]
    flags = packet[offset + 13]
    return PacketFields(
        service + ports[2:],
        xxhash.xxh64_intdigest(caller + service + ports),
        (flags & _OPENING_MASK) == _FLAG_SYN,
        (flags & _CLOSING_MASK) != 0,
    )


def _decode_ipv6(packet: bytes) -> PacketFields | PacketFailure:
    """Decodes an IPv6 packet without extension headers."""
    if len(packet) < _IPV6_HEADER_BYTES + _TCP_MIN_HEADER_BYTES:
        return _TOO_SHORT
    if (packet[4] << 8 | packet[5]) + _IPV6_HEADER_BYTES != len(packet):
        return _WRONG_LENGTH
    if packet[6] != _PROTOCOL_TCP:
        return _OTHER_PROTOCOL
    return _decode_tcp(packet, _IPV6_HEADER_BYTES, packet[8:24], packet[24:40])


def _decode_icmp(packet: bytes, offset: int) -> PacketFields | PacketFailure:
    """Decodes an ICMP error about a packet that an upstream sent.

    Such an error, above all "fragmentation needed", must reach the upstream of
    the flow to which the quoted packet belongs. That packet was sent from the
    service to the caller, so its addresses and ports are swapped to get the
    flow's hash.
    """
    quoted = offset + _ICMP_HEADER_BYTES
    if len(packet) < quoted + _IPV4_MIN_HEADER_BYTES + _ICMP_HEADER_BYTES:
        return _TOO_SHORT
    if packet[offset] != _ICMP_DESTINATION_UNREACHABLE:
        return _OTHER_PROTOCOL
    if packet[quoted] >> 4 != 4 or packet[quoted + 9] != _PROTOCOL_TCP:  # noqa: PLR2004
        return _OTHER_PROTOCOL
    header_bytes = (packet[quoted] & 0x0F) * 4
    ports = packet[quoted + header_bytes : quoted + header_bytes + 4]
    if len(ports) < 4:  # noqa: PLR2004 - Two ports of two bytes.
        return _TOO_SHORT
    service = packet[quoted + 12 : quoted + 16]
    caller = packet[quoted + 16 : quoted + 20]
    reversed_ports = ports[2:] + ports[:2]
    return PacketFields(
        service + ports[:2],
        xxhash.xxh64_intdigest(caller + service + reversed_ports),
        False,
        False,
    )


def _reset_segment(segment: dpkt.tcp.TCP) -> dpkt.tcp.TCP:
    """Returns the reset in response to a segment."""
    reset = dpkt.tcp.TCP(sport=segment.dport, dport=segment.sport, win=0)
    if segment.flags & _FLAG_ACK:
        reset.seq = segment.ack
        reset.flags = _FLAG_RST
        return reset
    length = len(segment.data)
    if segment.flags & _FLAG_SYN:
        length += 1
    if segment.flags & _FLAG_FIN:
        length += 1
    reset.ack = (segment.seq + length) & 0xFFFFFFFF
    reset.flags = _FLAG_RST | _FLAG_ACK
    return reset


def _wrap_reset(
    received: dpkt.ip.IP | dpkt.ip6.IP6, reset: dpkt.tcp.TCP
) -> bytes:
    """Adds an IP header with the addresses of the received packet swapped."""
    if isinstance(received, dpkt.ip6.IP6):
        packet = dpkt.ip6.IP6(
            src=received.dst,
            dst=received.src,
            nxt=_PROTOCOL_TCP,
            hlim=_RESET_TTL,
            plen=len(reset),
            data=reset,
        )
        packet.extension_hdrs = {}
        return bytes(packet)
    return bytes(
        dpkt.ip.IP(
            src=received.dst,
            dst=received.src,
            p=_PROTOCOL_TCP,
            ttl=_RESET_TTL,
            len=_IPV4_MIN_HEADER_BYTES + len(reset),
            data=reset,
        )
    )
