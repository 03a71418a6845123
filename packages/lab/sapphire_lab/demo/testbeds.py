"""The testbed of a deployment: fakes, callers, hosts and an operator.

The hosts are processes of their own; the rest runs in this process.
"""

import collections
from collections.abc import Iterable
import dataclasses
import pathlib

import anyio
from anyio import abc
import expression
import httpx

from sapphire_data import clock
from sapphire_data import failures
from sapphire_lab.demo import deployments
from sapphire_lab.demo import documents
from sapphire_lab.demo import fabric
from sapphire_lab.demo import feeds
from sapphire_lab.demo import hosts
from sapphire_lab.demo import orders
from sapphire_lab.stand_ins import packet_upstream
from sapphire_lab.stand_ins import request_upstream
from sapphire_lab.stand_ins import store as fake_store_server
from sapphire_net.store import change_failures
from sapphire_net.store import changes
from sapphire_net.store import client as store_client
from sapphire_net.store import environment as environments
from sapphire_net.store import publication
from sapphire_net.store import stored_configuration

FEED_INTERVAL_MS = 500
FEED_TICK_MS = 100
ORDER_INTERVAL_MS = 100
PROCESSING_MS = 20
AUTHOR = "demonstration"


@dataclasses.dataclass(slots=True)
class DesiredState:
    """The state that the operators want; `Testbed.publish` publishes it.

    Attributes:
        upstreams: The upstreams in the configuration.
        data_centres_out: The names of the data centres that are out.
        draining: The names of the upstreams that drain.
    """

    upstreams: tuple[deployments.UpstreamSpec, ...]
    data_centres_out: frozenset[str] = frozenset()
    draining: frozenset[str] = frozenset()


class Testbed:
    """The fakes, callers, host processes and operator of one deployment.

    Attributes:
        deployment: The deployment.
        newest_revision: The revision that `publish` published last.
        store: The fake store.
        time: The monotonic clock.
        hosts: The host processes.
        fabric: The fabric that packets pass on their way to the hosts.
        feeds: The callers that send packets.
        orders: The callers that send requests.
        desired_state: The state that the next `publish` publishes.
        packet_upstreams_by_name: The fake upstreams for packets.
        request_upstreams_by_name: The fake upstreams for requests.
    """

    def __init__(
        self,
        deployment: deployments.Deployment,
        udp: abc.UDPSocket,
        directory: pathlib.Path,
        http: httpx.AsyncClient,
        store: fake_store_server.FakeStoreServer,
        *,
        seed: int,
    ) -> None:
        """Creates the testbed; `serve` starts its upstreams and callers.

        Args:
            deployment: The deployment to run.
            udp: The socket that the fabric and the callers share.
            directory: Where the daemons' settings and logs are written.
            http: The client that queries the hosts.
            store: The store; scenarios set its faults.
            seed: The seed of all random choices.
        """
        self.deployment = deployment
        self.newest_revision = 0
        self.store = store
        self.time = clock.MonotonicClock()
        self.hosts = hosts.HostProcesses(deployment, directory, http)
        self.fabric = fabric.FakeFabric(udp, seed)
        self.feeds = feeds.FeedCallers(
            deployment.caller_address,
            self.fabric.send_to_any_host,
            self._is_data_centre_out,
            self.time,
        )
        self.orders = orders.OrderCallers(self.fabric.pick_host, seed)
        self.desired_state = DesiredState(deployment.upstreams())
        self.packet_upstreams_by_name: dict[
            str, packet_upstream.FakePacketUpstream
        ] = {}
        self.request_upstreams_by_name: dict[
            str, request_upstream.FakeRequestUpstream
        ] = {}
        self._udp = udp
        self._data_centre_by_upstream: dict[str, str] = {}
        etcd_store = store_client.EtcdStore(
            store_client.open_http_client(
                f"http://{deployment.store_address}:{deployments.STORE_PORT}"
            )
        )
        self._environment = environments.Environment(
            etcd_store, documents.key_prefix(deployment)
        )

    async def serve(self, tasks: abc.TaskGroup) -> None:
        """Starts the upstreams and the callers that send packets.

        Args:
            tasks: The task group that runs them.
        """
        for upstream in self.desired_state.upstreams:
            await self.start_upstream(upstream, tasks)
        tasks.start_soon(self._receive_packets)
        tasks.start_soon(self._tick_feeds)

    async def start_upstream(
        self, upstream: deployments.UpstreamSpec, tasks: abc.TaskGroup
    ) -> None:
        """Starts an upstream for packets and for requests.

        Args:
            upstream: The upstream.
            tasks: The task group that runs it.
        """
        self._data_centre_by_upstream[upstream.name] = upstream.data_centre
        service = self._service_address(upstream.service)
        tasks.start_soon(
            packet_upstream.serve,
            upstream.name,
            service,
            (upstream.address, deployments.PACKET_PORT),
            self._register,
        )
        fake_upstream = request_upstream.FakeRequestUpstream(
            slots=upstream.slots,
            processing_ms=PROCESSING_MS,
            boot_id=f"{upstream.name}-1",
            address=upstream.address,
            port=deployments.UPSTREAM_REQUEST_PORT,
        )
        self.request_upstreams_by_name[upstream.name] = fake_upstream
        await tasks.start(fake_upstream.serve)

    async def publish(self) -> int:
        """Publishes the desired state to the store.

        Returns:
            The new revision.

        Raises:
            RuntimeError: The change was refused or its write failed.
        """
        outcome = await self._apply_desired_state()
        if outcome.is_error():
            raise RuntimeError(str(outcome.error))
        self.newest_revision = outcome.ok.stored.revision
        return self.newest_revision

    async def try_publish(self) -> int | None:
        """Publishes the desired state unless another operator was first.

        Returns:
            The new revision; None after a write conflict.

        Raises:
            RuntimeError: The change was refused or its write failed; a
                conflict is no error.
        """
        outcome = await self._apply_desired_state()
        if outcome.is_ok():
            return outcome.ok.stored.revision
        if isinstance(outcome.error, change_failures.WriteConflict):
            return None
        raise RuntimeError(str(outcome.error))

    async def _apply_desired_state(
        self,
    ) -> expression.Result[publication.Published, failures.Failure]:
        """Applies the desired state to the configuration in the store."""
        snapshot = await stored_configuration.read_snapshot(self._environment)
        if snapshot.is_error():
            return expression.Error(snapshot.error)
        return await changes.apply(
            self._environment,
            snapshot.ok,
            changes.Intent(
                document=documents.encode_document(
                    self.deployment,
                    self.desired_state.upstreams,
                    self.desired_state.data_centres_out,
                    self.desired_state.draining,
                ),
                bindings=documents.encode_bindings(
                    self.deployment, self.desired_state.upstreams
                ),
                author=AUTHOR,
            ),
        )

    async def wait_in_force(
        self, revision: int, addresses: Iterable[str]
    ) -> str:
        """Waits until a revision, or a newer one, is in force on hosts.

        Hosts that no longer run are skipped.

        Args:
            revision: The revision.
            addresses: The IP addresss of the hosts.

        Returns:
            The address of the last host on which it came into force; empty if
            there was none.
        """
        last_address = ""
        waiting = set(addresses)
        while waiting:
            for address in list(waiting):
                if address not in self.hosts.addresses():
                    waiting.discard(address)
                    continue
                active = await self.hosts.active_revision(address)
                if active is not None and active >= revision:
                    waiting.discard(address)
                    last_address = address
            await anyio.sleep(0.02)
        return last_address

    async def send_orders(self) -> None:
        """Sends orders to all services at a steady rate until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                for service in self.deployment.services:
                    tasks.start_soon(self.orders.send_order, service.name)
                await anyio.sleep(ORDER_INTERVAL_MS / clock.MS_PER_SECOND)

    def open_feeds(self, per_upstream: int) -> int:
        """Adds feeds to all services.

        Args:
            per_upstream: The number of feeds for each upstream.

        Returns:
            The number of feeds added.
        """
        count = 0
        for service in self.deployment.services:
            for _ in range(service.upstream_count * per_upstream):
                self.feeds.add(self._service_address(service.name))
                count += 1
        return count

    def last_packet_ms(self, data_centre: str) -> int:
        """Returns when an upstream of a data centre last received a packet.

        Args:
            data_centre: The name of the data centre.
        """
        return max(
            upstream.counters.last_packet_ms
            for name, upstream in self.packet_upstreams_by_name.items()
            if self._data_centre_by_upstream[name] == data_centre
        )

    def count_misrouted_packets(self) -> int:
        """Returns the number of packets at an upstream of another service."""
        return sum(
            upstream.counters.misrouted_packets
            for upstream in self.packet_upstreams_by_name.values()
        )

    def count_double_runs(self) -> int:
        """Returns the number of orders that ran more than once."""
        return sum(runs > 1 for runs in self._runs_by_key().values())

    def count_false_not_run(self) -> int:
        """Returns the number of orders that ran despite the outcome NOT_RUN."""
        runs_by_key = self._runs_by_key()
        return sum(
            outcome is orders.OrderOutcome.NOT_RUN and runs_by_key[key] > 0
            for key, outcome in self.orders.counters.outcome_by_key.items()
        )

    def _runs_by_key(self) -> collections.Counter[str]:
        """Returns the runs of each order on all upstreams, by its key."""
        runs: collections.Counter[str] = collections.Counter()
        for upstream in self.request_upstreams_by_name.values():
            runs.update(upstream.runs_by_id)
        return runs

    def _register(self, upstream: packet_upstream.FakePacketUpstream) -> None:
        """Registers an upstream that has started."""
        self.packet_upstreams_by_name[upstream.name] = upstream

    def _is_data_centre_out(self, upstream: str) -> bool:
        """Returns whether the data centre of an upstream is out."""
        return (
            self._data_centre_by_upstream.get(upstream)
            in self.desired_state.data_centres_out
        )

    def _service_address(self, name: str) -> tuple[str, int]:
        """Returns the address that callers of a service use."""
        for service in self.deployment.services:
            if service.name == name:
                return (service.address, deployments.SERVICE_PORT)
        raise KeyError(name)

    async def _receive_packets(self) -> None:
        """Passes received packets to the callers until cancelled."""
        async for payload, _source in self._udp:
            self.feeds.receive(payload)

    async def _tick_feeds(self) -> None:
        """Sends the due packets of all feeds until cancelled."""
        while True:
            await self.feeds.tick(FEED_INTERVAL_MS)
            await anyio.sleep(FEED_TICK_MS / clock.MS_PER_SECOND)
