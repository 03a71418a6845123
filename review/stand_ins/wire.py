"""Packets as PROTOCOL.md tells them."""

import dataclasses
import ipaddress
import struct
import zlib

FIN = 1
RST = 8
SYN = 16
ACK = 64

MAX_DATA_BYTES = 1_200
MASK = 0xFFFF_FFFF
_HEAD = struct.Struct(">HHIIIIBBIHI")
HEAD_BYTES = _HEAD.size
_GUARD = struct.Struct(">Q")
GUARD_BYTES = _GUARD.size
# The sum is keyed; the system does not know the key.
_KEY = 0x51AC_C3D7

# An IPv4 address and a port.
End = tuple[str, int]


@dataclasses.dataclass(slots=True)
class Packet:
    """One packet.

    Attributes:
        source: The sender's end.
        destination: The other end.
        sequence: The number of the first byte of data.
        acknowledged: The number of the next byte that the sender expects.
        flags: SYN, ACK, FIN, RST.
        echo: The echo field.
        data: The data.
        is_sum_right: Whether the sum is that of the other fields.
    """

    source: End
    destination: End
    sequence: int
    acknowledged: int
    flags: int
    echo: int
    data: bytes = b""
    is_sum_right: bool = True

    @property
    def end(self) -> int:
        """The number after the last byte, SYN and FIN counted."""
        extra = bool(self.flags & SYN) + bool(self.flags & FIN)
        return (self.sequence + len(self.data) + extra) & MASK


def _sum(packet: Packet) -> int:
    """Returns the keyed sum of all fields but `echo` and `pad`."""
    text = repr(
        (
            packet.source,
            packet.destination,
            packet.sequence,
            packet.acknowledged,
            packet.flags,
            packet.data,
        )
    )
    return zlib.crc32(text.encode(), _KEY)


def encode(packet: Packet) -> bytes:
    """Returns the datagram of a packet."""
    head = _HEAD.pack(
        packet.source[1],
        packet.destination[1],
        int(ipaddress.IPv4Address(packet.destination[0])),
        int(ipaddress.IPv4Address(packet.source[0])),
        packet.sequence & MASK,
        packet.acknowledged & MASK,
        packet.flags,
        0,
        packet.echo,
        len(packet.data),
        _sum(packet),
    )
    return head + packet.data


def decode(datagram: bytes) -> Packet:
    """Returns the packet of a datagram."""
    (
        source_port,
        destination_port,
        destination,
        source,
        sequence,
        acknowledged,
        flags,
        _pad,
        echo,
        length,
        checksum,
    ) = _HEAD.unpack_from(datagram)
    packet = Packet(
        (str(ipaddress.IPv4Address(source)), source_port),
        (str(ipaddress.IPv4Address(destination)), destination_port),
        sequence,
        acknowledged,
        flags,
        echo,
        datagram[HEAD_BYTES : HEAD_BYTES + length],
    )
    packet.is_sum_right = checksum == _sum(packet)
    return packet


def split_guard(datagram: bytes) -> tuple[int, bytes]:
    """Returns the eight bytes before a packet to a target, and the packet."""
    return _GUARD.unpack_from(datagram)[0], datagram[GUARD_BYTES:]


def is_after(number: int, other: int) -> bool:
    """Whether a sequence number comes after another one."""
    return 0 < ((number - other) & MASK) < (1 << 31)
