"""The messages to the task that owns the requests."""

import dataclasses

import anyio.streams.memory

from sapphire_core.requests import data as core_data
from sapphire_data import records
from sapphire_node.requests import data
from sapphire_node.requests import upstream_client


@dataclasses.dataclass(frozen=True, slots=True)
class Submit:
    """A whole request and where its outcome goes.

    Attributes:
        request: The record for the core.
        http: The request itself.
        reply: Takes the one outcome.
    """

    request: core_data.Request
    http: data.HttpRequest
    reply: anyio.streams.memory.MemoryObjectSendStream[core_data.Finish]


@dataclasses.dataclass(frozen=True, slots=True)
class SetConfiguration:
    """A configuration came into force."""

    configuration: records.Configuration


@dataclasses.dataclass(frozen=True, slots=True)
class SetView:
    """The membership changed."""

    view: records.MemberView


@dataclasses.dataclass(frozen=True, slots=True)
class BeginDrain:
    """The host takes no new requests."""


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt ended.

    Attributes:
        service: The name of the service.
        event: How it ended.
    """

    service: str
    event: upstream_client.AttemptEvent


Message = (
    Submit
    | SetConfiguration
    | SetView
    | BeginDrain
    | AttemptEnded
    | core_data.Event
)
