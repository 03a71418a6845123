"""Builds IPv4 packets for tests, fakes and benchmarks."""

import socket

import dpkt

SYN = dpkt.tcp.TH_SYN
ACK = dpkt.tcp.TH_ACK
FIN = dpkt.tcp.TH_FIN
RST = dpkt.tcp.TH_RST


def tcp_packet(
    caller: tuple[str, int],
    service: tuple[str, int],
    flags: int = ACK,
    *,
    payload: bytes = b"",
    seq: int = 1,
    ack: int = 0,
) -> bytes:
    """Builds an IPv4 packet that holds a TCP segment.

    Args:
        caller: The IP address and port of the caller.
        service: The IP address and port of the service.
        flags: The TCP flags.
        payload: The bytes that the segment carries.
        seq: The sequence number.
        ack: The acknowledgement number.

    Returns:
        The packet with its checksums.
    """
    segment = dpkt.tcp.TCP(
        sport=caller[1],
        dport=service[1],
        seq=seq,
        ack=ack,
        flags=flags,
        data=payload,
    )
    packet = dpkt.ip.IP(
        src=socket.inet_aton(caller[0]),
        dst=socket.inet_aton(service[0]),
        p=dpkt.ip.IP_PROTO_TCP,
        len=20 + 20 + len(payload),
        data=segment,
    )
    return bytes(packet)
