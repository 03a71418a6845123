"""The messages to the task that runs `RequestService`."""

import dataclasses

import anyio.streams.memory

from sapphire_core.requests import data as core_data
from sapphire_data import records
from sapphire_node.requests import data
from sapphire_node.requests import upstream_client


@dataclasses.dataclass(frozen=True, slots=True)
class SubmitRequest:
    """A caller has sent a request with its whole body.

    Attributes:
        request: What the request engine decides on.
        http: The HTTP request to forward.
        reply: The stream to which the one outcome is sent.
    """

    request: core_data.Request
    http: data.HttpRequest
    reply: anyio.streams.memory.MemoryObjectSendStream[core_data.Finish]


@dataclasses.dataclass(frozen=True, slots=True)
class SetConfiguration:
    """A configuration has come into force."""

    configuration: records.Configuration


@dataclasses.dataclass(frozen=True, slots=True)
class SetView:
    """The membership has changed."""

    view: records.MemberView


@dataclasses.dataclass(frozen=True, slots=True)
class BeginDrain:
    """The host is to refuse new requests."""


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt at an upstream has ended.

    Attributes:
        service: The name of the service.
        event: The answer, or how the attempt failed.
    """

    service: str
    event: upstream_client.AttemptEvent


Message = (
    SubmitRequest
    | SetConfiguration
    | SetView
    | BeginDrain
    | AttemptEnded
    | core_data.Event
)
