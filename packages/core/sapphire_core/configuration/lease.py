"""A lease with fencing, safe when its holder is paused past its end.

Two things keep a holder from acting after its lease has lapsed. It counts the
end from before it asked the store, so it stops early and never late, also
when it wakes from a pause. And each write that it makes under the lease
compares the revision at which it acquired the key, so the store refuses a
write that was already on its way when the holder was paused.
"""

import dataclasses

from sapphire_data import failures

# The share of the length by which two clocks may drift apart.
CLOCK_DRIFT_SHARE = 0.1
RENEW_SHARE = 0.33
RETRY_MS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseNotHeld(failures.Failure):
    """The lease is not held, or not for certain.

    Attributes:
        key: The key that the lease protects.
    """

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class FencingToken:
    """What each write under the lease has to compare.

    Attributes:
        key: The key that the lease protects.
        mod_revision: The store revision at which it was acquired.
    """

    key: str
    mod_revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """The store opened or extended a lease.

    Attributes:
        lease_id: The lease.
        asked_at_ms: When the request was made, on the local clock.
        time_to_live_ms: Its length; 0 if it has lapsed.
    """

    lease_id: int
    asked_at_ms: int
    time_to_live_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Acquired:
    """The key is bound to the lease of this holder.

    Attributes:
        mod_revision: The store revision at which it was acquired.
    """

    mod_revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Another holder has the key."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallFailed:
    """A call failed or its outcome is unknown."""


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


Event = Granted | Acquired | Refused | CallFailed | Tick


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Open a lease.

    Attributes:
        time_to_live_ms: Its length.
    """

    time_to_live_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Renew:
    """Extend a lease.

    Attributes:
        lease_id: The lease.
    """

    lease_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class Acquire:
    """Bind the key to a lease if nobody else holds it.

    Attributes:
        lease_id: The lease.
    """

    lease_id: int


Action = Grant | Renew | Acquire


class Lease:
    """The state machine of one holder; it asks one thing at a time.

    Attributes:
        key: The key that the lease protects.
    """

    def __init__(self, key: str, time_to_live_ms: int, now_ms: int) -> None:
        self.key = key
        self._time_to_live_ms = time_to_live_ms
        self._lease_id = 0
        self._ends_at_ms = now_ms
        self._fencing_token: FencingToken | None = None
        self._next_at_ms = now_ms
        self._is_waiting = False

    @property
    def lease_id(self) -> int:
        """The open lease, to be revoked when the work is done; 0 for none."""
        return self._lease_id

    def fencing_token(self, now_ms: int) -> FencingToken | LeaseNotHeld:
        """Returns what a write has to compare.

        Args:
            now_ms: The time, read just before the write is sent.

        Returns:
            The fence, or that the lease is not held for certain.
        """
        if self._fencing_token is None or now_ms >= self._ends_at_ms:
            return LeaseNotHeld(self.key)
        return self._fencing_token

    def handle(self, event: Event, now_ms: int) -> list[Action]:
        """Takes one event.

        Args:
            event: What happened.
            now_ms: The time in milliseconds.

        Returns:
            What to ask of the store, at most one call.
        """
        if not isinstance(event, Tick):
            self._is_waiting = False
        match event:
            case Granted():
                self._on_granted(event, now_ms)
            case Acquired():
                self._fencing_token = FencingToken(self.key, event.mod_revision)
                self._next_at_ms = now_ms + self._renew_after_ms()
            case Refused() | CallFailed():
                self._next_at_ms = now_ms + RETRY_MS
            case Tick():
                pass
        return self._next_call(now_ms)

    def _on_granted(self, event: Granted, now_ms: int) -> None:
        """Takes over a lease, or drops one that has lapsed in the store."""
        if event.time_to_live_ms == 0:
            self._drop()
            self._next_at_ms = now_ms
            return
        self._lease_id = event.lease_id
        usable_ms = int(event.time_to_live_ms * (1 - CLOCK_DRIFT_SHARE))
        self._ends_at_ms = event.asked_at_ms + usable_ms
        is_held = self._fencing_token is not None
        wait_ms = self._renew_after_ms() if is_held else 0
        self._next_at_ms = now_ms + wait_ms

    def _next_call(self, now_ms: int) -> list[Action]:
        """Returns the call whose time has come."""
        if self._is_waiting or now_ms < self._next_at_ms:
            return []
        if self._lease_id and now_ms >= self._ends_at_ms:
            self._drop()
        self._is_waiting = True
        if not self._lease_id:
            return [Grant(self._time_to_live_ms)]
        if self._fencing_token is None:
            return [Acquire(self._lease_id)]
        return [Renew(self._lease_id)]

    def _drop(self) -> None:
        """Forgets a lease that may have lapsed; it is never used again."""
        self._lease_id = 0
        self._fencing_token = None

    def _renew_after_ms(self) -> int:
        """Returns the time between renewals."""
        return int(self._time_to_live_ms * RENEW_SHARE)
