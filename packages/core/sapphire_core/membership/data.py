"""Messages, actions and settings of the membership."""

import dataclasses
import enum

from sapphire_core.membership import failures
from sapphire_data import records


class MessageKind(enum.IntEnum):
    """What a gossip message asks or answers.

    Values are part of the wire format and are never used again.
    """

    PING = 1
    ACK = 2
    INDIRECT_PING = 3
    RUMOR = 4
    SYNC_REQUEST = 5
    SYNC_PAGE = 6


@dataclasses.dataclass(frozen=True, slots=True)
class MemberEntry:
    """What a message says about one host.

    Attributes:
        host: Its identity and addresses.
        incarnation: The incarnation that the statement is about.
        state: Its state.
    """

    host: records.HostAddress
    incarnation: int
    state: records.MemberState


@dataclasses.dataclass(frozen=True, slots=True)
class FactEntry:
    """A versioned fact; the higher version replaces the lower.

    Attributes:
        key: The name of the fact.
        version: Its version.
        value: Its value.
        ttl_ms: The time after which hosts forget it; zero for never.
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
            of the data centre; bits of another roster are not comparable.
        bits: One bit for each host in that order, least significant first.
    """

    revision: int
    roster_digest: int
    bits: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class GossipMessage:
    """One message between two hosts.

    Attributes:
        kind: What it asks or answers.
        number: The number of the probe or of the synchronisation.
        origin: The sender's own entry.
        subject: The host that an indirect probe is about, or empty.
        digest: The digest of the live members that the sender knows.
        members: Entries about hosts.
        facts: Versioned facts.
        prepared: Who has prepared which revision in the data centre.
        bucket_digests: Of a synchronisation request, the digest of each
            bucket of members; empty asks for everything.
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
        address: The IP number.
        control_port: The UDP port of control messages.
    """

    address: str
    control_port: int


@dataclasses.dataclass(frozen=True, slots=True)
class SendGossip:
    """Sends a message to a host.

    Attributes:
        address: The IP number.
        port: The UDP port of control messages.
        message: The message.
    """

    address: str
    port: int
    message: GossipMessage


@dataclasses.dataclass(frozen=True, slots=True)
class ViewChanged:
    """Reports a new view of the membership.

    Attributes:
        view: The view.
    """

    view: records.MemberView


@dataclasses.dataclass(frozen=True, slots=True)
class FactChanged:
    """Reports a fact that was new here.

    Attributes:
        key: The name of the fact.
        version: Its version.
        value: Its value.
    """

    key: str
    version: int
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """Reports an input that was not used.

    Attributes:
        failure: The reason.
    """

    failure: failures.MembershipFailure


Action = SendGossip | ViewChanged | FactChanged | Rejected


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of the membership.

    Attributes:
        probe_interval_ms: The time between two probes of a host.
        ack_timeout_ms: The time after which indirect probes start.
        indirect_probes: The hosts that are asked to probe in our place.
        suspicion_ms: The time from a suspicion to a death.
        fresh_ms: The time for which a confirmation by a peer counts.
        pause_ms: The gap between two events that counts as a pause.
        push_interval_ms: The least time between two pushes of news.
        push_fanout: The peers that each push goes to.
        push_rounds: The pushes that carry each piece of news.
        retransmit_factor: Transmissions of a piece of news by piggyback, as
            a multiple of the binary logarithm of the size of the group.
        relay_probe_interval_ms: The time between two probes that a relay
            sends to other data centres.
        relay_count: The relays of each data centre.
        unreachable_ms: The least time without an answer after which a relay
            states that a data centre cannot be reached; with many data
            centres it is two rounds of probes.
        seed_interval_ms: The time between two attempts at addresses that
            belong to no live member.
        sync_interval_ms: The time without a change here after which a
            different digest at a peer leads to a synchronisation.
        dead_retention_ms: The time for which dead members are remembered.
        rejoin_backoff_ms: The first delay before a host that was declared
            dead more than once returns; it doubles.
        max_rejoin_backoff_ms: The largest such delay.
        max_message_bytes: The largest encoded message.
        news_bytes_per_second: The rate of news above which it waits; probes
            and their answers are not counted.
        news_burst_bytes: The bytes that may exceed the rate at a time. A third
            of both is for changed hosts, a third for facts and a third for
            urgent ones.
    """

    probe_interval_ms: int = 500
    ack_timeout_ms: int = 200
    indirect_probes: int = 3
    suspicion_ms: int = 2_000
    fresh_ms: int = 1_500
    pause_ms: int = 1_000
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
    news_bytes_per_second: int = 2_400
    news_burst_bytes: int = 18_000
