"""The messages that the tasks of the daemon send each other."""

import dataclasses

from sapphire_core.flows import data as flow_data
from sapphire_core.membership import data as membership_data
from sapphire_data import records
from sapphire_wire import message_kind


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationAccepted:
    """A newer revision of the configuration has been fetched.

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
    """The control plane sends its current view of the membership.

    Attributes:
        view: The view.
    """

    view: records.MemberView


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamObservationReceived:
    """An observation of an upstream has arrived from another host.

    Attributes:
        observation: The observed state of the upstream, with its version.
    """

    observation: flow_data.UpstreamObservation


@dataclasses.dataclass(frozen=True, slots=True)
class PublishFact:
    """Publish a fact to all hosts.

    Attributes:
        key: The key of the fact.
        version: The version; the highest one wins.
        value: The encoded value.
        ttl_ms: The time after which hosts discard it; zero for never.
    """

    key: str
    version: int
    value: bytes
    ttl_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PublishPrepared:
    """Publish the newest revision that this host has prepared.

    Attributes:
        revision: The revision.
    """

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class SendControlMessage:
    """Seal a control message and send it to another host.

    Attributes:
        address: The IP address of the host.
        port: Its control port.
        kind: The type of the message.
        body: The encoded message.
    """

    address: str
    port: int
    kind: message_kind.MessageKind
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ControlMessageReceived:
    """A control message from another host has been authenticated.

    Attributes:
        sender: The host identity of the sender.
        kind: The type of the message.
        body: The encoded message.
        age_ms: How long it was on its way, or waited while this process was
            paused.
    """

    sender: str
    kind: message_kind.MessageKind
    body: bytes
    age_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamProbed:
    """The result of one probe of an upstream.

    Attributes:
        upstream: The name of the upstream.
        is_reachable: Whether it answered in time.
        boot_id: The boot identity in the response, or an empty text.
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
    """Announce to the fleet that this host is leaving."""


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
