"""Tracks whether the membership view of this host is fresh.

The view is fresh while peers have confirmed recently enough that they know this
host as live. The view of a host that knows no peer is fresh as well, but only
after a wait if other hosts are listed. A host whose view is fresh may make
decisions on its own.
"""

from sapphire_core.membership import data


class Freshness:
    """Determines whether the view of this host is fresh.

    A confirmation counts from the time at which the probe was sent, not from
    the answer: the peer knew this host as live at that time or later.
    """

    def __init__(self, settings: data.Settings) -> None:
        self._settings = settings
        self._confirmed_ms: int | None = None
        self._alone_since_ms: int | None = None
        self._is_joined = False

    @property
    def is_joined(self) -> bool:
        """Whether this host has received the whole state from a peer."""
        return self._is_joined

    def record_join(self) -> None:
        """Records that the whole state was received from a peer."""
        self._is_joined = True

    def record_confirmation(self, sent_ms: int) -> None:
        """Records that a peer answered a probe and knows this host as live.

        Args:
            sent_ms: When the probe was sent, in milliseconds.
        """
        if self._confirmed_ms is None or sent_ms > self._confirmed_ms:
            self._confirmed_ms = sent_ms

    def record_stall(self) -> None:
        """Discards all confirmations from before a stall of this process."""
        self._confirmed_ms = None
        self._alone_since_ms = None

    def set_alone(self, is_alone: bool, now_ms: int) -> None:
        """Records whether this host knows a live and reachable peer.

        Args:
            is_alone: Whether it knows none.
            now_ms: The time in milliseconds.
        """
        if not is_alone:
            self._alone_since_ms = None
            return
        if self._alone_since_ms is None:
            self._alone_since_ms = now_ms

    def is_fresh(self, has_listed_peers: bool, now_ms: int) -> bool:
        """Returns whether the view is fresh.

        Args:
            has_listed_peers: Whether the settings or the platform's host list
                name another host.
            now_ms: The time in milliseconds.
        """
        return now_ms <= self.fresh_until_ms(has_listed_peers, now_ms)

    def fresh_until_ms(self, has_listed_peers: bool, now_ms: int) -> int:
        """Returns until when the view is fresh if no further message arrives.

        Args:
            has_listed_peers: Whether the settings or the platform's host list
                name another host.
            now_ms: The time in milliseconds.
        """
        settings = self._settings
        if self._alone_since_ms is not None:
            # After the wait, any peers that exist have declared this host dead
            # and no longer rely on its decisions.
            alone_ms = now_ms - self._alone_since_ms
            wait_ms = settings.probe_interval_ms + settings.suspicion_ms
            if has_listed_peers and alone_ms < wait_ms:
                return now_ms - 1
            return now_ms + settings.fresh_ms
        if not self._is_joined or self._confirmed_ms is None:
            return now_ms - 1
        return self._confirmed_ms + settings.fresh_ms
