"""What the daemon needs of a platform; an adapter implements it.

An adapter holds names, formats and calls. It takes no decisions: it reports
what it read or why it could not.
"""

import dataclasses
from typing import Protocol

from sapphire_core.replication import data as replication_data
from sapphire_core.tagged_flows import data as flow_data
from sapphire_data import failures


class PacketCodec(Protocol):
    """How packets are laid out on the fabric."""

    def decode(
        self, datagram: bytes
    ) -> flow_data.Packet | flow_data.UnreadablePacket:
        """Reads a packet of a caller.

        Args:
            datagram: The datagram as received.

        Returns:
            The packet; or why it is none.
        """

    def encode_forward(self, forward: flow_data.Forward) -> bytes:
        """Returns the datagram that carries a packet to an upstream."""

    def encode_reset(self, packet: flow_data.Packet) -> bytes:
        """Returns the datagram that ends the flow of a packet."""

    def caller_address(self, packet: flow_data.Packet) -> flow_data.Address:
        """Returns where datagrams for the caller are sent."""


class ItemDecoder(Protocol):
    """What the items of the store mean."""

    def decode(
        self, item: replication_data.Item
    ) -> flow_data.Change | failures.Failure:
        """Returns the change that an item stands for, or why it has none."""


class StoreClient(Protocol):
    """A store that hosts can read and follow."""

    async def read_all(
        self, scope: replication_data.Scope, timeout_ms: int
    ) -> replication_data.Batch | replication_data.SourceFailure:
        """Reads all items of a scope, as new as any answer ever given.

        Args:
            scope: The scope.
            timeout_ms: How long to wait for each part of the answer.
        """

    async def wait_for_changes(
        self,
        scope: replication_data.Scope,
        after_revision: int,
        wait_ms: int,
        timeout_ms: int,
    ) -> replication_data.Batch | replication_data.SourceFailure:
        """Waits until something changes.

        Args:
            scope: The scope.
            after_revision: The revision after which changes are wanted.
            wait_ms: How long the source waits for a change.
            timeout_ms: How long to wait for its answer beyond that.

        Returns:
            The changes, perhaps none; `HistoryGone` if all must be read.
        """

    async def read_all_allow_stale(
        self, scope: replication_data.Scope, timeout_ms: int
    ) -> replication_data.Batch | replication_data.SourceFailure:
        """Reads all items of a scope cheaply, perhaps seconds old.

        Args:
            scope: The scope.
            timeout_ms: How long to wait for each part of the answer.
        """

    async def announce(
        self, host: str, value: bytes, ttl_ms: int, timeout_ms: int
    ) -> int | replication_data.SourceFailure:
        """Lists this host until its lease ends.

        Args:
            host: The name of the host.
            value: What others need to reach it.
            ttl_ms: How long the lease lasts without renewal.
            timeout_ms: How long to wait for each answer.

        Returns:
            The lease; or why there is none.
        """

    async def renew(
        self, lease: int, timeout_ms: int
    ) -> replication_data.SourceFailure | None:
        """Renews a lease.

        Args:
            lease: The lease.
            timeout_ms: How long to wait for the answer.

        Returns:
            None; `LeaseEnded` if the host has to be announced anew.
        """

    async def close(self) -> None:
        """Closes the connection; the next call opens one."""


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """The times that the platform's rules give.

    Attributes:
        shutdown_ms: From the request to stop until the process is killed.
        flow_life_ms: After this time a flow may be dropped.
    """

    shutdown_ms: int
    flow_life_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class HostSettings:
    """What a process learns from its settings.

    Attributes:
        host_name: The name of the host.
        data_centre: Its data centre.
        packet_address: Where packets of the fabric arrive.
        readiness_address: Where readiness is asked for.
        readiness_path: The path that is asked for.
        peer_address: Where messages of other hosts arrive.
        metrics_address: Where metrics are read.
        store_address: Where the store answers.
        limits: The times that the platform's rules give.
    """

    host_name: str
    data_centre: str
    packet_address: flow_data.Address
    readiness_address: flow_data.Address
    readiness_path: str
    peer_address: flow_data.Address
    metrics_address: flow_data.Address
    store_address: flow_data.Address
    limits: Limits


class Platform(Protocol):
    """All that an adapter gives."""

    packets: PacketCodec
    items: ItemDecoder

    def read_settings(self) -> HostSettings | failures.Failure:
        """Reads the settings of this process anew."""

    def create_store_client(self, settings: HostSettings) -> StoreClient:
        """Returns a new connection to the store."""
