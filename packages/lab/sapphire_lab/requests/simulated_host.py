"""A host round an engine: links with faults, pauses, death and drain."""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import enum
import random
import time
from typing import Protocol

from sapphire_core.requests import data
from sapphire_data import records
from sapphire_lab.requests import claim_store_fake
from sapphire_lab.requests import simulation
from sapphire_lab.requests import upstream_fake

STORE_ONE_WAY_MS = 2
STORE_TIMEOUT_MS = 500
LATE_MS = 3_000


class LinkFault(enum.Enum):
    """What becomes of one attempt on its way."""

    NONE = "none"
    LOST_BEFORE = "lost-before"
    LOST_AFTER = "lost-after"
    DUPLICATED = "duplicated"
    LATE = "late"
    CROSSED = "crossed"
    TRUNCATED = "truncated"


class RequestEngine(Protocol):
    """What the engine and the baseline have in common."""

    @property
    def is_idle(self) -> bool:
        """Whether nothing is in flight."""

    @property
    def store_calls(self) -> int:
        """The store calls made."""

    def set_configuration(
        self, configuration: records.Configuration, now_ms: int
    ) -> list[data.Action]:
        """Takes in a configuration."""

    def set_view(
        self, view: records.MemberView, now_ms: int
    ) -> list[data.Action]:
        """Takes in the membership."""

    def begin_drain(self) -> None:
        """Refuses new requests."""

    def handle(self, event: data.Event, now_ms: int) -> list[data.Action]:
        """Takes in an event."""

    def next_wakeup_ms(self, now_ms: int) -> int | None:
        """Returns when the next Tick is due."""


@dataclasses.dataclass(slots=True)
class Exchange:
    """A request at this host and the caller that waits for it.

    Attributes:
        request_id: The id under which upstreams count its runs.
        arrival: The identity of this arrival.
        done: Takes the outcome.
        is_sent: Whether an attempt was made.
    """

    request_id: str
    arrival: str
    done: Callable[[data.Finish], None]
    is_sent: bool = False


def _drop_peer_message(host_id: str, event: data.PeerMessageReceived) -> None:
    del host_id, event


@dataclasses.dataclass(slots=True)
class SimulatedHost:
    """A host.

    Attributes:
        name: Its identity.
        sim: The queue of timed calls.
        request_engine: The engine or the baseline.
        upstreams_by_name: The upstreams.
        store: The claim store.
        rng: The source of faults.
        one_way_ms: The time to an upstream.
        fault_rate: The share of attempts that a link fault meets.
        pause_rate: The share of attempts before which the host is paused.
        pause_ms: How long it is paused.
        is_running: Whether it lives.
        is_partitioned: Whether it reaches neither the store nor other data
            centres.
        data_centre: Its data centre.
        events: The events that the decider handled.
        cpu_s: The processor time of the decider in seconds.
        first_attempts: The requests for which an attempt was made.
        send_peer_message: Carries a message to another host.
        exchanges_by_serial: The requests whose callers wait.
    """

    name: str
    sim: simulation.Simulation
    request_engine: RequestEngine
    upstreams_by_name: Mapping[str, upstream_fake.FakeUpstream]
    store: claim_store_fake.FakeClaimStore
    rng: random.Random
    data_centre: str
    one_way_ms: int = 1
    fault_rate: float = 0.0
    pause_rate: float = 0.0
    pause_ms: int = 2_000
    is_running: bool = True
    is_partitioned: bool = False
    events: int = 0
    cpu_s: float = 0.0
    first_attempts: int = 0
    send_peer_message: Callable[[str, data.PeerMessageReceived], None] = (
        _drop_peer_message
    )
    exchanges_by_serial: dict[int, Exchange] = dataclasses.field(
        default_factory=dict
    )
    _paused_until_ms: int = 0
    _serial: int = 0
    _tick_ms: int | None = None
    _upstreams_by_attempt: dict[str, str] = dataclasses.field(
        default_factory=dict
    )

    def submit(self, request: data.Request, exchange: Exchange) -> None:
        """Takes a request of a caller."""
        self._serial += 1
        numbered = dataclasses.replace(request, serial=self._serial)
        self.exchanges_by_serial[self._serial] = exchange
        self.handle_event(data.RequestArrived(numbered))

    def handle_event(self, event: data.Event) -> None:
        """Hands an event to the decider, after a pause if there is one."""
        if not self.is_running:
            return
        if self.sim.now_ms < self._paused_until_ms:
            self.sim.call_at(
                self._paused_until_ms, lambda: self.handle_event(event)
            )
            return
        self.events += 1
        before_s = time.perf_counter()
        actions = self.request_engine.handle(event, self.sim.now_ms)
        self.cpu_s += time.perf_counter() - before_s
        self.perform(actions)

    def perform(self, actions: list[data.Action]) -> None:
        """Performs actions and sets the next tick."""
        for action in actions:
            self._perform_one(action)
        wakeup_ms = self.request_engine.next_wakeup_ms(self.sim.now_ms)
        if wakeup_ms is None:
            return
        if self._tick_ms is not None and self._tick_ms <= wakeup_ms:
            return
        self._tick_ms = max(wakeup_ms, self.sim.now_ms + 1)
        self.sim.call_at(self._tick_ms, self._tick)

    def crash(self) -> list[Exchange]:
        """Ends the host without notice.

        Returns:
            The exchanges whose callers lose their connection.
        """
        self.is_running = False
        for attempt_id in list(self._upstreams_by_attempt):
            self._cancel(attempt_id)
        return list(self.exchanges_by_serial.values())

    def _tick(self) -> None:
        self._tick_ms = None
        self.handle_event(data.Tick())

    def _perform_one(self, action: data.Action) -> None:
        match action:
            case data.SendAttempt():
                self._start_send(action)
            case data.CancelAttempt(attempt_id):
                self._cancel(attempt_id)
            case data.ApplyClaims(batch):
                self.sim.call_after(STORE_ONE_WAY_MS, lambda: self._call(batch))
            case data.SendPeerMessage(host_id, message):
                self.send_peer_message(
                    host_id, data.PeerMessageReceived(message)
                )
            case data.Finish(serial):
                self.exchanges_by_serial.pop(serial).done(action)

    def _start_send(self, send: data.SendAttempt) -> None:
        # The pause falls between the decision and the transmission.
        exchange = self.exchanges_by_serial[send.serial]
        if not exchange.is_sent:
            exchange.is_sent = True
            self.first_attempts += 1
        if self.rng.random() < self.pause_rate:
            self._paused_until_ms = self.sim.now_ms + self.pause_ms
        at_ms = max(self.sim.now_ms, self._paused_until_ms)
        self._upstreams_by_attempt[send.attempt_id] = send.upstream
        self.sim.call_at(
            at_ms + self.one_way_ms, lambda: self._transmit(send, exchange)
        )

    def _transmit(self, send: data.SendAttempt, exchange: Exchange) -> None:
        if not self.is_running:
            return
        upstream = self.upstreams_by_name[send.upstream]
        is_far = upstream.record.data_centre != self.data_centre
        if self.is_partitioned and is_far:
            unreachable = data.AttemptFault.UNREACHABLE
            self._receive(data.AttemptFailed(send.attempt_id, unreachable))
            return
        fault = LinkFault.NONE
        if self.rng.random() < self.fault_rate:
            fault = self.rng.choice(list(LinkFault))
        if fault is LinkFault.LOST_BEFORE:
            lost = data.AttemptFault.CONNECTION_LOST
            self._receive(data.AttemptFailed(send.attempt_id, lost))
            return
        upstream.receive(
            upstream_fake.Run(
                send.attempt_id,
                exchange.request_id,
                exchange.arrival,
                lambda event: self._reply(event, fault),
            )
        )

    def _reply(
        self, event: data.AnswerArrived | data.AttemptFailed, fault: LinkFault
    ) -> None:
        attempt_id = event.attempt_id
        if fault is LinkFault.LOST_AFTER:
            lost = data.AttemptFault.CONNECTION_LOST
            self._receive(data.AttemptFailed(attempt_id, lost))
            return
        if fault is LinkFault.TRUNCATED:
            truncated = data.AttemptFault.TRUNCATED
            self._receive(data.AttemptFailed(attempt_id, truncated))
            return
        if fault is LinkFault.LATE:
            self.sim.call_after(LATE_MS, lambda: self._receive(event))
            return
        if fault is LinkFault.CROSSED and event.echoed_id is not None:
            event = self._crossed(event)
        self._receive(event)
        if fault is LinkFault.DUPLICATED:
            self._receive(event)

    def _crossed(
        self, event: data.AnswerArrived | data.AttemptFailed
    ) -> data.AnswerArrived | data.AttemptFailed:
        others = [
            a for a in self._upstreams_by_attempt if a != event.attempt_id
        ]
        other = self.rng.choice(others) if others else "elsewhere-1"
        if isinstance(event, data.AttemptFailed):
            return dataclasses.replace(event, echoed_id=other)
        return dataclasses.replace(
            event, echoed_id=other, answer=f"answer to {other}"
        )

    def _receive(self, event: data.AnswerArrived | data.AttemptFailed) -> None:
        self._upstreams_by_attempt.pop(event.attempt_id, None)
        self.sim.call_after(self.one_way_ms, lambda: self.handle_event(event))

    def _cancel(self, attempt_id: str) -> None:
        name = self._upstreams_by_attempt.pop(attempt_id, None)
        if name is None:
            return
        upstream = self.upstreams_by_name[name]
        self.sim.call_after(
            self.one_way_ms, lambda: upstream.cancel(attempt_id)
        )

    def _call(self, batch: data.ClaimBatch) -> None:
        failed = data.ClaimsFailed(batch.batch_id)
        if self.is_partitioned:
            self.sim.call_after(
                STORE_TIMEOUT_MS, lambda: self.handle_event(failed)
            )
            return
        result = self.store.call(batch)
        delay_ms = STORE_ONE_WAY_MS
        if isinstance(result, data.ClaimsFailed):
            delay_ms = STORE_TIMEOUT_MS
        self.sim.call_after(delay_ms, lambda: self.handle_event(result))
