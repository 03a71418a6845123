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
# Hosts that a restored store lacks are listed again within two seconds of its
# return, which has to do for the news as well.
RESTORED_SPREAD_MS = 1_000
# After a restore, whether the list lacks this host is soon known.
RESTORED_POLL_INTERVAL_MS = 200
RESTORED_POLL_MS = 5_000
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
        # The position of the store at which this host was surely listed. The
        # lease is of the same era.
        self._listed_position = data.Position(0, 0)
        self._next_call_ms = 0
        self._consecutive_failures = 0

    async def run(self) -> None:
        """Announces the host and renews its lease until cancelled."""
        await self._state.startup_read.wait()
        self.adopt_listing()
        while True:
            await self.step()
            restored_ms = self._state.eras.restored_ms
            now_ms = self._clock.now_ms()
            if (
                restored_ms is not None
                and now_ms - restored_ms < RESTORED_POLL_MS
            ):
                await pauses.sleep_ms(RESTORED_POLL_INTERVAL_MS)
            else:
                await self._state.eras.wait_for_restore(POLL_INTERVAL_MS)

    def adopt_listing(self) -> None:
        """Takes over the entry of this host's former process, if it fits."""
        listing = self._state.startup_listing
        if listing is None or listing.lease == 0:
            return
        if listing.value != self._value:
            return
        self._lease = listing.lease
        self._listed_position = data.Position(
            self._state.startup_era, self._state.startup_revision
        )
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
                listed_revision=self._listed_position.revision,
                listed_era=self._listed_position.era,
                store_era=self._state.eras.named,
            )
            self._lease = None
            spread_ms = REANNOUNCE_SPREAD_MS
            if self._list_position().era > self._listed_position.era:
                spread_ms = RESTORED_SPREAD_MS
            self._next_call_ms = now_ms + self._rng.randrange(spread_ms)
        if now_ms < self._next_call_ms:
            return
        store = self._platform.create_store_client(self._state.settings)
        failure = await self._announce_or_renew(store)
        self._state.record_store_era(store.era, self._clock.now_ms())
        await store.close()
        self._schedule_next_call(failure)

    def _list_position(self) -> data.Position:
        """Returns the position of the newest list, if it lacks this host."""
        return data.Position(
            self._state.era_by_scope.get(data.Scope.HOSTS, 0),
            self._state.unlisted_as_of or 0,
        )

    def _is_missing_from_list(self) -> bool:
        """Whether a list from after the announcement lacks this host."""
        return (
            self._lease is not None
            and self._state.unlisted_as_of is not None
            and self._list_position() > self._listed_position
        )

    def _has_former_lease(self) -> bool:
        """Whether the lease is of a former era.

        A restored store may not have it, or may have given its number to
        another host.
        """
        return self._listed_position.era < self._state.eras.named

    async def _announce_or_renew(
        self, store: platform_interface.StoreClient
    ) -> data.SourceFailure | None:
        """Renews the lease, or announces this host if it has none.

        A lease of a former era is replaced, not renewed.
        """
        if self._lease is not None and not self._has_former_lease():
            return await store.renew(self._lease, ANSWER_TIMEOUT_MS)
        announcement = await store.announce(
            self._contact.host, self._value, LEASE_TTL_MS, ANSWER_TIMEOUT_MS
        )
        if isinstance(announcement, data.SourceFailure):
            return announcement
        self._lease = announcement.lease
        self._listed_position = data.Position(
            announcement.era, announcement.revision
        )
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
