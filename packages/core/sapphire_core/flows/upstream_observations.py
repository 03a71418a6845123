"""The observed states of upstreams that this host knows."""

import dataclasses

from sapphire_core.flows import data
from sapphire_core.flows import revisions


@dataclasses.dataclass(slots=True)
class _Known:
    """An overlay and when its buckets became ambiguous here."""

    overlay: data.UpstreamObservation
    ambiguous_since_ms: int


class UpstreamObservations:
    """Overlays by upstream; the greatest precedence wins."""

    def __init__(self) -> None:
        self._known_by_upstream: dict[str, _Known] = {}

    def apply(self, overlay: data.UpstreamObservation, now_ms: int) -> bool:
        """Takes an overlay.

        Args:
            overlay: The overlay.
            now_ms: The current time.

        Returns:
            Whether it is news.
        """
        known = self._known_by_upstream.get(overlay.upstream)
        if known is None:
            entry = _Known(overlay, now_ms)
            self._known_by_upstream[overlay.upstream] = entry
            return True
        if overlay.precedence() <= known.overlay.precedence():
            return False
        if known.overlay.state is data.ObservedState.SETTLED:
            known.ambiguous_since_ms = now_ms
        known.overlay = overlay
        return True

    def get(self, upstream: str) -> data.UpstreamObservation | None:
        """Returns the overlay of an upstream."""
        known = self._known_by_upstream.get(upstream)
        return known.overlay if known is not None else None

    def all(self) -> list[data.UpstreamObservation]:
        """Returns all overlays, for a peer that has none."""
        return [known.overlay for known in self._known_by_upstream.values()]

    def unsettled(self) -> frozenset[str]:
        """Returns the upstreams whose buckets are ambiguous."""
        names = set()
        for name, known in self._known_by_upstream.items():
            if known.overlay.state is not data.ObservedState.SETTLED:
                names.add(name)
        return frozenset(names)

    def spread(self, now_ms: int) -> frozenset[str]:
        """Returns those of them that every host knows by now.

        Args:
            now_ms: The current time.
        """
        names = set()
        for name in self.unsettled():
            since_ms = self._known_by_upstream[name].ambiguous_since_ms
            if now_ms - since_ms >= revisions.ACTIVATION_MS:
                names.add(name)
        return frozenset(names)

    def failed(self) -> frozenset[str]:
        """Returns the upstreams that get no new flows."""
        names = set()
        for name, known in self._known_by_upstream.items():
            if known.overlay.state is data.ObservedState.FAILED:
                names.add(name)
        return frozenset(names)
