"""The messages by which the tasks of the daemon talk."""

import dataclasses

from sapphire_core.flows import data as flow_data
from sapphire_core.membership import data as membership_data
from sapphire_data import records
from sapphire_wire import message_kind


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationAccepted:
    """A newer revision of the configuration.

    Attributes:
        configuration: The whole configuration.
    """

    configuration: records.Configuration


@dataclasses.dataclass(frozen=True, slots=True)
class NewerRevisionKnown:
    """A revision exists that this host has not fetched yet.

    Attributes:
        revision: The revision.
    """

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class ViewChanged:
    """A new view of the membership.

    Attributes:
        view: The view.
    """

    view: records.MemberView


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamObservationReceived:
    """The state of an upstream that some host observed.

    Attributes:
        observation: The state.
    """

    observation: flow_data.UpstreamObservation


@dataclasses.dataclass(frozen=True, slots=True)
class PublishFact:
    """A fact that this host publishes to all others.

    Attributes:
        key: The key of the fact.
        version: The version; the highest one wins.
        value: The encoded value.
        ttl_ms: The time after which hosts forget it; zero for never.
    """

    key: str
    version: int
    value: bytes
    ttl_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PublishPrepared:
    """The newest revision that this host has prepared.

    Attributes:
        revision: The revision.
    """

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class SendControlMessage:
    """A body to seal and send to another host.

    Attributes:
        address: The IP number of the host.
        port: Its control port.
        kind: The type of the body.
        body: The encoded body.
    """

    address: str
    port: int
    kind: message_kind.MessageKind
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ControlMessageReceived:
    """An authentic body from another host.

    Attributes:
        sender: The host identity of the sender.
        kind: The type of the body.
        body: The encoded body.
    """

    sender: str
    kind: message_kind.MessageKind
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamProbed:
    """The result of one probe of an upstream.

    Attributes:
        upstream: The name of the upstream.
        is_reachable: Whether it answered in time.
        boot_id: The boot identity that it stated, or an empty text.
    """

    upstream: str
    is_reachable: bool
    boot_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class HostListChanged:
    """The platform's list of hosts has changed.

    Attributes:
        hosts: The addresses of those that are not leaving.
    """

    hosts: tuple[membership_data.Seed, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class BeginLeave:
    """The host leaves: it hands over and finishes what is open."""


ToForwarder = (
    ConfigurationAccepted
    | NewerRevisionKnown
    | ViewChanged
    | UpstreamObservationReceived
    | ControlMessageReceived
    | UpstreamProbed
)
ToControl = (
    PublishFact
    | PublishPrepared
    | SendControlMessage
    | HostListChanged
    | BeginLeave
)
