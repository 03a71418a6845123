"""Targets: they hold flows, run requests and register themselves."""

import asyncio
from collections.abc import Callable
import random
import time
from typing import Any

from stand_ins import ends
from stand_ins import wire

_HEX = 16
_MS_PER_S = 1_000
_REMOVED_AFTER_BEATS = 3
_EVERY_SECOND = 2


class _Flow:
    """A flow at a target."""

    def __init__(self, opening: wire.Packet, own: int) -> None:
        self.client = opening.source
        self.service = opening.destination
        self.own = own
        self.opening_sequence = opening.sequence
        self.inbound = ends.Inbound(opening.end)
        self.echo = opening.echo
        self.is_open = False
        self.has_ended = False
        self.next = (own + 1) & wire.MASK
        self.acknowledged = self.next
        self.data = b""


class Target:
    """One target.

    Attributes:
        target_id: Its id.
        address: Where it gets datagrams.
        runs: What it has run: the time, the attempt, the route and when its
            flow's opening packet arrived.
        opened: When a flow of a client opened here.
        openings: The opening packets that arrived: the time, the client's end
            and the machine that forwarded them.
        problems: What must not happen, one line each.
    """

    def __init__(
        self,
        target_id: str,
        service: str,
        zone: str,
        address: tuple[str, int],
        *,
        client_port: int,
        store: Any,
        seed: int,
        work_s: float,
        losses: Any,
        note: Callable[[str], None],
    ) -> None:
        self.target_id = target_id
        self.service = service
        self.zone = zone
        self.address = address
        self.work_s = work_s
        self.state = "ready"
        self.runs: list[tuple[float, str, wire.End, float]] = []
        self.opened: dict[tuple[wire.End, wire.End], float] = {}
        self.openings: list[tuple[float, wire.End, wire.End, str]] = []
        self.problems: list[str] = []
        self.resets: list[tuple[float, wire.End]] = []
        self._guard = int(target_id.rpartition("-")[2], _HEX)
        self._client_port = client_port
        self._store = store
        self._rng = random.Random(seed)
        self._losses = losses
        self._note = note
        self._flows: dict[tuple[wire.End, wire.End], _Flow] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._sequence = 0
        self._born = int(time.time() * _MS_PER_S)
        self._socket = ends.open_socket(address)
        ends.read_from(self._socket, self._handle)

    async def beat(self, interval_s: float) -> None:
        """Registers itself and renews that, until cancelled."""
        while True:
            self.register()
            await asyncio.sleep(interval_s)

    def register(self) -> None:
        """Writes its entry to the store."""
        self._sequence += 1
        self._store.put_json(
            f"servers/{self.target_id}",
            {
                "service": self.service,
                "address": f"{self.address[0]}:{self.address[1]}",
                "zone": self.zone,
                "version": "v1",
                "concurrency": 3,
                "state": self.state,
                "warmupLeftMs": 0,
                "sequence": self._sequence,
                "born": self._born,
            },
        )

    def close(self) -> None:
        """Ends."""
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()
        for task in self._tasks:
            task.cancel()

    def _handle(self, datagram: bytes, sender: tuple[str, int]) -> None:
        guard, raw = wire.split_guard(datagram)
        if guard not in (0, self._guard):
            return
        packet = wire.decode(raw)
        if not packet.is_sum_right:
            self.problems.append(f"{self.target_id}: a packet was changed")
            return
        key = (packet.source, packet.destination)
        flow = self._flows.get(key)
        if packet.flags & wire.SYN:
            self._handle_opening(key, flow, packet, sender[0])
            return
        if packet.flags & wire.RST:
            self._flows.pop(key, None)
            return
        if flow is None or not self._holds(key, flow, packet):
            self._reset(packet)
            return
        if flow.has_ended:
            if packet.data:
                self._reset(packet)
            elif packet.flags & wire.FIN:
                self._send(flow, wire.ACK, flow.next)
            return
        flow.echo = packet.echo
        if wire.is_after(packet.acknowledged, flow.acknowledged):
            flow.acknowledged = packet.acknowledged
        flow.data += flow.inbound.add(packet)
        if packet.flags & wire.FIN:
            flow.has_ended = True
            flow.inbound.next = packet.end
            self._send(flow, wire.ACK | wire.FIN, flow.next)
            return
        if flow.inbound.unacknowledged >= _EVERY_SECOND:
            flow.inbound.unacknowledged = 0
            self._send(flow, wire.ACK, flow.next)
        self._take_requests(flow)

    def _handle_opening(
        self,
        key: tuple[wire.End, wire.End],
        flow: _Flow | None,
        packet: wire.Packet,
        machine: str,
    ) -> None:
        now_s = time.monotonic()
        if flow is None or flow.opening_sequence != packet.sequence:
            flow = _Flow(packet, self._rng.getrandbits(32))
            self._flows[key] = flow
            self.openings.append((now_s, *key, machine))
            self._start(self._repeat_answer(flow))
        if not flow.is_open:
            flow.echo = packet.echo
            self._answer_opening(flow)

    def _answer_opening(self, flow: _Flow) -> None:
        self._send(flow, wire.SYN | wire.ACK, flow.own)

    async def _repeat_answer(self, flow: _Flow) -> None:
        is_open = await ends.repeat(
            lambda: self._answer_opening(flow), lambda: flow.is_open
        )
        key = (flow.client, flow.service)
        if not is_open and self._flows.get(key) is flow:
            del self._flows[key]

    def _holds(
        self,
        key: tuple[wire.End, wire.End],
        flow: _Flow,
        packet: wire.Packet,
    ) -> bool:
        """Whether a packet is one of the flow that this target holds."""
        if flow.is_open:
            return True
        if packet.acknowledged != (flow.own + 1) & wire.MASK:
            return False
        flow.is_open = True
        self.opened[key] = time.monotonic()
        return True

    def _take_requests(self, flow: _Flow) -> None:
        while (found := ends.split_message(flow.data)) is not None:
            head, body, flow.data = found
            self._start(self._run(flow, head, body))

    async def _run(self, flow: _Flow, head: str, body: bytes) -> None:
        attempt = head.partition("Attempt-Id: ")[2].partition("\r\n")[0]
        opened_s = self.opened[flow.client, flow.service]
        self.runs.append((time.monotonic(), attempt, flow.service, opened_s))
        self._note(f"{self.target_id} runs {attempt}")
        await asyncio.sleep(self.work_s)
        answer = ends.message(
            f"HTTP/1.1 200 OK\r\nServer-Seal: {self.target_id}\r\n"
            f"Attempt-Id: {attempt}\r\n",
            body,
        )
        parts = ends.pieces(flow.next, answer)
        flow.next = (flow.next + len(answer)) & wire.MASK
        end = flow.next

        def is_received() -> bool:
            return flow.has_ended or not wire.is_after(end, flow.acknowledged)

        def send() -> None:
            for sequence, data in parts:
                self._send(flow, wire.ACK, sequence, data)

        send()
        await ends.repeat(send, is_received)

    def _reset(self, packet: wire.Packet) -> None:
        self.resets.append((time.monotonic(), packet.source))
        answer = wire.Packet(
            packet.destination,
            packet.source,
            packet.acknowledged,
            packet.end,
            wire.RST | wire.ACK,
            packet.echo,
        )
        self._send_to_client(answer)

    def _send(
        self, flow: _Flow, flags: int, sequence: int, data: bytes = b""
    ) -> None:
        self._send_to_client(
            wire.Packet(
                flow.service,
                flow.client,
                sequence,
                flow.inbound.next,
                flags,
                flow.echo,
                data,
            )
        )

    def _send_to_client(self, packet: wire.Packet) -> None:
        if self._losses is not None and self._losses.loses(packet):
            return
        datagram = wire.encode(packet)
        self._socket.sendto(
            datagram, (packet.destination[0], self._client_port)
        )

    def _start(self, coroutine: Any) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
