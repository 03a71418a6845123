import dataclasses
import random

import anyio
import anyio.abc
import testtools

from sapphire_core.peers import peer_table as peer_table_lib
from sapphire_core.peers import pull_sources
from sapphire_core.replication import data as replication_data
from sapphire_data import clock as clock_lib
from sapphire_lab.tagged_flows import builders
from sapphire_lab.tagged_flows import host_builders
from sapphire_net import http1
from sapphire_node.entry import change_puller
from sapphire_node.entry import messages
from sapphire_node.entry import peer_client
from sapphire_wire import peer_messages

LOOPBACK = "127.0.0.1"
CONTACT_MS = 4_000


class ChangePullerFixture(testtools.TestCase):
    """A puller and the table of the peers whose heartbeats it gets."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = clock_lib.ManualClock(1_000)
        self.state = host_builders.state()
        self.sequence = 1
        self.table = peer_table_lib.PeerTable(
            builders.heartbeat("edge-1").contact, random.Random(1), CONTACT_MS
        )
        batches, self.batches = anyio.create_memory_object_stream[
            messages.ReplicaMessage
        ](10)
        self.puller = change_puller.ChangePuller(
            self.state,
            self.clock,
            peer_table=self.table,
            batches=batches,
            sources=pull_sources.PullSources(random.Random(1)),
        )

    def hear(
        self,
        host: str,
        revisions: dict[replication_data.Scope, int] | None = None,
        port: int = 0,
    ) -> None:
        """Records a heartbeat of a peer, as the peer task does."""
        heartbeat = builders.heartbeat(host, sequence=self.sequence)
        heartbeat = dataclasses.replace(
            heartbeat,
            contact=dataclasses.replace(heartbeat.contact, port=port),
            revisions=revisions or {},
        )
        self.table.record_heartbeat(heartbeat, self.clock.now_ms())
        self.puller.record_revisions(heartbeat.revisions, self.clock.now_ms())


class PullSourceTest(ChangePullerFixture):
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
            scope: replication_data.Scope, source: pull_sources.Source
        ) -> pull_sources.PullOutcome:
            asked.append(source.contact.host)
            await anyio.sleep(0)
            return outcome_by_host[source.contact.host]

        self.patch(self.puller, "_pull_from", pull_from)

        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.puller.pull_changes)
                for host in outcome_by_host:
                    self.hear(host, {replication_data.Scope.INTENT: 7})
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

    def test_a_peer_without_response_delays_only_the_scope_pulled_from_it(
        self,
    ) -> None:
        self.state.set_must_follow_store(False)
        pulled_scopes: list[replication_data.Scope] = []

        async def pull_from(
            scope: replication_data.Scope, source: pull_sources.Source
        ) -> None:
            pulled_scopes.append(scope)
            await anyio.sleep_forever()

        self.patch(self.puller, "_pull_from", pull_from)

        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.puller.pull_changes)
                self.hear("edge-2", dict.fromkeys(replication_data.Scope, 7))
                for _ in range(100):
                    await anyio.sleep(0)
                self.hear("edge-3", dict.fromkeys(replication_data.Scope, 8))
                for _ in range(100):
                    await anyio.sleep(0)
                tasks.cancel_scope.cancel()

        anyio.run(main)
        self.assertEqual(set(replication_data.Scope), set(pulled_scopes))
        self.assertEqual(len(replication_data.Scope), len(pulled_scopes))


class ForgedHeartbeatTest(ChangePullerFixture):
    """What attacks by heartbeats, which need no key, can make a host do."""

    def requests_within(
        self, duration_ms: int, answer: http1.RequestHandler
    ) -> int:
        """Lets a peer repeat a heartbeat that names a newer revision.

        Returns:
            How often the peer was asked.
        """
        self.state.set_must_follow_store(False)
        asked = 0

        async def count_and_answer(method: str, path: str) -> http1.Response:
            nonlocal asked
            asked += 1
            return await answer(method, path)

        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                listener = await anyio.create_tcp_listener(local_host=LOOPBACK)
                port = listener.extra(anyio.abc.SocketAttribute.local_port)
                tasks.start_soon(http1.serve, listener, count_and_answer)
                tasks.start_soon(self.puller.pull_changes)
                for _ in range(duration_ms // 250):
                    self.sequence += 1
                    self.hear(
                        "edge-2", {replication_data.Scope.INTENT: 900}, port
                    )
                    await anyio.sleep(0.05)
                    self.clock.advance(250)
                tasks.cancel_scope.cancel()

        anyio.run(main)
        return asked

    def test_a_revision_that_the_peer_does_not_have_is_asked_for_once(
        self,
    ) -> None:
        async def answer(method: str, path: str) -> http1.Response:
            batch = builders.batch(builders.item("a", 4), as_of=9)
            return http1.Response(200, peer_messages.encode_batch(batch))

        self.assertEqual(1, self.requests_within(5_000, answer))

    def test_items_newer_than_the_first_page_are_no_contradiction(
        self,
    ) -> None:
        async def answer(method: str, path: str) -> http1.Response:
            batch = builders.batch(builders.item("a", 900), as_of=9)
            return http1.Response(200, peer_messages.encode_batch(batch))

        # No replica task applies the batch here, so the host stays behind.
        self.assertGreater(self.requests_within(5_000, answer), 5)

    def test_a_peer_that_answers_nonsense_is_asked_rarely(self) -> None:
        async def answer(method: str, path: str) -> http1.Response:
            return http1.Response(200, b"nonsense")

        self.assertLessEqual(self.requests_within(5_000, answer), 6)


class ClaimedEraTest(ChangePullerFixture):
    """What a host makes of an era that only a peer claims."""

    def claim(self, era: int, revision: int = 3) -> None:
        """Records a heartbeat that names a revision in an era."""
        self.puller.record_revisions(
            {replication_data.Scope.INTENT: revision},
            self.clock.now_ms(),
            era,
        )

    def is_behind(self) -> bool:
        """Whether the host has something to pull."""
        return bool(self.puller._behind_since_ms_by_scope)

    def setUp(self) -> None:
        super().setUp()
        scope = replication_data.Scope.INTENT
        self.state.record_store_era(1, 0)
        self.state.era_by_scope[scope] = 1
        self.state.as_of_by_scope[scope] = 20
        self.state.change_revision_by_scope[scope] = 20

    def test_a_claimed_era_is_only_a_question_to_the_store(self) -> None:
        self.claim(10**6)
        self.assertFalse(self.is_behind())
        self.assertTrue(self.state.eras.has_open_claim)
        self.assertEqual(1, self.state.eras.accepted)

    def test_a_confirmed_era_is_pulled_at_a_lower_revision(self) -> None:
        self.state.record_store_era(2, 0)
        self.claim(2)
        self.assertTrue(self.is_behind())

    def test_peers_of_an_older_era_are_not_ahead(self) -> None:
        self.claim(0, 900)
        self.assertFalse(self.is_behind())

    def test_a_peer_that_knows_the_scope_in_another_era_is_no_source(
        self,
    ) -> None:
        self.state.record_store_era(2, 0)
        self.claim(2, 0)
        self.assertFalse(self.is_behind())

    def test_a_host_that_knows_nothing_takes_the_era_of_its_peers(self) -> None:
        """Pattern: a host starts while the store is away."""
        self.puller._state = self.state = host_builders.state()
        self.claim(7)
        self.assertTrue(self.is_behind())

    # Guards against a source that is not asked again for a minute.
    def test_a_peer_that_has_gone_on_to_a_newer_era_is_no_contradiction(
        self,
    ) -> None:
        scope = replication_data.Scope.INTENT

        async def answer(*_: object) -> replication_data.Batch:
            return replication_data.Batch((), 14, True, 2)

        self.patch(peer_client, "request_batch", answer)
        contact = builders.heartbeat("edge-2").contact
        source = pull_sources.Source(contact, True, 20, 1)
        outcome = anyio.run(self.puller._pull_from, scope, source)
        self.assertIs(pull_sources.PullOutcome.PULLED, outcome)
