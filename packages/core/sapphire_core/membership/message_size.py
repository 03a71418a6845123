"""Upper bounds of the encoded size of messages, without encoding them.

The core does not depend on the codec, but has to fill messages up to a size
limit. The bounds follow the Thrift compact protocol: one byte for each field
and its type, integers in groups of seven bits, and a length before each string
and list.
"""

from sapphire_core.membership import data

_FIELD_BYTES = 1
_STOP_BYTES = 1
_LIST_BYTES = 4
_DIGEST_BYTES = 10
_SMALL_NUMBER_BYTES = 2
_IPV4_BYTES = 4
_IPV6_BYTES = 16

# The fields of a sealed datagram besides the body, and the headers of UDP and
# IPv4.
DATAGRAM_OVERHEAD_BYTES = 110


def member_bytes(entry: data.MemberEntry) -> int:
    """Returns an upper bound of the encoded size of an entry about a host."""
    host = entry.host
    size = _text_bytes(host.host_id) + _text_bytes(host.data_centre)
    address_bytes = _IPV4_BYTES if ":" not in host.address else _IPV6_BYTES
    size += _FIELD_BYTES + 1 + address_bytes
    size += _number_bytes(host.control_port) + _number_bytes(host.api_port)
    size += _number_bytes(entry.incarnation)
    size += _FIELD_BYTES + _SMALL_NUMBER_BYTES
    return size + _STOP_BYTES


def fact_bytes(fact: data.FactEntry) -> int:
    """Returns an upper bound of the encoded size of a fact."""
    size = _text_bytes(fact.key) + _number_bytes(fact.version)
    size += _FIELD_BYTES + _SMALL_NUMBER_BYTES + len(fact.value)
    return size + _number_bytes(fact.ttl_ms) + _STOP_BYTES


def prepared_bytes(entry: data.PreparedEntry) -> int:
    """Returns an upper bound of the encoded size of an entry of `prepared`."""
    size = _number_bytes(entry.revision) + _FIELD_BYTES + _DIGEST_BYTES
    size += _FIELD_BYTES + _SMALL_NUMBER_BYTES + len(entry.bits)
    return size + _STOP_BYTES


def message_bytes(message: data.GossipMessage) -> int:
    """Returns an upper bound of the encoded size of a message."""
    size = _FIELD_BYTES + _SMALL_NUMBER_BYTES
    size += _number_bytes(message.number)
    size += _FIELD_BYTES + member_bytes(message.origin)
    size += _text_bytes(message.subject)
    size += _FIELD_BYTES + _DIGEST_BYTES
    size += 4 * _LIST_BYTES
    size += _number_bytes(abs(message.cursor))
    size += _DIGEST_BYTES * len(message.bucket_digests)
    for member in message.members:
        size += member_bytes(member)
    for fact in message.facts:
        size += fact_bytes(fact)
    for prepared in message.prepared:
        size += prepared_bytes(prepared)
    return size + _STOP_BYTES


def _text_bytes(text: str) -> int:
    """Returns the bytes of a string field; strings are below 16,384 bytes."""
    return _FIELD_BYTES + _SMALL_NUMBER_BYTES + len(text.encode())


def _number_bytes(number: int) -> int:
    """Returns the bytes of an integer field, zigzag-encoded as a varint."""
    return _FIELD_BYTES + max(1, ((number << 1).bit_length() + 6) // 7)
