"""A lease with a fencing token, safe when its holder is paused past its end.

Two things keep a holder from acting after its lease has expired. It counts
the time to live from before it sent the request to the store, so it stops
early and never late, also after a pause of its process. And each write under
the lease compares the revision at which the holder acquired the key, so the
store refuses a write that was in flight while another holder acquired the key.
"""

import dataclasses

from sapphire_data import failures

# The share of the time to live by which the clocks of holder and store may
# drift apart; the holder stops that much earlier.
CLOCK_DRIFT_SHARE = 0.1
# A lease is renewed after this share of its time to live.
RENEW_SHARE = 0.33
RETRY_MS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseNotHeld(failures.Failure):
    """The lease is not held, or this host can't be certain that it is.

    Attributes:
        key: The key that the lease protects.
    """

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class FencingToken:
    """The condition of each write under the lease.

    Attributes:
        key: The key that the lease protects.
        mod_revision: The store revision at which the key was acquired; the
            write must fail if the key has another one.
    """

    key: str
    mod_revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """The store granted or renewed a lease.

    Attributes:
        lease_id: The identity of the lease in the store.
        requested_at_ms: When the request was sent, on the local clock.
        time_to_live_ms: The time to live of the lease; 0 if it has expired.
    """

    lease_id: int
    requested_at_ms: int
    time_to_live_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Acquired:
    """The key is attached to the lease of this holder.

    Attributes:
        mod_revision: The store revision at which the key was acquired.
    """

    mod_revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The key was not acquired because another holder has it."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallFailed:
    """A call to the store failed or its outcome is unknown."""


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; a call may be due."""


Event = Granted | Acquired | Refused | CallFailed | Tick


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Ask the store for a new lease.

    Attributes:
        time_to_live_ms: The time to live of the lease.
    """

    time_to_live_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Renew:
    """Renew a lease.

    Attributes:
        lease_id: The identity of the lease in the store.
    """

    lease_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class Acquire:
    """Attach the key to a lease if nobody else holds the key.

    Attributes:
        lease_id: The identity of the lease in the store.
    """

    lease_id: int


Action = Grant | Renew | Acquire


class Lease:
    """The state machine of one holder, with one call to the store at a time.

    It gets a lease, acquires the key with it and renews the lease. The caller
    makes the calls and returns their outcomes as events.

    Attributes:
        key: The key that the lease protects.
    """

    def __init__(self, key: str, time_to_live_ms: int, now_ms: int) -> None:
        self.key = key
        self._time_to_live_ms = time_to_live_ms
        self._lease_id = 0
        self._expires_at_ms = now_ms
        self._fencing_token: FencingToken | None = None
        self._next_call_at_ms = now_ms
        self._has_call_in_flight = False

    @property
    def lease_id(self) -> int:
        """The lease, to be revoked when the work is done; 0 for none."""
        return self._lease_id

    def fencing_token(self, now_ms: int) -> FencingToken | LeaseNotHeld:
        """Returns the token that a write has to compare.

        Args:
            now_ms: The time, read just before the write is sent.

        Returns:
            The token, or a failure if the lease is not held for certain.
        """
        if self._fencing_token is None or now_ms >= self._expires_at_ms:
            return LeaseNotHeld(self.key)
        return self._fencing_token

    def handle(self, event: Event, now_ms: int) -> list[Action]:
        """Updates the state from one event and starts the call that is due.

        Args:
            event: The outcome of the last call, or a tick.
            now_ms: The time in milliseconds.

        Returns:
            The call to make to the store, or none.
        """
        if not isinstance(event, Tick):
            self._has_call_in_flight = False
        match event:
            case Granted():
                self._handle_granted(event, now_ms)
            case Acquired():
                self._fencing_token = FencingToken(self.key, event.mod_revision)
                self._next_call_at_ms = now_ms + self._renewal_interval_ms()
            case Refused() | CallFailed():
                self._next_call_at_ms = now_ms + RETRY_MS
            case Tick():
                pass
        return self._next_call(now_ms)

    def _handle_granted(self, event: Granted, now_ms: int) -> None:
        """Updates the expiry, or discards a lease that the store expired."""
        if event.time_to_live_ms == 0:
            self._discard()
            self._next_call_at_ms = now_ms
            return
        self._lease_id = event.lease_id
        usable_ms = int(event.time_to_live_ms * (1 - CLOCK_DRIFT_SHARE))
        self._expires_at_ms = event.requested_at_ms + usable_ms
        is_held = self._fencing_token is not None
        wait_ms = self._renewal_interval_ms() if is_held else 0
        self._next_call_at_ms = now_ms + wait_ms

    def _next_call(self, now_ms: int) -> list[Action]:
        """Returns the call that is due, unless one is in flight."""
        if self._has_call_in_flight or now_ms < self._next_call_at_ms:
            return []
        if self._lease_id and now_ms >= self._expires_at_ms:
            self._discard()
        self._has_call_in_flight = True
        if not self._lease_id:
            return [Grant(self._time_to_live_ms)]
        if self._fencing_token is None:
            return [Acquire(self._lease_id)]
        return [Renew(self._lease_id)]

    def _discard(self) -> None:
        """Discards a lease that may have expired; it is never used again."""
        self._lease_id = 0
        self._fencing_token = None

    def _renewal_interval_ms(self) -> int:
        """Returns the time between renewals of the lease."""
        return int(self._time_to_live_ms * RENEW_SHARE)
