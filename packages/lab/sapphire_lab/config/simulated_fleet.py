"""Calls the configuration cores of many hosts from one loop, with faults."""

import collections
from collections.abc import Iterable
import dataclasses
import random
from typing import Any

from sapphire_core.configuration import data
from sapphire_core.configuration import propagation
from sapphire_core.configuration import propagation_data as messages

STEP_MS, TICK_MS = 10, 50
NOTICE_BYTES = 150


@dataclasses.dataclass(slots=True)
class Faults:
    """The faults that are on; `cut` is a data centre, `paused` are hosts."""

    loss: float = 0.0
    late_ms: int = 0
    is_store_down: bool = False
    cut: str = ""
    paused: frozenset[str] = frozenset()


class SimulatedFleet:
    """The hosts, the link between them and what they do with the store."""

    def __init__(self, size: int, dice: random.Random) -> None:
        self.faults = Faults()
        self.head = data.NO_VERSION
        self.now_ms = self.byte_count = self.store_calls = self.reverts = 0
        self.new_parts: dict[int, list[int]] = {}
        self.learned_ms: dict[tuple[str, int], int] = {}
        self.watching: set[str] = set()
        count = min(10, max(3, size // 10))
        self.places = {f"h{i:04d}": f"dc{i % count}" for i in range(size)}
        self.hosts = {
            name: propagation.Propagation(name, place, random.Random(name), 0)
            for name, place in self.places.items()
        }
        self._names = sorted(self.places)
        self._dice = dice
        self._due: dict[int, list[Any]] = collections.defaultdict(list)
        self.set_views(self.faults)

    def set_views(self, faults: Faults) -> None:
        """Tells each host who is alive, as the membership finds out."""
        for is_cut in (True, False):
            view = {
                name: place
                for name, place in self.places.items()
                if (place == faults.cut) is is_cut and name not in faults.paused
            }
            for name in view:
                self._handle(name, messages.ViewChanged(view))

    def step(self) -> None:
        """Moves the clock by one step and delivers what is due."""
        self.now_ms += STEP_MS
        for source, name, event in self._due.pop(self.now_ms, ()):
            if name in self.faults.paused:
                self._push(source, name, event, TICK_MS)
            elif self._is_cut(source) == self._is_cut(name):
                self._handle(name, event)
        phase = self.now_ms // STEP_MS
        for name in self._names[phase % 5 :: TICK_MS // STEP_MS]:
            if name not in self.faults.paused:
                self._handle(name, messages.Tick())
        for name in [
            n for n in sorted(self.watching) if not self._has_store(n)
        ]:
            self.watching.discard(name)
            self._handle(name, messages.WatchEnded())

    def publish(self, head: data.Version, new_parts: list[int]) -> None:
        """Puts a revision in the store; takes the sizes of its new parts."""
        self.head = head
        self.new_parts[head.revision] = new_parts
        for name in sorted(self.watching):
            self._push(name, name, messages.StoreHeadReceived(head), STEP_MS)

    def _handle(self, name: str, event: messages.Event) -> None:
        """Gives one event to a host and carries out its actions."""
        host = self.hosts[name]
        before = host.version.revision
        for action in host.handle(event, self.now_ms):
            self._carry_out(name, action)
        self.reverts += host.version.revision < before
        for revision in range(before + 1, host.version.revision + 1):
            self.learned_ms[name, revision] = self.now_ms
            sizes = self.new_parts[revision]
            self.byte_count += sum(sizes)
            if not isinstance(event, messages.FetchDone):
                continue
            if event.fetch.host_id is None:
                self.store_calls += len(sizes)

    def _carry_out(self, name: str, action: messages.Action) -> None:
        """Carries out one action of a host."""
        has_store = self._has_store(name)
        answer: messages.Event
        match action:
            case messages.StartWatch():
                answer = messages.WatchEnded()
                if has_store:
                    self.watching.add(name)
                    answer = messages.WatchStarted()
            case messages.ReadStoreHead():
                answer = messages.StoreReadFailed()
                if has_store:
                    answer = messages.StoreHeadReceived(self.head)
            case messages.StopWatch():
                self.watching.discard(name)
                return
            case messages.QueryPeer():
                self._notify(name, [action.host_id])
                version = self.hosts[action.host_id].version
                event = messages.PeerVersionReceived(action.host_id, version)
                self._send(action.host_id, name, event, 2 * STEP_MS)
                return
            case messages.Notify():
                self._notify(name, action.host_ids)
                return
            case messages.Fetch():
                if action.host_id is not None:
                    version = self.hosts[action.host_id].version
                    done = messages.FetchDone(version, action)
                    self._send(action.host_id, name, done, 2 * STEP_MS)
                    return
                answer = messages.FetchFailed(action)
                if has_store:
                    answer = messages.FetchDone(self.head, action)
            case _:
                return
        self.store_calls += 1
        self._push(name, name, answer, STEP_MS)

    def _notify(self, name: str, peers: Iterable[str]) -> None:
        """Tells peers which revision a host has."""
        event = messages.PeerVersionReceived(name, self.hosts[name].version)
        for peer in peers:
            self._send(name, peer, event, STEP_MS)

    def _send(self, source: str, name: str, event: Any, delay_ms: int) -> None:
        """Sends over the link, which may lose or delay."""
        self.byte_count += NOTICE_BYTES
        is_lost = self._dice.random() < self.faults.loss
        if is_lost or source in self.faults.paused:
            return
        steps = self._dice.randrange(self.faults.late_ms // STEP_MS + 1)
        self._push(source, name, event, delay_ms + steps * STEP_MS)

    def _push(self, source: str, name: str, event: Any, delay_ms: int) -> None:
        """Queues a delivery."""
        self._due[self.now_ms + delay_ms].append((source, name, event))

    def _is_cut(self, name: str) -> bool:
        """Says whether a host is in the data centre that is cut off."""
        return self.places[name] == self.faults.cut

    def _has_store(self, name: str) -> bool:
        """Says whether a host can reach the store."""
        return not self._is_cut(name) and not self.faults.is_store_down
