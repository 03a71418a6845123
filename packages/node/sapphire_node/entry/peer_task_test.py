import dataclasses

import anyio
import anyio.abc
import testtools

from sapphire_core.peers import data as peer_data
from sapphire_core.peers import pull_sources
from sapphire_core.replication import data as replication_data
from sapphire_data import clock as clock_lib
from sapphire_lab.tagged_flows import builders
from sapphire_lab.tagged_flows import host_builders
from sapphire_net import datagrams
from sapphire_net import http1
from sapphire_node.entry import messages
from sapphire_node.entry import peer_task
from sapphire_wire import peer_messages

ANY_ADDRESS = ("127.0.0.1", 0)


class PeerTaskBench(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.clock = clock_lib.ManualClock(1_000)
        self.state = host_builders.state()
        self.inbox, inbox = anyio.create_memory_object_stream[
            messages.HostListChanged
            | messages.ScopeUpdated
            | messages.OwnUpstreamReports
        ](10)
        batches, self.batches = anyio.create_memory_object_stream[
            messages.BatchReceived | messages.RemovedItemsReceived
        ](10)
        peer_reports, self.peer_reports = anyio.create_memory_object_stream[
            messages.PeerReports
        ](10)
        self.task = peer_task.PeerTask(
            peer_data.Contact("edge-1", builders.DATA_CENTRE, *ANY_ADDRESS),
            self.state,
            self.clock,
            inbox=inbox,
            batches=batches,
            peer_reports=peer_reports,
        )
        self.addCleanup(self.task._socket.close)
        self.peer = datagrams.open_socket(ANY_ADDRESS)
        self.addCleanup(self.peer.close)

    def contact(self) -> peer_data.Contact:
        """Returns the contact of the peer."""
        address, port = self.peer.getsockname()
        return peer_data.Contact("edge-2", builders.DATA_CENTRE, address, port)


class PeerTaskTest(PeerTaskBench):
    def test_a_leaving_host_sends_a_heartbeat_at_once(self) -> None:
        self.task._peer_table.set_host_list([self.contact()], 1_000)
        self.state.leaving.set()

        async def main() -> bytes:
            await self.task._send_leaving_heartbeat()
            await anyio.wait_readable(self.peer)
            return self.peer.recv(peer_messages.MAX_HEARTBEAT_BYTES)

        heartbeat = peer_messages.decode_heartbeat(anyio.run(main))
        self.assertIsInstance(heartbeat, peer_data.Heartbeat)
        assert isinstance(heartbeat, peer_data.Heartbeat)
        self.assertTrue(heartbeat.is_leaving)

    def test_a_leaving_local_peer_is_away_at_once(self) -> None:
        heartbeat = builders.heartbeat("edge-2", is_leaving=True)
        self.task._handle_datagram(peer_messages.encode_heartbeat(heartbeat))
        self.assertTrue(self.state.is_near_host_away)

    def test_a_leaving_remote_peer_does_not_count_as_away(self) -> None:
        heartbeat = builders.heartbeat(
            "edge-2", data_centre="remote", is_leaving=True
        )
        self.task._handle_datagram(peer_messages.encode_heartbeat(heartbeat))
        self.assertFalse(self.state.is_near_host_away)

    def test_unreadable_heartbeats_are_counted(self) -> None:
        self.task._handle_datagram(b"noise")
        self.assertEqual(1, self.state.counts["unreadable_beats"])

    def test_a_peer_without_response_delays_only_the_scope_pulled_from_it(
        self,
    ) -> None:
        self.state.set_must_follow_store(False)
        pulled_scopes: list[replication_data.Scope] = []

        async def pull_from(scope: replication_data.Scope, host: str) -> None:
            pulled_scopes.append(scope)
            await anyio.sleep_forever()

        self.patch(self.task, "_pull_from", pull_from)

        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.task._pull_changes)
                heartbeat = builders.heartbeat("edge-2", revision=7)
                self.task._handle_datagram(
                    peer_messages.encode_heartbeat(heartbeat)
                )
                for _ in range(100):
                    await anyio.sleep(0)
                heartbeat = builders.heartbeat("edge-3", revision=8)
                self.task._handle_datagram(
                    peer_messages.encode_heartbeat(heartbeat)
                )
                for _ in range(100):
                    await anyio.sleep(0)
                tasks.cancel_scope.cancel()

        anyio.run(main)
        self.assertEqual(set(replication_data.Scope), set(pulled_scopes))
        self.assertEqual(len(replication_data.Scope), len(pulled_scopes))


class PullSourceTest(PeerTaskBench):
    """Which peers are asked for changes, and again after a failure."""

    def pull(
        self, outcome_by_host: dict[str, pull_sources.PullOutcome], asks: int
    ) -> list[str]:
        """Runs the pulls of one scope until some peers were asked.

        Returns:
            The peers that were asked, in order.
        """
        self.state.set_must_follow_store(False)
        asked: list[str] = []

        async def pull_from(
            scope: replication_data.Scope, host: str
        ) -> pull_sources.PullOutcome:
            asked.append(host)
            await anyio.sleep(0)
            return outcome_by_host[host]

        self.patch(self.task, "_pull_from", pull_from)

        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.task._pull_changes)
                for host in outcome_by_host:
                    heartbeat = builders.heartbeat(host)
                    scope = replication_data.Scope.INTENT
                    heartbeat = dataclasses.replace(
                        heartbeat, revisions={scope: 7}
                    )
                    self.task._handle_datagram(
                        peer_messages.encode_heartbeat(heartbeat)
                    )
                with anyio.move_on_after(2):
                    while len(asked) < asks:
                        await anyio.sleep(0.005)
                        self.clock.advance(5)
                tasks.cancel_scope.cancel()

        anyio.run(main)
        return asked

    def test_another_peer_is_asked_while_one_is_busy(self) -> None:
        busy = pull_sources.PullOutcome.BUSY
        asked = self.pull({"edge-2": busy, "edge-3": busy}, 2)
        self.assertEqual({"edge-2", "edge-3"}, set(asked[:2]))

    def test_another_peer_is_asked_after_a_failure(self) -> None:
        failed = pull_sources.PullOutcome.FAILED
        asked = self.pull({"edge-2": failed, "edge-3": failed}, 2)
        self.assertEqual({"edge-2", "edge-3"}, set(asked[:2]))

    def test_a_scope_is_pulled_once(self) -> None:
        asked = self.pull({"edge-2": pull_sources.PullOutcome.PULLED}, 2)
        self.assertEqual(["edge-2"], asked)


class PullRemovedItemsTest(PeerTaskBench):
    """A new host pulls the items that left the registry before its start."""

    def run_with_peer(self, answer: http1.RequestHandler) -> list[str]:
        """Runs the pull beside a peer that serves HTTP.

        Returns:
            The keys of the removed items that the host received.
        """
        self.state.as_of_by_scope[replication_data.Scope.REGISTRY] = 9

        async def main() -> list[str]:
            async with anyio.create_task_group() as tasks:
                listener = await anyio.create_tcp_listener(
                    local_host=ANY_ADDRESS[0]
                )
                port = listener.extra(anyio.abc.SocketAttribute.local_port)
                tasks.start_soon(http1.serve, listener, answer)
                tasks.start_soon(self.task._pull_removed_items)
                heartbeat = builders.heartbeat("edge-2")
                contact = dataclasses.replace(heartbeat.contact, port=port)
                heartbeat = dataclasses.replace(heartbeat, contact=contact)
                self.task._handle_datagram(
                    peer_messages.encode_heartbeat(heartbeat)
                )
                message = await self.batches.receive()
                tasks.cancel_scope.cancel()
            assert isinstance(message, messages.RemovedItemsReceived)
            return [item.key for item in message.batch.items]

        return anyio.run(main)

    def test_a_new_peer_is_asked_for_removed_items(self) -> None:
        paths: list[str] = []

        async def answer(method: str, path: str) -> http1.Response:
            paths.append(path)
            batch = builders.batch(builders.item("a", 4), as_of=9)
            return http1.Response(200, peer_messages.encode_batch(batch))

        self.assertEqual(["a"], self.run_with_peer(answer))
        self.assertEqual(["/removed/2"], paths)


class RequestPathTest(testtools.TestCase):
    def test_request_paths_are_parsed_or_rejected(self) -> None:
        registry = replication_data.Scope.REGISTRY
        for path, expected in (
            ("/items/2/530", peer_task.PeerRequest(registry, 530)),
            ("/removed/2", peer_task.PeerRequest(registry, None)),
            ("/items/2", None),
            ("/items/2/x", None),
            ("/items/9/1", None),
            ("/removed/9", None),
            ("/removed/2/1", None),
            ("/", None),
        ):
            self.assertEqual(expected, peer_task.parse_request_path(path))
