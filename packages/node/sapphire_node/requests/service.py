"""The task that forwards the requests of a host to upstreams."""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
import logging
import math
import random

import anyio
import anyio.abc
import anyio.streams.memory

from sapphire_core.requests import claims
from sapphire_core.requests import data as core_data
from sapphire_core.requests import engine
from sapphire_core.requests import memory_budget
from sapphire_data import clock
from sapphire_data import records
from sapphire_net import event_log
from sapphire_node.requests import answer_memory
from sapphire_node.requests import data
from sapphire_node.requests import messages
from sapphire_node.requests import upstream_client

UPLOAD_MEMORY_BYTES = 33_554_432
ANSWER_MEMORY_BYTES = 33_554_432
CLAIM_TIMEOUT_MS = 500
IDLE_POLL_S = 0.05

logger = logging.getLogger(__name__)


# Called with the identity of a peer and the message to send to it.
PeerMessageSender = Callable[[str, core_data.PeerMessage], None]
# Called with the service of a request that has ended, and whether it was
# answered within its deadline.
RequestEndRecorder = Callable[[str, bool], None]


class RequestService:
    """Executes the actions of the request engine of one host over HTTP/1.1.

    Messages are queued and handled while `run` is running. The other methods
    may be called at any time from the same event loop.

    Attributes:
        upload_memory: The memory budget for request bodies.
        answer_memory: The memory budget for answers.
        services_by_name: The services of the configuration in force.
        clock: The clock of deadlines and timeouts.
    """

    def __init__(
        self,
        host_id: str,
        claim_store: claims.ClaimStore,
        service_clock: clock.Clock,
        *,
        rng: random.Random | None = None,
        send_peer_message: PeerMessageSender | None = None,
        record_request_end: RequestEndRecorder | None = None,
        upload_memory_bytes: int = UPLOAD_MEMORY_BYTES,
        answer_memory_bytes: int = ANSWER_MEMORY_BYTES,
    ) -> None:
        self.clock = service_clock
        self.upload_memory = memory_budget.MemoryBudget(upload_memory_bytes)
        self.answer_memory = answer_memory.AnswerMemory(answer_memory_bytes)
        self.services_by_name: Mapping[str, records.Service] = {}
        self._claim_store = claim_store
        self._send_peer_message = send_peer_message
        self._record_request_end = record_request_end
        self._engine = engine.Engine(host_id, rng or random.Random())
        self._submitted_by_serial: dict[int, messages.SubmitRequest] = {}
        self._configuration: records.Configuration | None = None
        self._scopes_by_attempt: dict[str, anyio.CancelScope] = {}
        self._open_exchanges = 0
        self._serial = 0
        self._send, self._receive = anyio.create_memory_object_stream[
            messages.Message
        ](math.inf)

    def next_serial(self) -> int:
        """Returns the number of the next request that arrives."""
        self._serial += 1
        return self._serial

    @property
    def is_draining(self) -> bool:
        """Whether the host refuses new requests."""
        return self._engine.is_draining

    def post(self, message: messages.Message) -> None:
        """Queues a message for `run`."""
        self._send.send_nowait(message)

    def set_configuration(self, configuration: records.Configuration) -> None:
        """Applies the configuration in force."""
        self.services_by_name = configuration.services_by_name
        self.post(messages.SetConfiguration(configuration))

    def set_view(self, view: records.MemberView) -> None:
        """Applies the membership."""
        self.post(messages.SetView(view))

    def handle_peer_message(self, message: core_data.PeerMessage) -> None:
        """Handles a message of another host about needed or lent slots."""
        self.post(core_data.PeerMessageReceived(message))

    def begin_drain(self) -> None:
        """Refuses new requests as not run; those in flight are finished."""
        self.post(messages.BeginDrain())

    @contextlib.contextmanager
    def track_exchange(self) -> Iterator[None]:
        """Counts an exchange as open, from request head to end of answer."""
        self._open_exchanges += 1
        try:
            yield
        finally:
            self._open_exchanges -= 1

    async def wait_idle(self) -> None:
        """Waits until `is_idle`."""
        while not self.is_idle():
            await anyio.sleep(IDLE_POLL_S)

    def is_idle(self) -> bool:
        """Returns whether the host is draining and no request is in flight."""
        if not self.is_draining or self._open_exchanges:
            return False
        return self._engine.is_idle and not self._scopes_by_attempt

    def counters(self) -> Mapping[str, int]:
        """Returns counts of events and the upload memory in use, by name."""
        counts = dict(self._engine.counters)
        counts["store_calls"] = self._engine.store_calls
        counts["upload_memory_bytes"] = self.upload_memory.used_bytes
        return counts

    async def run(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Handles messages and executes actions until cancelled."""
        async with (
            upstream_client.create_client() as http,
            anyio.create_task_group() as tasks,
        ):
            client = upstream_client.UpstreamClient(http, self.answer_memory)
            task_status.started()
            while True:
                message = await self._next_message()
                now_ms = self.clock.now_ms()
                for action in self._handle_message(message, now_ms):
                    self._execute(action, client, tasks)

    async def _next_message(self) -> messages.Message:
        now_ms = self.clock.now_ms()
        wakeup_ms = self._engine.next_wakeup_ms(now_ms)
        timeout_s = math.inf
        if wakeup_ms is not None:
            timeout_s = max(0, wakeup_ms - now_ms) / clock.MS_PER_SECOND
        with anyio.move_on_after(timeout_s):
            return await self._receive.receive()
        return core_data.Tick()

    def _handle_message(
        self, message: messages.Message, now_ms: int
    ) -> list[core_data.Action]:
        match message:
            case messages.SubmitRequest(request):
                self._submitted_by_serial[request.serial] = message
                arrived = core_data.RequestArrived(request)
                return self._engine.handle(arrived, now_ms)
            case messages.SetConfiguration(configuration):
                self._configuration = configuration
                return self._engine.set_configuration(configuration, now_ms)
            case messages.SetView(view):
                return self._engine.set_view(view, now_ms)
            case messages.BeginDrain():
                self._engine.begin_drain()
                return []
            case messages.AttemptEnded(service, event):
                if isinstance(event, core_data.AnswerArrived):
                    return self._handle_answer(service, event, now_ms)
                return self._engine.handle(event, now_ms)
            case _:
                return self._engine.handle(message, now_ms)

    def _handle_answer(
        self, service: str, event: core_data.AnswerArrived, now_ms: int
    ) -> list[core_data.Action]:
        actions = self._engine.handle(event, now_ms)
        for action in actions:
            if not isinstance(action, core_data.Finish):
                continue
            if action.answer is event.answer:
                return actions
        # The request has already ended, so no caller waits for this answer.
        self._release_answer(service, event.answer)
        return actions

    def _release_answer(self, service: str, answer: object) -> None:
        if isinstance(answer, data.HttpAnswer):
            self.answer_memory.release(service, answer.reserved_bytes)

    def _execute(
        self,
        action: core_data.Action,
        client: upstream_client.UpstreamClient,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        match action:
            case core_data.SendAttempt():
                self._start_attempt(action, client, tasks)
            case core_data.CancelAttempt(attempt_id):
                scope = self._scopes_by_attempt.get(attempt_id)
                if scope is not None:
                    scope.cancel()
            case core_data.Finish(serial):
                submitted = self._submitted_by_serial.pop(serial)
                self._record_end(submitted, action)
                self._reply(submitted, action)
            case core_data.SendPeerMessage(host_id, peer_message):
                if self._send_peer_message is not None:
                    self._send_peer_message(host_id, peer_message)
            case core_data.ApplyClaims(batch):
                tasks.start_soon(self._apply_claims, batch)

    def _record_end(
        self, submitted: messages.SubmitRequest, finish: core_data.Finish
    ) -> None:
        if self._record_request_end is None:
            return
        # A request whose caller disconnected counts neither as answered nor as
        # failed.
        if finish.outcome is core_data.Outcome.CANCELLED:
            return
        is_in_time = self.clock.now_ms() <= submitted.request.deadline_ms
        is_answered = finish.outcome is core_data.Outcome.ANSWERED
        self._record_request_end(
            submitted.request.service, is_answered and is_in_time
        )

    def _reply(
        self, submitted: messages.SubmitRequest, finish: core_data.Finish
    ) -> None:
        try:
            submitted.reply.send_nowait(finish)
        except anyio.BrokenResourceError:
            self._release_answer(submitted.request.service, finish.answer)

    def _start_attempt(
        self,
        send: core_data.SendAttempt,
        client: upstream_client.UpstreamClient,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        submitted = self._submitted_by_serial[send.serial]
        if self._configuration is None:
            return
        services_by_name = self._configuration.services_by_name
        service = services_by_name[submitted.request.service]
        upstream = service.upstreams_by_name[send.upstream]
        self._scopes_by_attempt[send.attempt_id] = anyio.CancelScope()
        tasks.start_soon(self._attempt, send, submitted, upstream, client)

    async def _attempt(
        self,
        send: core_data.SendAttempt,
        submitted: messages.SubmitRequest,
        upstream: records.Upstream,
        client: upstream_client.UpstreamClient,
    ) -> None:
        service = submitted.request.service
        try:
            with self._scopes_by_attempt[send.attempt_id]:
                try:
                    event = await client.attempt(
                        send, service, upstream, submitted.http
                    )
                except Exception as error:
                    # Whatever a caller or an upstream sends ends this attempt
                    # only. How far it got is not known.
                    event_log.log_unexpected(
                        logger,
                        "attempt_failed",
                        error,
                        attempt=send.attempt_id,
                        upstream=upstream.name,
                    )
                    event = core_data.AttemptFailed(
                        send.attempt_id, core_data.AttemptFault.CONNECTION_LOST
                    )
                self.post(messages.AttemptEnded(service, event))
        finally:
            del self._scopes_by_attempt[send.attempt_id]

    async def _apply_claims(self, batch: core_data.ClaimBatch) -> None:
        timeout_s = CLAIM_TIMEOUT_MS / clock.MS_PER_SECOND
        with anyio.move_on_after(timeout_s):
            try:
                result = await self._claim_store.apply(batch)
            except Exception as error:
                event_log.log_unexpected(logger, "claims_not_applied", error)
            else:
                if result.is_ok():
                    self.post(result.ok)
                    return
        event_log.log(
            logger, logging.WARNING, "claims_failed", batch=batch.batch_id
        )
        self.post(core_data.ClaimsFailed(batch.batch_id))
