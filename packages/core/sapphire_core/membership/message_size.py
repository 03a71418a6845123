"""Upper bounds of the encoded size of messages, without encoding them.

The core knows no codec, but it must fill messages up to a limit. Each constant
is the most that the compact protocol needs for the fixed fields of a record.
"""

from sapphire_core.membership import data

# A header byte and a varint of ten bytes for each number, a length for each
# string and the stop byte.
_MEMBER_FIXED_BYTES = 52
_FACT_FIXED_BYTES = 32
_PREPARED_FIXED_BYTES = 32
_MESSAGE_FIXED_BYTES = 64
_DIGEST_BYTES = 10

# Sealing, UDP and IPv4 headers of a datagram, for the accounting of rates.
DATAGRAM_OVERHEAD_BYTES = 110


def member_bytes(entry: data.MemberEntry) -> int:
    """Returns an upper bound of the encoded size of an entry about a host."""
    host = entry.host
    strings = len(host.host_id.encode()) + len(host.data_centre.encode())
    return _MEMBER_FIXED_BYTES + strings + len(host.address)


def fact_bytes(fact: data.FactEntry) -> int:
    """Returns an upper bound of the encoded size of a fact."""
    return _FACT_FIXED_BYTES + len(fact.key.encode()) + len(fact.value)


def prepared_bytes(entry: data.PreparedEntry) -> int:
    """Returns an upper bound of the encoded size of a prepared entry."""
    return _PREPARED_FIXED_BYTES + len(entry.bits)


def message_bytes(message: data.GossipMessage) -> int:
    """Returns an upper bound of the encoded size of a message."""
    size = _MESSAGE_FIXED_BYTES + member_bytes(message.origin)
    size += len(message.subject.encode())
    size += _DIGEST_BYTES * len(message.bucket_digests)
    for member in message.members:
        size += member_bytes(member)
    for fact in message.facts:
        size += fact_bytes(fact)
    for prepared in message.prepared:
        size += prepared_bytes(prepared)
    return size
