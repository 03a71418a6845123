import dataclasses

import anyio
import anyio.abc
import testtools

from sapphire_core.peers import data as peer_data
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
            | messages.LocalUpstreamReports
        ](10)
        batches, self.batches = anyio.create_memory_object_stream[
            messages.BatchReceived | messages.RemovedItemsReceived
        ](10)
        seen, self.seen = anyio.create_memory_object_stream[
            messages.PeerReports
        ](10)
        self.task = peer_task.PeerTask(
            peer_data.Contact("edge-1", builders.DATA_CENTRE, *ANY_ADDRESS),
            self.state,
            self.clock,
            inbox=inbox,
            batches=batches,
            seen=seen,
        )
        self.addCleanup(self.task._socket.close)
        self.peer = datagrams.open_socket(ANY_ADDRESS)
        self.addCleanup(self.peer.close)

    def contact(self) -> peer_data.Contact:
        """Returns how the peer is reached."""
        address, port = self.peer.getsockname()
        return peer_data.Contact("edge-2", builders.DATA_CENTRE, address, port)


class PeerTaskTest(PeerTaskBench):
    def test_a_departure_is_told_at_once(self) -> None:
        self.task._peer_table.set_host_list([self.contact()])
        self.state.leaving.set()

        async def main() -> bytes:
            await self.task._tell_departure()
            await anyio.wait_readable(self.peer)
            return self.peer.recv(peer_messages.MAX_BEAT_BYTES)

        beat = peer_messages.decode_beat(anyio.run(main))
        self.assertIsInstance(beat, peer_data.Heartbeat)
        assert isinstance(beat, peer_data.Heartbeat)
        self.assertTrue(beat.is_leaving)

    def test_a_departure_is_noted_at_once(self) -> None:
        beat = builders.heartbeat("edge-2", is_leaving=True)
        self.task._take(peer_messages.encode_beat(beat))
        self.assertTrue(self.state.is_near_host_away)

    def test_a_host_of_another_data_centre_is_not_waited_for(self) -> None:
        beat = builders.heartbeat("edge-2", data_centre="far", is_leaving=True)
        self.task._take(peer_messages.encode_beat(beat))
        self.assertFalse(self.state.is_near_host_away)

    def test_what_is_no_beat_is_counted(self) -> None:
        self.task._take(b"noise")
        self.assertEqual(1, self.state.counts["unreadable_beats"])

    def test_a_silent_peer_holds_up_only_the_scope_that_it_is_asked_for(
        self,
    ) -> None:
        self.state.set_must_follow_store(False)
        asked: list[replication_data.Scope] = []

        async def ask(scope: replication_data.Scope, host: str) -> None:
            asked.append(scope)
            await anyio.sleep_forever()

        self.patch(self.task, "_pull_from", ask)

        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.task._pull)
                beat = builders.heartbeat("edge-2", revision=7)
                self.task._take(peer_messages.encode_beat(beat))
                for _ in range(100):
                    await anyio.sleep(0)
                beat = builders.heartbeat("edge-3", revision=8)
                self.task._take(peer_messages.encode_beat(beat))
                for _ in range(100):
                    await anyio.sleep(0)
                tasks.cancel_scope.cancel()

        anyio.run(main)
        self.assertEqual(set(replication_data.Scope), set(asked))
        self.assertEqual(len(replication_data.Scope), len(asked))


class RemovedTest(PeerTaskBench):
    """A host that has just started asks for what left the registry."""

    def run_beside(self, answer: http1.Answer) -> list[str]:
        """Lets a peer that serves be heard; returns who told of what."""
        self.state.as_of_by_scope[replication_data.Scope.REGISTRY] = 9

        async def main() -> list[str]:
            async with anyio.create_task_group() as tasks:
                listener = await anyio.create_tcp_listener(
                    local_host=ANY_ADDRESS[0]
                )
                port = listener.extra(anyio.abc.SocketAttribute.local_port)
                tasks.start_soon(http1.serve, listener, answer)
                tasks.start_soon(self.task._read_removed)
                beat = builders.heartbeat("edge-2")
                contact = dataclasses.replace(beat.contact, port=port)
                beat = dataclasses.replace(beat, contact=contact)
                self.task._take(peer_messages.encode_beat(beat))
                message = await self.batches.receive()
                tasks.cancel_scope.cancel()
            assert isinstance(message, messages.RemovedItemsReceived)
            return [item.key for item in message.batch.items]

        return anyio.run(main)

    def test_a_peer_is_asked(self) -> None:
        paths: list[str] = []

        async def answer(method: str, path: str) -> http1.Response:
            paths.append(path)
            batch = builders.batch(builders.item("a", 4), as_of=9)
            return http1.Response(200, peer_messages.encode_batch(batch))

        self.assertEqual(["a"], self.run_beside(answer))
        self.assertEqual(["/removed/2"], paths)


class QuestionTest(testtools.TestCase):
    def test_questions_are_read(self) -> None:
        registry = replication_data.Scope.REGISTRY
        for path, expected in (
            ("/items/2/530", peer_task.Question(registry, 530)),
            ("/removed/2", peer_task.Question(registry, None)),
            ("/items/2", None),
            ("/items/2/x", None),
            ("/items/9/1", None),
            ("/removed/9", None),
            ("/removed/2/1", None),
            ("/", None),
        ):
            self.assertEqual(expected, peer_task.question_of(path))
