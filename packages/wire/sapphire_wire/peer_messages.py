"""Encodes and decodes the messages between entry hosts as thrift records."""

from collections.abc import Collection
import dataclasses
import socket
import zlib

from sapphire_core.peers import data
from sapphire_core.replication import data as replication_data
from sapphire_data import failures
from sapphire_wire import flow_pin_list
from sapphire_wire import outcome_lists
from sapphire_wire import thrift_codec
from sapphire_wire.gen.peers import ttypes

# A datagram of this size passes all links of the users' networks.
MAX_HEARTBEAT_BYTES = 8_192
_SCOPES = tuple(replication_data.Scope)
# In-flight requests are sent as a number of hundredths.
_BUSY_UNITS = 100
_NEVER_FAILED = -1
# The time of an answer that the claim of a follower does not name.
_UNNAMED = -1
# A greater number is sent as this one. Ages grow without bound, and an age of
# 25 days in ms has more than 32 bits.
_MAX_I32 = 2**31 - 1
_MAX_PORT = 65_535


def encode_heartbeat(heartbeat: data.Heartbeat) -> bytes:
    """Returns the datagram that carries a heartbeat."""
    contact = heartbeat.contact
    failed_ms = heartbeat.store_failed_ms
    outcomes = outcome_lists.encode(heartbeat.outcomes)
    return thrift_codec.encode(
        ttypes.Beat(
            host=contact.host,
            data_centre=contact.data_centre,
            address=contact.address,
            port=contact.port,
            start_id=heartbeat.start_id,
            sequence=heartbeat.sequence,
            is_leaving=heartbeat.is_leaving,
            revisions=[heartbeat.revisions.get(scope, 0) for scope in _SCOPES],
            store_failed_ms=(
                _NEVER_FAILED if failed_ms is None else _limit(failed_ms)
            ),
            followers=list(heartbeat.followers),
            follower_ages_ms=_limit_all(
                [claim.age_ms for claim in heartbeat.followers.values()]
            ),
            upstream_tags=[report.tag for report in heartbeat.upstreams],
            busy=_limit_all(
                [int(each.busy * _BUSY_UNITS) for each in heartbeat.upstreams]
            ),
            silent_ms=_limit_all(
                [report.silent_ms for report in heartbeat.upstreams]
            ),
            data_centres=list(heartbeat.live_counts),
            live_hosts=[
                _limit(each.hosts) for each in heartbeat.live_counts.values()
            ],
            live_host_ages_ms=[
                _limit(each.age_ms) for each in heartbeat.live_counts.values()
            ],
            **({} if outcomes is None else dataclasses.asdict(outcomes)),
            era=heartbeat.era or None,
            is_cut_off=heartbeat.is_cut_off or None,
            follower_answered_ms=[
                _UNNAMED if claim.answered_ms is None else claim.answered_ms
                for claim in heartbeat.followers.values()
            ],
            answered_ms=heartbeat.answered_ms,
            flow_pins=flow_pin_list.encode(heartbeat.flow_pins) or None,
        )
    )


def _limit(number: int) -> int:
    """Returns a number that fits into a field of 32 bits."""
    return min(number, _MAX_I32)


def _limit_all(numbers: Collection[int]) -> list[int]:
    """Returns numbers that fit into a list of 32 bits each."""
    if max(numbers, default=0) <= _MAX_I32:
        return list(numbers)
    return [_limit(number) for number in numbers]


def _to_contact(
    record: ttypes.Beat | ttypes.Contact,
) -> data.Contact | failures.UnreadableInput:
    """Returns the contact of a record, whose address is checked."""
    try:
        socket.inet_pton(socket.AF_INET, record.address)
    except (OSError, ValueError):
        return failures.UnreadableInput(record.host, "not an IPv4 address")
    if not 0 <= record.port <= _MAX_PORT:
        return failures.UnreadableInput(record.host, "not a port")
    return data.Contact(
        record.host, record.data_centre, record.address, record.port
    )


def decode_heartbeat(
    datagram: bytes,
) -> data.Heartbeat | failures.UnreadableInput:
    """Decodes the datagram of a heartbeat.

    Args:
        datagram: The bytes as received; they may be arbitrary.

    Returns:
        The heartbeat, or why the datagram cannot be decoded.
    """
    record = thrift_codec.decode_or_failure(ttypes.Beat, datagram)
    if isinstance(record, failures.UnreadableInput):
        return record
    lengths = {
        len(record.upstream_tags),
        len(record.busy),
        len(record.silent_ms),
    }
    if len(lengths) != 1:
        return failures.UnreadableInput(
            record.host, "upstream_tags, busy and silent_ms differ in length"
        )
    followers = _decode_followers(record)
    if isinstance(followers, failures.UnreadableInput):
        return followers
    if len(record.revisions) != len(_SCOPES):
        return failures.UnreadableInput(
            record.host, "the number of revisions is not that of the scopes"
        )
    live_counts = _decode_live_counts(record)
    if isinstance(live_counts, failures.UnreadableInput):
        return live_counts
    contact = _to_contact(record)
    if isinstance(contact, failures.UnreadableInput):
        return contact
    outcomes = outcome_lists.decode(record)
    left_out = ""
    if isinstance(outcomes, failures.UnreadableInput):
        left_out = outcomes.problem
        outcomes = ()
    flow_pins = flow_pin_list.decode(record.flow_pins or b"")
    if isinstance(flow_pins, failures.UnreadableInput):
        left_out = flow_pins.problem
        flow_pins = ()
    failed_ms = record.store_failed_ms
    reports = zip(
        record.upstream_tags, record.busy, record.silent_ms, strict=True
    )
    return data.Heartbeat(
        contact=contact,
        start_id=record.start_id,
        sequence=record.sequence,
        is_leaving=bool(record.is_leaving),
        revisions=dict(zip(_SCOPES, record.revisions, strict=True)),
        store_failed_ms=None if failed_ms < 0 else failed_ms,
        followers=followers,
        upstreams=tuple(
            [
                data.UpstreamReport(tag, busy / _BUSY_UNITS, silent_ms)
                for tag, busy, silent_ms in reports
            ]
        ),
        live_counts=live_counts,
        outcomes=outcomes,
        left_out=left_out,
        era=_decode_era(record.era),
        is_cut_off=bool(record.is_cut_off),
        answered_ms=record.answered_ms,
        flow_pins=flow_pins,
    )


def _decode_followers(
    record: ttypes.Beat,
) -> dict[str, data.FollowerClaim] | failures.UnreadableInput:
    """Returns the claims of the store followers.

    Hosts of earlier versions do not send when the store answered them.
    """
    answered_ms = record.follower_answered_ms
    if answered_ms is None:
        answered_ms = [_UNNAMED] * len(record.followers)
    lengths = {len(record.follower_ages_ms), len(answered_ms)}
    if lengths != {len(record.followers)}:
        return failures.UnreadableInput(
            record.host, "followers, their ages and answers differ in length"
        )
    claims = zip(
        record.followers, record.follower_ages_ms, answered_ms, strict=True
    )
    return {
        host: data.FollowerClaim(
            max(0, age_ms), None if at_ms == _UNNAMED else at_ms
        )
        for host, age_ms, at_ms in claims
    }


def _decode_era(era: int | None) -> int:
    """Returns the era of a message.

    Hosts of earlier versions send none, as do those of a store that names none.
    """
    return max(0, era or 0)


def _decode_live_counts(
    record: ttypes.Beat,
) -> dict[str, data.LiveCount] | failures.UnreadableInput:
    """Returns the live hosts of each data centre.

    Hosts of earlier versions do not send them.
    """
    data_centres = record.data_centres or []
    live_hosts = record.live_hosts or []
    ages_ms = record.live_host_ages_ms or []
    if not len(data_centres) == len(live_hosts) == len(ages_ms):
        return failures.UnreadableInput(
            record.host, "the live hosts and their ages differ in length"
        )
    counts = zip(data_centres, live_hosts, ages_ms, strict=True)
    return {
        data_centre: data.LiveCount(max(0, hosts), max(0, age_ms))
        for data_centre, hosts, age_ms in counts
    }


def encode_batch(batch: replication_data.Batch) -> bytes:
    """Returns the compressed body that carries a batch of replica items."""
    record = ttypes.ItemBatch(
        items=[
            ttypes.ItemRecord(
                key=item.key, revision=item.revision, value=item.value
            )
            for item in batch.items
        ],
        as_of=batch.as_of,
        is_full=batch.is_full,
        era=batch.era or None,
        left_ms=batch.left_ms or None,
    )
    return zlib.compress(thrift_codec.encode(record))


def decode_batch(
    body: bytes,
) -> replication_data.Batch | failures.UnreadableInput:
    """Decodes the body that carries a batch of replica items.

    Args:
        body: The bytes as received; they may be arbitrary.

    Returns:
        The batch, or why the body cannot be decoded.
    """
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(body, thrift_codec.MAX_RECORD_BYTES)
    except zlib.error as error:
        return failures.UnreadableInput("batch", str(error))
    record = thrift_codec.decode_or_failure(ttypes.ItemBatch, content)
    if isinstance(record, failures.UnreadableInput):
        return record
    return replication_data.Batch(
        tuple(
            replication_data.Item(item.key, item.revision, item.value)
            for item in record.items
        ),
        record.as_of,
        bool(record.is_full),
        _decode_era(record.era),
        max(0, record.left_ms or 0),
    )


def encode_contact(contact: data.Contact) -> bytes:
    """Returns the value of a host's entry in the store's list of hosts."""
    return thrift_codec.encode(
        ttypes.Contact(
            host=contact.host,
            data_centre=contact.data_centre,
            address=contact.address,
            port=contact.port,
        )
    )


def decode_contact(value: bytes) -> data.Contact | failures.UnreadableInput:
    """Decodes the value of a host's entry in the store's list of hosts.

    Args:
        value: The bytes as stored; they may be arbitrary.

    Returns:
        The contact, or why the value cannot be decoded.
    """
    record = thrift_codec.decode_or_failure(ttypes.Contact, value)
    if isinstance(record, failures.UnreadableInput):
        return record
    return _to_contact(record)
