"""The task that keeps this host in the host list of the store.

The list serves to find peers after a start or a partition. Whether a listed
host is alive is known from heartbeats, so leases are long, and a host that
starts again under the same address keeps its entry and its lease.
"""

import logging
import random

from sapphire_core.peers import data as peer_data
from sapphire_core.replication import data
from sapphire_data import clock as clock_lib
from sapphire_net import event_log
from sapphire_net import pauses
from sapphire_node.entry import host_state
from sapphire_node.entry import platform_interface
from sapphire_wire import peer_messages

_LOG = logging.getLogger(__name__)

# The longest lease that the platform grants.
LEASE_TTL_MS = 600_000
# A third of the TTL: the lease survives two missed renewals.
RENEW_INTERVAL_MS = 200_000
ANSWER_TIMEOUT_MS = 1_500
RETRY_MIN_MS = 1_000
RETRY_MAX_MS = 16_000
POLL_INTERVAL_MS = 1_000
# Hosts that are missing from the list announce themselves over this time.
REANNOUNCE_SPREAD_MS = 4_000
_MAX_DOUBLINGS = 4


class Announcer:
    """Adds this host to the host list under a lease and renews the lease.

    When the lease has ended, or the list lacks the host, it is announced again.

    Args:
        contact: The contact by which peers reach this host.
        platform: Creates clients of the store.
        state: The state of the process.
        clock: The clock.
    """

    def __init__(
        self,
        contact: peer_data.Contact,
        platform: platform_interface.Platform,
        state: host_state.HostState,
        clock: clock_lib.Clock,
    ) -> None:
        self._contact = contact
        self._value = peer_messages.encode_contact(contact)
        self._platform = platform
        self._state = state
        self._clock = clock
        self._rng = random.Random()
        self._lease: int | None = None
        # The revision of the store at which this host was surely listed.
        self._listed_revision = 0
        self._next_call_ms = 0
        self._consecutive_failures = 0

    async def run(self) -> None:
        """Announces the host and renews its lease until cancelled."""
        await self._state.startup_read.wait()
        self.adopt_listing()
        while True:
            await self.step()
            await pauses.sleep_ms(POLL_INTERVAL_MS)

    def adopt_listing(self) -> None:
        """Takes over the entry of this host's former process, if it fits."""
        listing = self._state.startup_listing
        if listing is None or listing.lease == 0:
            return
        if listing.value != self._value:
            return
        self._lease = listing.lease
        self._listed_revision = self._state.startup_revision
        # Hosts that start at the same moment renew at different ones.
        self._next_call_ms = self._clock.now_ms() + self._rng.randrange(
            RENEW_INTERVAL_MS
        )

    async def step(self) -> None:
        """Announces the host or renews its lease, if that is due."""
        now_ms = self._clock.now_ms()
        if self._is_missing_from_list():
            event_log.log(
                _LOG,
                logging.INFO,
                "unlisted",
                as_of=self._state.unlisted_as_of,
                listed_revision=self._listed_revision,
            )
            self._lease = None
            self._next_call_ms = now_ms + self._rng.randrange(
                REANNOUNCE_SPREAD_MS
            )
        if now_ms < self._next_call_ms:
            return
        store = self._platform.create_store_client(self._state.settings)
        failure = await self._announce_or_renew(store)
        await store.close()
        self._schedule_next_call(failure)

    def _is_missing_from_list(self) -> bool:
        """Whether a list from after the announcement lacks this host."""
        unlisted_as_of = self._state.unlisted_as_of
        return (
            self._lease is not None
            and unlisted_as_of is not None
            and unlisted_as_of > self._listed_revision
        )

    async def _announce_or_renew(
        self, store: platform_interface.StoreClient
    ) -> data.SourceFailure | None:
        """Renews the lease, or announces this host if it has none."""
        if self._lease is not None:
            return await store.renew(self._lease, ANSWER_TIMEOUT_MS)
        announcement = await store.announce(
            self._contact.host, self._value, LEASE_TTL_MS, ANSWER_TIMEOUT_MS
        )
        if isinstance(announcement, data.SourceFailure):
            return announcement
        self._lease = announcement.lease
        self._listed_revision = announcement.revision
        return None

    def _schedule_next_call(self, failure: data.SourceFailure | None) -> None:
        """Sets the time of the next call from the result of the last one."""
        now_ms = self._clock.now_ms()
        if failure is None:
            self._consecutive_failures = 0
            self._next_call_ms = now_ms + RENEW_INTERVAL_MS
            return
        if isinstance(failure, data.LeaseEnded):
            event_log.log_failure(_LOG, "lease_ended", failure)
            self._lease = None
            self._next_call_ms = now_ms
            return
        if self._consecutive_failures == 0:
            event_log.log_failure(_LOG, "announce_failed", failure)
        self._state.counts["announce_failures"] += 1
        pause_ms = RETRY_MIN_MS << min(
            self._consecutive_failures, _MAX_DOUBLINGS
        )
        self._consecutive_failures += 1
        self._next_call_ms = now_ms + int(
            min(pause_ms, RETRY_MAX_MS) * self._rng.uniform(0.75, 1.25)
        )
