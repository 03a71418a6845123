"""Immutable records of entry hosts and what they tell each other."""

from collections.abc import Mapping
import dataclasses

from sapphire_core.replication import data as replication_data


@dataclasses.dataclass(frozen=True, slots=True)
class Contact:
    """How a host is reached.

    Attributes:
        host: The name of the host.
        data_centre: Its data centre.
        address: Its IP number.
        port: Where it takes messages.
    """

    host: str
    data_centre: str
    address: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamReport:
    """What a host has seen of an upstream.

    Attributes:
        tag: The tag of the upstream.
        busy: The requests that the host knows in progress there.
        silent_ms: How much longer the host avoids it for its silence.
    """

    tag: int
    busy: float
    silent_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """A host's regular message.

    Attributes:
        contact: How the host is reached.
        start_id: Random, new at each start of the process.
        sequence: Increases with each beat.
        is_leaving: Whether it was told to stop.
        revisions: Up to which revision it knows each scope.
        store_failed_ms: How long ago a call to the store last failed; None
            if none has.
        follower_ages_ms: The hosts that follow the store, and how long ago
            they said so.
        upstreams: What it has seen of upstreams.
    """

    contact: Contact
    start_id: int
    sequence: int
    is_leaving: bool
    revisions: Mapping[replication_data.Scope, int]
    store_failed_ms: int | None
    follower_ages_ms: Mapping[str, int]
    upstreams: tuple[UpstreamReport, ...]
