"""Tests of the configuration sync of hosts.

The store and the configuration requests of peers go over sockets; notices
between hosts are passed on in memory.
"""

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
from sapphire_node.configuration import store_adapter
from sapphire_wire import settings as settings_lib

PREFIX = "/test/"


class Host:
    """A host that syncs its configuration and serves it to its peers.

    Attributes:
        address: The identity and addresses of the host.
        control: The datagrams that the host sends.
        sync: The task under test.
        store_url: The base URL of the store.
        revisions: The revisions that the host has accepted, in order.
        peers: The hosts that get its notices, itself included.
    """

    def __init__(self, name: str, data_centre: str, store_url: str) -> None:
        self.address = records.HostAddress(
            name, data_centre, "127.0.0.1", 1, loopback.find_free_port()
        )
        self._to_control, self.control = anyio.create_memory_object_stream[
            messages.ToControl
        ](1_000)
        self.sync = configuration_sync.ConfigurationSync(
            self.address,
            settings_lib.StoreSettings.model_validate(
                {"endpoints": [store_url], "prefix": PREFIX}
            ),
            self._to_control,
            clock.MonotonicClock(),
        )
        self.store_url = store_url
        self.revisions: list[int] = []
        self.peers: list[Host] = []

    def start(self, tasks: abc.TaskGroup) -> None:
        """Starts the tasks of the host."""
        tasks.start_soon(self.sync.run)
        tasks.start_soon(self._record_revisions)
        tasks.start_soon(self._deliver_notices)
        tasks.start_soon(self._serve_configuration)

    def set_view(self, hosts: list["Host"]) -> None:
        """Gives the host a view of the membership in which hosts are alive."""
        self.peers = hosts
        members = {
            host.address.host_id: records.Member(
                host.address, 0, records.MemberState.ALIVE, 0, 0
            )
            for host in hosts
        }
        self.sync.set_view(records.MemberView(members, True, 0))

    async def wait_for_revision(self, revision: int) -> None:
        """Waits until the host has accepted a revision."""
        with anyio.fail_after(60):
            while revision not in self.revisions:
                await anyio.sleep(0.01)

    async def _record_revisions(self) -> None:
        """Records the accepted revisions."""
        async for configuration in self.sync.accepted():
            self.revisions.append(configuration.revision)

    async def _deliver_notices(self) -> None:
        """Passes the notices of this host to all its peers."""
        async for message in self.control:
            if not isinstance(message, messages.SendControlMessage):
                continue
            received = messages.ControlMessageReceived(
                self.address.host_id, message.kind, message.body
            )
            for peer in self.peers:
                if peer is not self:
                    peer.sync.handle_notice(received)

    async def _serve_configuration(self) -> None:
        """Serves the configuration to peers over HTTP until `STOP` is set."""

        async def configuration(request: requests.Request) -> Any:
            known_revision = int(
                request.query_params[api.KNOWN_REVISION_PARAMETER]
            )
            record = self.sync.encode_bundle(known_revision)
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
    """Stops the HTTP servers of the hosts at the end of a test."""

    def __init__(self) -> None:
        self._event: anyio.Event | None = None

    def reset(self) -> None:
        """Prepares for a test; to be called in its event loop."""
        self._event = anyio.Event()

    def set(self) -> None:
        """Stops the servers."""
        if self._event is not None:
            self._event.set()

    async def wait(self) -> None:
        """Waits until the servers are to stop."""
        if self._event is not None:
            await self._event.wait()


STOP = _Stop()
TestBody = Callable[[Any, Any, list[Host]], Awaitable[None]]


def run(test_body: TestBody) -> None:
    """Runs a test with a store and three hosts in two data centres.

    Args:
        test_body: The test; gets the store, the environment of operators and
            the hosts.
    """

    async def main() -> None:
        STOP.reset()
        fake_store = store.FakeStoreServer(clock.MonotonicClock())
        async with contextlib.AsyncExitStack() as stack:
            store_url = await stack.enter_async_context(
                store.run_server(fake_store)
            )
            http = await stack.enter_async_context(
                client.open_http_client(store_url)
            )
            operators = environment.Environment(client.EtcdStore(http), PREFIX)
            hosts = [
                Host("h1", "tacoma", store_url),
                Host("h2", "tacoma", store_url),
                Host("h3", "salem", store_url),
            ]
            async with anyio.create_task_group() as tasks:
                for host in hosts:
                    host.start(tasks)
                    host.set_view(hosts)
                await test_body(fake_store, operators, hosts)
                STOP.set()
                tasks.cancel_scope.cancel()

    anyio.run(main)


async def change(operators: environment.Environment, **document: Any) -> None:
    """Applies a document with the given `builders.document_bytes` arguments."""
    snapshot = (await stored_configuration.read_snapshot(operators)).ok
    intent = changes.Intent(
        builders.document_bytes(**document), builders.bindings_bytes(), "ann"
    )
    outcome = await changes.apply(operators, snapshot, intent)
    if outcome.is_error():
        raise AssertionError(outcome.error)


class ConfigurationSyncTest(testtools.TestCase):
    def test_change_reaches_all_hosts_in_order(self) -> None:
        async def test_body(_: Any, operators: Any, hosts: list[Host]) -> None:
            await change(operators)
            for host in hosts:
                await host.wait_for_revision(1)
            await change(operators, drained=("rota-1",))
            for host in hosts:
                await host.wait_for_revision(2)
                self.assertThat(host.revisions, matchers.Equals([1, 2]))

        run(test_body)

    def test_new_host_fetches_from_peers_while_the_store_is_down(self) -> None:
        async def test_body(
            fake_store: Any, operators: Any, hosts: list[Host]
        ) -> None:
            first, second, third = hosts
            third.set_view([third])
            await change(operators)
            await first.wait_for_revision(1)
            fake_store.set_faults(store_faults.Faults(is_down=True))
            new_host = Host("h4", "salem", first.store_url)
            async with anyio.create_task_group() as tasks:
                new_host.start(tasks)
                live_hosts = [first, second, new_host]
                for host in live_hosts:
                    host.set_view(live_hosts)
                await new_host.wait_for_revision(1)
                tasks.cancel_scope.cancel()
                STOP.set()
            status = first.sync.status()
            self.assertThat(status.known_revision, matchers.Equals(1))

        run(test_body)

    def test_hosts_get_changes_after_unused_keys_are_deleted(self) -> None:
        async def test_body(
            fake_store: Any, operators: Any, hosts: list[Host]
        ) -> None:
            await change(operators)
            unused_key = operators.part_key(b"not named by any head")
            await operators.store.transact(
                [], [store_data.Put(unused_key, b"x")]
            )
            adapter = store_adapter.StoreAdapter(
                operators, hosts[0].sync.put, clock.MonotonicClock()
            )
            await adapter.collect_garbage()
            self.assertNotIn(unused_key, fake_store.state.items_by_key)
            await change(operators, drained=("rota-1",))
            for host in hosts:
                await host.wait_for_revision(2)

        run(test_body)

    def test_stale_read_of_the_store_does_not_roll_a_host_back(self) -> None:
        async def test_body(
            fake_store: Any, operators: Any, hosts: list[Host]
        ) -> None:
            await change(operators)
            fake_store.set_faults(store_faults.Faults(has_old_reads=True))
            key = operators.head_key
            old_item = fake_store.state.items_by_key[key]
            fake_store.set_faults(store_faults.Faults())
            await change(operators, drained=("rota-1",))
            for host in hosts:
                await host.wait_for_revision(2)
            fake_store.state.items_by_key[key] = old_item
            for host in hosts:
                host.sync.put(propagation_data.WatchStarted())
            calls_before = fake_store.calls_by_path["/v3/kv/range"]
            with anyio.fail_after(60):
                while (
                    fake_store.calls_by_path["/v3/kv/range"] < calls_before + 2
                ):
                    await anyio.sleep(0.01)
            for host in hosts:
                self.assertThat(host.revisions[-1], matchers.Equals(2))

        run(test_body)


class FullInboxTest(testtools.TestCase):
    """Pattern: the inbox of the task is full while the membership changes."""

    def test_a_view_that_did_not_fit_is_queued_at_the_next_tick(self) -> None:
        async def main() -> list[propagation_data.Event]:
            host = Host("a", "tacoma", "http://127.0.0.1:1")
            while host.sync._try_put(propagation_data.Tick()):
                pass
            host.set_view([host])
            queued: list[propagation_data.Event] = []
            async with anyio.create_task_group() as tasks:
                for _ in range(configuration_sync.MAX_QUEUED_EVENTS):
                    queued.append(host.sync._events.receive_nowait().event)
                tasks.start_soon(host.sync._tick)
                with anyio.fail_after(5):
                    queued.append((await host.sync._events.receive()).event)
                tasks.cancel_scope.cancel()
            return queued[-1:]

        queued = anyio.run(main)
        self.assertEqual(
            [propagation_data.ViewChanged({"a": "tacoma"})], queued
        )
