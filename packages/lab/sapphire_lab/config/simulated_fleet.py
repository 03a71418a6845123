"""Simulates the propagation of configurations in a fleet, with faults.

One loop runs the state machines of all hosts and simulates the network, the
membership and the store.
"""

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
    """The faults that are active.

    Attributes:
        loss: The share of datagrams and fetches between hosts that is lost.
        max_delay_ms: The longest additional delay of those that arrive.
        is_store_down: Whether no host can reach the store.
        partitioned: The data centre that can't reach the others and the
            store; empty for none.
        paused: The hosts whose processes don't run.
    """

    loss: float = 0.0
    max_delay_ms: int = 0
    is_store_down: bool = False
    partitioned: str = ""
    paused: frozenset[str] = frozenset()


class SimulatedFleet:
    """The hosts, the network between them and their calls to the store.

    Attributes:
        faults: The faults that are active now.
        head: The version that the store holds.
        now_ms: The simulated time.
        byte_count: The bytes of all notices and of the parts that hosts
            fetched.
        store_calls: The calls of all hosts to the store.
        revert_count: How often a host went back to an older revision.
        part_sizes_by_revision: The sizes in bytes of the parts that are new
            in a revision.
        learned_ms: When a host first had a revision or a newer one, by the
            host's name and the revision.
        watching: The names of the hosts with an open watch.
        data_centre_by_host: The data centre of each host.
        hosts: The state machine of each host, by its name.
    """

    def __init__(self, size: int, rng: random.Random) -> None:
        self.faults = Faults()
        self.head = data.NO_VERSION
        self.now_ms = self.byte_count = self.store_calls = self.revert_count = 0
        self.part_sizes_by_revision: dict[int, list[int]] = {}
        self.learned_ms: dict[tuple[str, int], int] = {}
        self.watching: set[str] = set()
        count = min(10, max(3, size // 10))
        self.data_centre_by_host = {
            f"h{i:04d}": f"dc{i % count}" for i in range(size)
        }
        self.hosts = {
            name: propagation.Propagation(
                name, data_centre, random.Random(name), 0
            )
            for name, data_centre in self.data_centre_by_host.items()
        }
        self._names = sorted(self.data_centre_by_host)
        self._rng = rng
        self._deliveries_by_ms: dict[int, list[Any]] = collections.defaultdict(
            list
        )
        self.set_views(self.faults)

    def set_views(self, faults: Faults) -> None:
        """Gives each running host the hosts on its side of the partition.

        Args:
            faults: The faults that the membership has detected by now.
        """
        for is_partitioned in (True, False):
            view = {
                name: data_centre
                for name, data_centre in self.data_centre_by_host.items()
                if (data_centre == faults.partitioned) is is_partitioned
                and name not in faults.paused
            }
            for name in view:
                self._handle(name, messages.ViewChanged(view))

    def step(self) -> None:
        """Advances the time by one step and delivers the events that are due.

        Each running host gets a tick every `TICK_MS`.
        """
        self.now_ms += STEP_MS
        for source, name, event in self._deliveries_by_ms.pop(self.now_ms, ()):
            if name in self.faults.paused:
                self._push(source, name, event, TICK_MS)
            elif self._is_partitioned(source) == self._is_partitioned(name):
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

    def publish(self, head: data.Version, part_sizes: list[int]) -> None:
        """Puts a new revision in the store, which notifies the watches.

        Args:
            head: The version of the revision.
            part_sizes: The size in bytes of each part that is new in it.
        """
        self.head = head
        self.part_sizes_by_revision[head.revision] = part_sizes
        for name in sorted(self.watching):
            self._push(name, name, messages.StoreHeadReceived(head), STEP_MS)

    def _handle(self, name: str, event: messages.Event) -> None:
        """Passes an event to a host, carries out its actions and counts."""
        host = self.hosts[name]
        before = host.version.revision
        for action in host.handle(event, self.now_ms):
            self._carry_out(name, action)
        self.revert_count += host.version.revision < before
        for revision in range(before + 1, host.version.revision + 1):
            self.learned_ms[name, revision] = self.now_ms
            sizes = self.part_sizes_by_revision[revision]
            self.byte_count += sum(sizes)
            if not isinstance(event, messages.FetchDone):
                continue
            if event.fetch.host_id is None:
                self.store_calls += len(sizes)

    def _carry_out(self, name: str, action: messages.Action) -> None:
        """Carries out one action of a host."""
        has_store = self._has_store(name)
        outcome: messages.Event
        match action:
            case messages.StartWatch():
                outcome = messages.WatchEnded()
                if has_store:
                    self.watching.add(name)
                    outcome = messages.WatchStarted()
            case messages.ReadStoreHead():
                outcome = messages.StoreReadFailed()
                if has_store:
                    outcome = messages.StoreHeadReceived(self.head)
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
                outcome = messages.FetchFailed(action)
                if has_store:
                    outcome = messages.FetchDone(self.head, action)
            case _:
                return
        self.store_calls += 1
        self._push(name, name, outcome, STEP_MS)

    def _notify(self, name: str, peers: Iterable[str]) -> None:
        """Sends peers the version of a host."""
        event = messages.PeerVersionReceived(name, self.hosts[name].version)
        for peer in peers:
            self._send(name, peer, event, STEP_MS)

    def _send(self, source: str, name: str, event: Any, delay_ms: int) -> None:
        """Sends an event over the network, which may lose or delay it."""
        self.byte_count += NOTICE_BYTES
        is_lost = self._rng.random() < self.faults.loss
        if is_lost or source in self.faults.paused:
            return
        steps = self._rng.randrange(self.faults.max_delay_ms // STEP_MS + 1)
        self._push(source, name, event, delay_ms + steps * STEP_MS)

    def _push(self, source: str, name: str, event: Any, delay_ms: int) -> None:
        """Queues an event of a source for delivery to a host."""
        self._deliveries_by_ms[self.now_ms + delay_ms].append(
            (source, name, event)
        )

    def _is_partitioned(self, name: str) -> bool:
        """Returns whether a host is in the partitioned data centre."""
        return self.data_centre_by_host[name] == self.faults.partitioned

    def _has_store(self, name: str) -> bool:
        """Returns whether a host can reach the store."""
        return not self._is_partitioned(name) and not self.faults.is_store_down
