"""The configuration task of hosts, with a store and peers over sockets."""

from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
from typing import Any

import anyio
from anyio import abc
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing
import testtools
from testtools import matchers

from sapphire_core.configuration import propagation_data
from sapphire_data import clock
from sapphire_data import records
from sapphire_lab import loopback
from sapphire_lab.config import builders
from sapphire_lab.stand_ins import store
from sapphire_lab.stand_ins import store_faults
from sapphire_net import http_server
from sapphire_net.store import changes
from sapphire_net.store import client
from sapphire_net.store import data as store_data
from sapphire_net.store import environment
from sapphire_net.store import stored_configuration
from sapphire_node import api
from sapphire_node import messages
from sapphire_node.configuration import configuration_sync
from sapphire_node.configuration import store_link
from sapphire_wire import settings as settings_lib

PREFIX = "/test/"


class Host:
    """A host that syncs its configuration; its notices go straight to peers."""

    def __init__(self, name: str, data_centre: str, base_url: str) -> None:
        self.address = records.HostAddress(
            name, data_centre, "127.0.0.1", 1, loopback.free_port()
        )
        self._to_control, self.control = anyio.create_memory_object_stream[
            messages.ToControl
        ](1_000)
        self.sync = configuration_sync.ConfigurationSync(
            self.address,
            settings_lib.StoreSettings.model_validate(
                {"endpoints": [base_url], "prefix": PREFIX}
            ),
            self._to_control,
            clock.MonotonicClock(),
        )
        self.base_url = base_url
        self.revisions: list[int] = []
        self.peers: list[Host] = []

    def start(self, tasks: abc.TaskGroup) -> None:
        """Starts the tasks of the host."""
        tasks.start_soon(self.sync.run)
        tasks.start_soon(self._collect)
        tasks.start_soon(self._deliver)
        tasks.start_soon(self._serve)

    def see(self, hosts: list["Host"]) -> None:
        """Gives the host a view of the membership."""
        self.peers = hosts
        members = {
            host.address.host_id: records.Member(
                host.address, 0, records.MemberState.ALIVE, 0, 0
            )
            for host in hosts
        }
        self.sync.take_view(records.MemberView(members, True, 0))

    async def reach(self, revision: int) -> None:
        """Waits until the host has a revision."""
        with anyio.fail_after(60):
            while revision not in self.revisions:
                await anyio.sleep(0.01)

    async def _collect(self) -> None:
        """Records the accepted revisions."""
        async for configuration in self.sync.accepted():
            self.revisions.append(configuration.revision)

    async def _deliver(self) -> None:
        """Hands the notices of this host to all its peers."""
        async for message in self.control:
            if not isinstance(message, messages.SendControl):
                continue
            received = messages.ControlReceived(
                self.address.host_id, message.kind, message.body
            )
            for peer in self.peers:
                if peer is not self:
                    peer.sync.take_notice(received)

    async def _serve(self) -> None:
        """Serves the configuration to peers."""

        async def configuration(request: requests.Request) -> Any:
            known = int(request.query_params[api.KNOWN_REVISION_PARAMETER])
            record = self.sync.record(known)
            return responses.Response(record or b"", 200 if record else 404)

        app = applications.Starlette(
            routes=[routing.Route(api.CONFIGURATION_PATH, configuration)]
        )
        with anyio.CancelScope(shield=True):
            await http_server.serve(
                app,
                "127.0.0.1",
                self.address.api_port,
                STOP.wait,
                grace_ms=100,
            )


class _Stop:
    """Ends the servers of a test."""

    def __init__(self) -> None:
        self._event: anyio.Event | None = None

    def arm(self) -> None:
        """Prepares for a test."""
        self._event = anyio.Event()

    def set(self) -> None:
        """Ends the servers."""
        if self._event is not None:
            self._event.set()

    async def wait(self) -> None:
        """Waits for the end."""
        if self._event is not None:
            await self._event.wait()


STOP = _Stop()
Body = Callable[[Any, Any, list[Host]], Awaitable[None]]


def run(body: Body) -> None:
    """Runs a test with a store and three hosts in two data centres."""

    async def main() -> None:
        STOP.arm()
        stand_in = store.StandInStore(clock.MonotonicClock())
        async with contextlib.AsyncExitStack() as stack:
            base_url = await stack.enter_async_context(store.running(stand_in))
            http = await stack.enter_async_context(
                client.open_http_client(base_url)
            )
            operators = environment.Environment(client.EtcdStore(http), PREFIX)
            hosts = [
                Host("h1", "tacoma", base_url),
                Host("h2", "tacoma", base_url),
                Host("h3", "salem", base_url),
            ]
            async with anyio.create_task_group() as tasks:
                for host in hosts:
                    host.start(tasks)
                    host.see(hosts)
                await body(stand_in, operators, hosts)
                STOP.set()
                tasks.cancel_scope.cancel()

    anyio.run(main)


async def change(operators: environment.Environment, **document: Any) -> None:
    """Applies a document."""
    seen = (await stored_configuration.read_snapshot(operators)).ok
    intent = changes.Intent(
        builders.document_bytes(**document), builders.bindings_bytes(), "ann"
    )
    outcome = await changes.apply(operators, seen, intent)
    if outcome.is_error():
        raise AssertionError(outcome.error)


class ConfigurationSyncTest(testtools.TestCase):
    def test_change_reaches_all_hosts_in_order(self) -> None:
        async def body(_: Any, operators: Any, hosts: list[Host]) -> None:
            await change(operators)
            for host in hosts:
                await host.reach(1)
            await change(operators, drained=("rota-1",))
            for host in hosts:
                await host.reach(2)
                self.assertThat(host.revisions, matchers.Equals([1, 2]))

        run(body)

    def test_host_joins_from_peers_while_the_store_is_down(self) -> None:
        async def body(
            stand_in: Any, operators: Any, hosts: list[Host]
        ) -> None:
            first, second, third = hosts
            third.see([third])
            await change(operators)
            await first.reach(1)
            stand_in.set_faults(store_faults.Faults(is_down=True))
            fresh = Host("h4", "salem", first.base_url)
            async with anyio.create_task_group() as tasks:
                fresh.start(tasks)
                everyone = [first, second, fresh]
                for host in everyone:
                    host.see(everyone)
                await fresh.reach(1)
                tasks.cancel_scope.cancel()
                STOP.set()
            known = first.sync.status()
            self.assertThat(known.known_revision, matchers.Equals(1))

        run(body)

    def test_unused_keys_are_deleted_and_hosts_go_on(self) -> None:
        async def body(
            stand_in: Any, operators: Any, hosts: list[Host]
        ) -> None:
            await change(operators)
            stray = operators.part_key(b"not named by any head")
            await operators.store.transact([], [store_data.Put(stray, b"x")])
            link = store_link.StoreLink(
                operators, hosts[0].sync.put, clock.MonotonicClock()
            )
            await link.collect_once()
            self.assertNotIn(stray, stand_in.state.items_by_key)
            await change(operators, drained=("rota-1",))
            for host in hosts:
                await host.reach(2)

        run(body)

    def test_old_reads_of_the_store_do_not_roll_a_host_back(self) -> None:
        async def body(
            stand_in: Any, operators: Any, hosts: list[Host]
        ) -> None:
            await change(operators)
            stand_in.set_faults(store_faults.Faults(has_old_reads=True))
            key = operators.head_key
            old = stand_in.state.items_by_key[key]
            stand_in.set_faults(store_faults.Faults())
            await change(operators, drained=("rota-1",))
            for host in hosts:
                await host.reach(2)
            stand_in.state.items_by_key[key] = old
            for host in hosts:
                host.sync.put(propagation_data.WatchStarted())
            usage = stand_in.calls_by_path["/v3/kv/range"]
            with anyio.fail_after(60):
                while stand_in.calls_by_path["/v3/kv/range"] < usage + 2:
                    await anyio.sleep(0.01)
            for host in hosts:
                self.assertThat(host.revisions[-1], matchers.Equals(2))

        run(body)
