"""Whether peers confirmed this host recently enough to decide alone."""

from sapphire_core.membership import data


class Freshness:
    """Judges the freshness of the own view.

    A confirmation counts from the time at which the confirmed probe was sent:
    the peer knew this host as live at that time or later.
    """

    def __init__(self, settings: data.Settings) -> None:
        self._settings = settings
        self._confirmed_ms: int | None = None
        self._alone_since_ms: int | None = None
        self._is_joined = False

    @property
    def is_joined(self) -> bool:
        """Whether this host has taken the whole state from a peer."""
        return self._is_joined

    def join(self) -> None:
        """Notes that the whole state was taken from a peer."""
        self._is_joined = True

    def confirm(self, sent_ms: int) -> None:
        """Notes that a peer answered a probe and knows this host as live.

        Args:
            sent_ms: When the probe was sent.
        """
        if self._confirmed_ms is None or sent_ms > self._confirmed_ms:
            self._confirmed_ms = sent_ms

    def pause(self) -> None:
        """Notes a pause of this host; only later confirmations count."""
        self._confirmed_ms = None
        self._alone_since_ms = None

    def set_alone(self, is_alone: bool, now_ms: int) -> None:
        """Takes whether this host knows any live peer.

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
        """Returns whether this host may decide alone.

        Args:
            has_listed_peers: Whether settings or the platform's list name
                another host.
            now_ms: The time in milliseconds.
        """
        return now_ms <= self.fresh_until_ms(has_listed_peers, now_ms)

    def fresh_until_ms(self, has_listed_peers: bool, now_ms: int) -> int:
        """Returns until when this host may decide alone, if nothing comes.

        Args:
            has_listed_peers: Whether settings or the platform's list name
                another host.
            now_ms: The time in milliseconds.
        """
        settings = self._settings
        if self._alone_since_ms is not None:
            # Peers that exist have declared this host dead by the end of the
            # wait, and no longer count on what it decides.
            alone_ms = now_ms - self._alone_since_ms
            wait_ms = settings.probe_interval_ms + settings.suspicion_ms
            if has_listed_peers and alone_ms < wait_ms:
                return now_ms - 1
            return now_ms + settings.fresh_ms
        if not self._is_joined or self._confirmed_ms is None:
            return now_ms - 1
        return self._confirmed_ms + settings.fresh_ms
