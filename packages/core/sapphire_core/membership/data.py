"""Messages, actions and settings of the membership protocol."""

import dataclasses
import enum

from sapphire_core.membership import failures
from sapphire_data import records


class MessageKind(enum.IntEnum):
    """The kind of a gossip message.

    The values are part of the wire format; a value is never reused.

    Attributes:
        PING: A probe.
        ACK: The answer to a probe.
        INDIRECT_PING: A request to probe another host.
        RUMOR: Updates or prepared revisions that are pushed.
        SYNC_REQUEST: A request for a page of state.
        SYNC_PAGE: A page of state.
    """

    PING = 1
    ACK = 2
    INDIRECT_PING = 3
    RUMOR = 4
    SYNC_REQUEST = 5
    SYNC_PAGE = 6


@dataclasses.dataclass(frozen=True, slots=True)
class MemberEntry:
    """The state of one host at one incarnation, as a message carries it.

    Attributes:
        host: The identity and addresses of the host.
        incarnation: The incarnation that the state belongs to.
        state: The state of the host.
    """

    host: records.HostAddress
    incarnation: int
    state: records.MemberState


@dataclasses.dataclass(frozen=True, slots=True)
class FactEntry:
    """A versioned key-value pair; a higher version replaces a lower one.

    Attributes:
        key: The name of the fact.
        version: The version of the value.
        value: The value.
        ttl_ms: The time after which hosts discard it; zero for never.
    """

    key: str
    version: int
    value: bytes
    ttl_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PreparedEntry:
    """Which hosts of one data centre have prepared a revision.

    Attributes:
        revision: The configuration revision.
        roster_digest: The digest of the sorted identities of the live hosts
            of the data centre (the roster); the bits of two entries can be
            compared only if their digests are equal.
        bits: One bit for each host of the roster in sorted order, least
            significant first; set if the host has prepared the revision.
    """

    revision: int
    roster_digest: int
    bits: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class GossipMessage:
    """One message between two hosts.

    Attributes:
        kind: The kind of the message.
        number: The number of the probe or of the synchronisation.
        origin: The sender's own entry.
        subject: The target of an indirect probe, or empty.
        digest: The digest of the live members and of the facts without a TTL
            that the sender knows; it includes facts of local scope only if
            the receiver is in the same data centre.
        members: Entries about hosts.
        facts: Versioned facts.
        prepared: Which hosts of the data centre have prepared which revision.
        bucket_digests: In a synchronisation request, the digest of each bucket
            of members that the sender knows; empty requests the whole state.
        cursor: The position in a synchronisation; negative after its end.
    """

    kind: MessageKind
    number: int
    origin: MemberEntry
    subject: str = ""
    digest: int = 0
    members: tuple[MemberEntry, ...] = ()
    facts: tuple[FactEntry, ...] = ()
    prepared: tuple[PreparedEntry, ...] = ()
    bucket_digests: tuple[int, ...] = ()
    cursor: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Seed:
    """An address at which another host may listen.

    Attributes:
        address: The IP address.
        control_port: The UDP port of control messages.
    """

    address: str
    control_port: int


@dataclasses.dataclass(frozen=True, slots=True)
class SendGossip:
    """Sends a message to a host.

    Attributes:
        address: The IP address of the receiver.
        port: The receiver's UDP port of control messages.
        message: The message to encode and send.
    """

    address: str
    port: int
    message: GossipMessage


@dataclasses.dataclass(frozen=True, slots=True)
class ViewChanged:
    """Reports a new view of the membership.

    Attributes:
        view: The new view.
    """

    view: records.MemberView


@dataclasses.dataclass(frozen=True, slots=True)
class FactChanged:
    """Reports a fact that is new to this host or has a newer version.

    Attributes:
        key: The name of the fact.
        version: The version of the value.
        value: The value.
    """

    key: str
    version: int
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """Reports a message or a fact that was rejected.

    Attributes:
        failure: Why it was rejected.
    """

    failure: failures.MembershipFailure


Action = SendGossip | ViewChanged | FactChanged | Rejected


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of the membership.

    Attributes:
        probe_interval_ms: The interval between two probes of local hosts, and
            the timeout of a probe.
        ack_timeout_ms: The time without a direct answer after which indirect
            probes are requested.
        indirect_probes: The number of peers that are asked for an indirect
            probe.
        suspicion_ms: The time from the suspicion of a host until it is declared
            dead.
        fresh_ms: The time for which the confirmation by a peer keeps the view
            fresh.
        min_stall_ms: The least gap between two events that counts as a stall of
            this process.
        push_interval_ms: The minimum interval between two pushes of updates.
        push_fanout: The number of local peers that each push goes to.
        push_rounds: The number of pushes that carry each update.
        retransmit_factor: The number of transmissions of an update by
            piggyback, as a multiple of the binary logarithm of the number of
            live hosts in the data centre.
        relay_probe_interval_ms: The interval between two probes that a relay
            sends to other data centres.
        relay_count: The number of relays of each data centre.
        unreachable_ms: The minimum time without an answer after which a relay
            declares a data centre unreachable; with many data centres it is the
            time of two rounds of probes.
        seed_interval_ms: The interval between two probes of addresses that
            belong to no live member.
        sync_interval_ms: The time for which the state of this host must not
            have changed before a peer with a different digest causes a
            synchronisation.
        dead_retention_ms: The time after which dead members are evicted.
        rejoin_backoff_ms: The delay before a host rejoins that was declared
            dead for the second time, less than a minute after the first; it
            doubles with each further time.
        max_rejoin_backoff_ms: The maximum of that delay.
        max_message_bytes: The maximum size of an encoded message.
        update_bytes_per_second: The rate limit of updates in bytes per second;
            probes and their answers do not count towards it.
        update_burst_bytes: The burst size of that rate limit in bytes. A third
            of both limits is for changed hosts, a third for facts and a third
            for urgent facts.
    """

    probe_interval_ms: int = 500
    ack_timeout_ms: int = 200
    indirect_probes: int = 3
    suspicion_ms: int = 2_000
    fresh_ms: int = 1_500
    min_stall_ms: int = 1_000
    push_interval_ms: int = 100
    push_fanout: int = 3
    push_rounds: int = 2
    retransmit_factor: int = 1
    relay_probe_interval_ms: int = 500
    relay_count: int = 2
    unreachable_ms: int = 3_000
    seed_interval_ms: int = 2_000
    sync_interval_ms: int = 3_000
    dead_retention_ms: int = 600_000
    rejoin_backoff_ms: int = 1_000
    max_rejoin_backoff_ms: int = 30_000
    max_message_bytes: int = 1_200
    update_bytes_per_second: int = 2_400
    update_burst_bytes: int = 18_000
