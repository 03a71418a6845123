import types
from typing import Any

import anyio
from anyio.streams import memory
import testtools

from sapphire_core.flows import flow_table
from sapphire_core.flows import history_permits
from sapphire_core.flows import history_usage_report
from sapphire_core.membership import data as membership_data
from sapphire_data import clock
from sapphire_data import records
from sapphire_lab.config import builders as config_builders
from sapphire_lab.config import fakes
from sapphire_lab.flows import builders
from sapphire_net.store import changes
from sapphire_net.store import stored_configuration
from sapphire_node import messages
from sapphire_node.housekeeping import truncation_task

HOSTS = ("h1", "h2", "h3")
MINUTE_MS = 60_000
WAIT_MS = flow_table.IDLE_PERIOD_MS + history_permits.SETTLE_MS


class FakeHost:
    """The components of a host that the task uses, with what they return.

    Attributes:
        is_stalled: Whether the host runs no task, as in a stall.
        oldest_needed: The oldest generation that a flow needs, if any.
    """

    def __init__(self, fleet: "Fleet", host_id: str) -> None:
        self.fleet = fleet
        self.own_address = types.SimpleNamespace(host_id=host_id)
        self.time = fleet.time
        self.is_stalled = False
        self.oldest_needed: int | None = None
        self.control_plane = types.SimpleNamespace(membership=self)
        self.configuration_sync = self
        self.forwarder = types.SimpleNamespace(router=self)
        self.to_control, self.inbox = _stream()

    def view(self) -> records.MemberView:
        extra = [f"n{number}" for number in range(self.fleet.extra_hosts)]
        names = [*HOSTS, *extra]
        return builders.view([builders.member(name) for name in names])

    def facts(self, now_ms: int) -> dict[str, membership_data.FactEntry]:
        return {
            key: fact
            for key, (fact, expires_at_ms) in self.fleet.facts.items()
            if now_ms < expires_at_ms
        }

    def status(self) -> Any:
        return types.SimpleNamespace(configuration=self.fleet.configuration)

    def history_usage_reports(
        self, now_ms: int
    ) -> list[history_usage_report.HistoryUsageReport]:
        host_id = self.own_address.host_id
        return [
            history_usage_report.HistoryUsageReport(
                host_id, "rota", self.oldest_needed, False, frozenset(), now_ms
            )
        ]


def _stream() -> tuple[
    memory.MemoryObjectSendStream[messages.ToControl],
    memory.MemoryObjectReceiveStream[messages.ToControl],
]:
    return anyio.create_memory_object_stream[messages.ToControl](16)


class Fleet:
    """Three hosts with one store; each has the facts of all others at once."""

    def __init__(self) -> None:
        self.store = fakes.FakeStore()
        self.time: clock.ManualClock = self.store.time
        self.environment = fakes.fake_environment(self.store)
        self.facts: dict[str, tuple[membership_data.FactEntry, int]] = {}
        self.configuration: records.Configuration | None = None
        self.hosts = [FakeHost(self, host) for host in HOSTS]
        self.truncators: list[truncation_task.HistoryTruncator] = []
        self.extra_hosts = 0

    async def start(self) -> None:
        for drained in ("rota-1", "rota-2", "rota-3"):
            snapshot = await stored_configuration.read_snapshot(
                self.environment
            )
            intent = changes.Intent(
                config_builders.document_bytes(drained=(drained,)),
                config_builders.bindings_bytes(),
                "ann",
            )
            await changes.apply(self.environment, snapshot.ok, intent)
        await self.update_configuration()
        for host in self.hosts:
            components: Any = host
            self.truncators.append(
                truncation_task.HistoryTruncator(components, self.environment)
            )

    async def update_configuration(self) -> None:
        snapshot = await stored_configuration.read_snapshot(self.environment)
        self.configuration = snapshot.ok.configuration

    async def run_for(self, duration_ms: int) -> None:
        """Runs the tasks for a time, in steps of one second."""
        for _ in range(duration_ms // clock.MS_PER_SECOND):
            self.time.advance(clock.MS_PER_SECOND)
            for host, truncator in zip(
                self.hosts, self.truncators, strict=True
            ):
                if host.is_stalled:
                    continue
                truncator.observe()
                if truncator.is_due():
                    await truncator.run_once()
                self._apply_published_facts(host)

    def _apply_published_facts(self, host: FakeHost) -> None:
        while host.inbox.statistics().current_buffer_used:
            message = host.inbox.receive_nowait()
            if not isinstance(message, messages.PublishFact):
                continue
            entry = membership_data.FactEntry(
                message.key, message.version, message.value, message.ttl_ms
            )
            expires_at_ms = self.time.now_ms() + message.ttl_ms
            self.facts[message.key] = (entry, expires_at_ms)

    async def generation_numbers(self) -> list[int]:
        snapshot = await stored_configuration.read_snapshot(self.environment)
        service = snapshot.ok.configuration.services_by_name["rota"]
        return [item.number for item in service.generations]

    async def revision(self) -> int:
        snapshot = await stored_configuration.read_snapshot(self.environment)
        return snapshot.ok.stored.revision


def run(body: Any) -> None:
    anyio.run(body)


class HistoryTruncatorTest(testtools.TestCase):
    def test_history_is_truncated_once_after_the_idle_time(self) -> None:
        async def body() -> None:
            fleet = Fleet()
            await fleet.start()
            await fleet.run_for(WAIT_MS - MINUTE_MS)
            self.assertEqual([1, 2, 3], await fleet.generation_numbers())
            self.assertEqual({}, fleet.facts)
            await fleet.run_for(5 * MINUTE_MS)
            self.assertEqual([3], await fleet.generation_numbers())
            revision = await fleet.revision()
            await fleet.update_configuration()
            await fleet.run_for(20 * MINUTE_MS)
            self.assertEqual(revision, await fleet.revision())

        run(body)

    def test_nothing_is_truncated_without_the_permit_of_a_host(self) -> None:
        async def body() -> None:
            fleet = Fleet()
            await fleet.start()
            fleet.hosts[1].is_stalled = True
            await fleet.run_for(WAIT_MS + 10 * MINUTE_MS)
            self.assertEqual([1, 2, 3], await fleet.generation_numbers())

        run(body)

    def test_too_large_a_fleet_is_logged_and_not_truncated(self) -> None:
        async def body() -> None:
            fleet = Fleet()
            await fleet.start()
            fleet.extra_hosts = truncation_task.MAX_HOSTS
            with self.assertLogs(truncation_task.__name__, "WARNING") as logs:
                await fleet.run_for(WAIT_MS + 10 * MINUTE_MS)
            self.assertEqual(len(HOSTS), len(logs.records))
            self.assertEqual({}, fleet.facts)
            self.assertEqual([1, 2, 3], await fleet.generation_numbers())

        run(body)

    def test_generations_that_a_flow_needs_are_kept(self) -> None:
        async def body() -> None:
            fleet = Fleet()
            await fleet.start()
            fleet.hosts[2].oldest_needed = 1
            await fleet.run_for(WAIT_MS + 10 * MINUTE_MS)
            self.assertEqual([1, 2, 3], await fleet.generation_numbers())
            fleet.hosts[2].oldest_needed = None
            await fleet.run_for(10 * MINUTE_MS)
            self.assertEqual([3], await fleet.generation_numbers())

        run(body)

    def test_truncation_is_retried_after_the_store_was_down(self) -> None:
        async def body() -> None:
            fleet = Fleet()
            await fleet.start()
            fleet.store.faults = [fakes.Fault.DOWN] * 1_000
            await fleet.run_for(WAIT_MS + 20 * MINUTE_MS)
            calls = 1_000 - len(fleet.store.faults)
            self.assertGreater(calls, 0)
            # One attempt in five minutes, each with one or two calls for the
            # lease.
            self.assertTrue(calls <= 10, f"{calls} calls")
            fleet.store.faults = []
            self.assertEqual([1, 2, 3], await fleet.generation_numbers())
            await fleet.run_for(10 * MINUTE_MS)
            self.assertEqual([3], await fleet.generation_numbers())

        run(body)
