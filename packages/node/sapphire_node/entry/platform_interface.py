"""The interface between the daemon and the platform that it runs on.

An adapter for a platform implements it: it translates names, formats and
calls. An adapter makes no decisions; it returns what it read or a failure.
"""

import dataclasses
from typing import Protocol

from sapphire_core.replication import data as replication_data
from sapphire_core.tagged_flows import data as flow_data
from sapphire_data import failures


class PacketCodec(Protocol):
    """Encodes and decodes the packets of the fabric."""

    def decode(
        self, datagram: bytes
    ) -> flow_data.Packet | flow_data.UnreadablePacket:
        """Decodes a packet that a caller sent.

        Args:
            datagram: The datagram as received.

        Returns:
            The packet, or why the datagram is not a valid packet.
        """

    def encode_forward(self, forward: flow_data.Forward) -> bytes:
        """Returns the datagram that forwards a packet to its upstream."""

    def encode_reset(self, packet: flow_data.Packet) -> bytes:
        """Returns the datagram that resets the flow of a packet."""

    def caller_address(self, packet: flow_data.Packet) -> flow_data.Address:
        """Returns the address to which datagrams for the caller are sent."""


class ItemDecoder(Protocol):
    """Decodes the items of the store."""

    def decode(
        self, item: replication_data.Item
    ) -> flow_data.Change | failures.Failure:
        """Returns the change that an item describes, or why it is invalid."""


class StoreClient(Protocol):
    """A connection to the store that hosts read and follow."""

    @property
    def era(self) -> int:
        """The newest era that the store has named to this process.

        It is read from all answers, errors included. 0 if the store names none.
        """

    async def read_snapshot(
        self, timeout_ms: int
    ) -> replication_data.Snapshot | replication_data.SourceFailure:
        """Reads all items of all scopes with a linearizable read.

        The result is at least as new as every answer that the store has given.

        Args:
            timeout_ms: How long to wait for the first byte of each part of the
                answer.
        """

    async def read_all(
        self, scope: replication_data.Scope, timeout_ms: int
    ) -> replication_data.Batch | replication_data.SourceFailure:
        """Reads all items of a scope with a linearizable read.

        The result is at least as new as every answer that the store has given.

        Args:
            scope: The scope.
            timeout_ms: How long to wait for the first byte of each part of the
                answer.
        """

    async def wait_for_changes(
        self,
        scope: replication_data.Scope,
        after_revision: int,
        wait_ms: int,
        timeout_ms: int,
    ) -> replication_data.Batch | replication_data.SourceFailure:
        """Waits for changes of a scope by a long poll.

        Args:
            scope: The scope.
            after_revision: Only changes after this revision are returned.
            wait_ms: How long the store waits for a change before it answers.
            timeout_ms: How long to wait for the answer beyond `wait_ms`.

        Returns:
            The changes, possibly none; `HistoryGone` if the store no longer
            has the changes after that revision, so that all items must be read.
        """

    async def read_all_allow_stale(
        self, scope: replication_data.Scope, timeout_ms: int
    ) -> replication_data.Batch | replication_data.SourceFailure:
        """Reads all items of a scope; the result may be seconds old.

        Such a read costs the store less than `read_all`.

        Args:
            scope: The scope.
            timeout_ms: How long to wait for each part of the answer.
        """

    async def announce(
        self, host: str, value: bytes, ttl_ms: int, timeout_ms: int
    ) -> replication_data.Announcement | replication_data.SourceFailure:
        """Adds this host to the host list until its lease ends.

        Args:
            host: The name of the host.
            value: The encoded contact by which peers reach the host.
            ttl_ms: How long the lease lasts without renewal.
            timeout_ms: How long to wait for each answer.

        Returns:
            The announcement, or why the host is not listed.
        """

    async def renew(
        self, lease: int, timeout_ms: int
    ) -> replication_data.SourceFailure | None:
        """Renews a lease.

        Args:
            lease: The lease that `announce` returned.
            timeout_ms: How long to wait for the answer.

        Returns:
            None on success; `LeaseEnded` if the host must be announced again.
        """

    async def read_era(
        self, timeout_ms: int
    ) -> int | replication_data.SourceFailure:
        """Asks the store for its era, with a call that costs little else.

        Args:
            timeout_ms: How long to wait for the answer.

        Returns:
            The era that the answer names.
        """

    async def close(self) -> None:
        """Closes the connection; the next call opens a new one."""


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """The limits that the platform sets.

    Attributes:
        shutdown_ms: The time from the request to stop until the platform kills
            the process.
        flow_life_ms: The age after which a flow may be dropped.
        contact_ms: After this time without any disruption, hosts and the
            store are expected to reach each other; what is known of a host
            that has been silent for longer no longer counts.
        link_bytes_per_ms: The rate of the host's own link; None if it is not
            known.
    """

    shutdown_ms: int
    flow_life_ms: int
    contact_ms: int
    link_bytes_per_ms: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class HostSettings:
    """The settings of a host process.

    Attributes:
        host_name: The name of the host.
        data_centre: The data centre of the host.
        packet_address: The UDP address that receives packets of the fabric.
        readiness_address: The address that serves the readiness check.
        readiness_path: The HTTP path of the readiness check.
        peer_address: The address that receives heartbeats (UDP) and pull
            requests (HTTP) of peers.
        metrics_address: The address that serves metrics.
        store_address: The address of the store.
        seed_addresses: The peer addresses of a few hosts, which may be down.
        limits: The limits that the platform sets.
        problems: Why values were left out that a host can do without.
    """

    host_name: str
    data_centre: str
    packet_address: flow_data.Address
    readiness_address: flow_data.Address
    readiness_path: str
    peer_address: flow_data.Address
    metrics_address: flow_data.Address
    store_address: flow_data.Address
    seed_addresses: tuple[flow_data.Address, ...]
    limits: Limits
    problems: tuple[failures.Failure, ...] = ()


class Platform(Protocol):
    """An adapter for a platform.

    Attributes:
        packets: Encodes and decodes packets.
        items: Decodes items of the store.
    """

    packets: PacketCodec
    items: ItemDecoder

    def read_settings(self) -> HostSettings | failures.Failure:
        """Reads the current settings of this process."""

    def create_store_client(self, settings: HostSettings) -> StoreClient:
        """Returns a client with its own connection to the store."""
