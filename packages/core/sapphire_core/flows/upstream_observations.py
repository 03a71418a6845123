"""The newest observation of each upstream that this host knows."""

import dataclasses

from sapphire_core.flows import data
from sapphire_core.flows import revisions


@dataclasses.dataclass(slots=True)
class _Entry:
    """An observation and when it made buckets ambiguous on this host."""

    observation: data.UpstreamObservation
    ambiguous_since_ms: int


class UpstreamObservations:
    """Observations by upstream; the one with greater precedence is kept."""

    def __init__(self) -> None:
        self._entries_by_upstream: dict[str, _Entry] = {}

    def apply(self, observation: data.UpstreamObservation, now_ms: int) -> bool:
        """Stores an observation unless a newer one is known.

        Args:
            observation: The observation.
            now_ms: The current time.

        Returns:
            Whether it was stored.
        """
        entry = self._entries_by_upstream.get(observation.upstream)
        if entry is None:
            first = _Entry(observation, now_ms)
            self._entries_by_upstream[observation.upstream] = first
            return True
        if observation.precedence() <= entry.observation.precedence():
            return False
        if entry.observation.state is data.ObservedState.SETTLED:
            entry.ambiguous_since_ms = now_ms
        entry.observation = observation
        return True

    def get(self, upstream: str) -> data.UpstreamObservation | None:
        """Returns the observation of an upstream, None if there is none."""
        entry = self._entries_by_upstream.get(upstream)
        return entry.observation if entry is not None else None

    def all(self) -> list[data.UpstreamObservation]:
        """Returns all observations."""
        return [
            entry.observation for entry in self._entries_by_upstream.values()
        ]

    def unsettled(self) -> frozenset[str]:
        """Returns the upstreams whose buckets are ambiguous."""
        names = set()
        for name, entry in self._entries_by_upstream.items():
            if entry.observation.state is not data.ObservedState.SETTLED:
                names.add(name)
        return frozenset(names)

    def propagated(self, now_ms: int) -> frozenset[str]:
        """Returns the unsettled upstreams that every host knows of by now.

        Args:
            now_ms: The current time.
        """
        names = set()
        for name in self.unsettled():
            since_ms = self._entries_by_upstream[name].ambiguous_since_ms
            if now_ms - since_ms >= revisions.ACTIVATION_MS:
                names.add(name)
        return frozenset(names)

    def failed(self) -> frozenset[str]:
        """Returns the upstreams that were observed to have failed."""
        names = set()
        for name, entry in self._entries_by_upstream.items():
            if entry.observation.state is data.ObservedState.FAILED:
                names.add(name)
        return frozenset(names)
