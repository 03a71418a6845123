"""The task that keeps this host in the host list of the store."""

import logging

from sapphire_core.peers import data as peer_data
from sapphire_core.replication import data
from sapphire_net import event_log
from sapphire_net import pauses
from sapphire_node.entry import host_state
from sapphire_node.entry import platform_interface
from sapphire_wire import peer_messages

_LOG = logging.getLogger(__name__)

# A crashed host stays in the list for this long. Peers in its data centre
# notice the missing heartbeats within a second.
LEASE_TTL_MS = 15_000
# A third of the TTL: the lease survives two missed renewals.
RENEW_INTERVAL_MS = 5_000
ANSWER_TIMEOUT_MS = 1_500
RETRY_INTERVAL_MS = 1_000


class Announcer:
    """Adds this host to the host list under a lease and renews the lease.

    When the lease has ended, the host is announced again under a new one.

    Args:
        contact: The contact by which peers reach this host.
        platform: Creates clients of the store.
        state: The state of the process.
    """

    def __init__(
        self,
        contact: peer_data.Contact,
        platform: platform_interface.Platform,
        state: host_state.HostState,
    ) -> None:
        self._contact = contact
        self._platform = platform
        self._state = state
        self._lease: int | None = None

    async def run(self) -> None:
        """Announces the host and renews its lease until cancelled."""
        await self._state.wait_for_startup()
        while True:
            store = self._platform.create_store_client(self._state.settings)
            failure = await self._announce_or_renew(store)
            await store.close()
            pause_ms = (
                RENEW_INTERVAL_MS if failure is None else RETRY_INTERVAL_MS
            )
            if isinstance(failure, data.LeaseEnded):
                event_log.log_failure(_LOG, "lease_ended", failure)
                self._lease = None
                continue
            if failure is not None:
                self._state.counts["announce_failures"] += 1
                event_log.log_failure(_LOG, "announce_failed", failure)
            await pauses.sleep_ms(pause_ms)

    async def _announce_or_renew(
        self, store: platform_interface.StoreClient
    ) -> data.SourceFailure | None:
        """Renews the lease, or announces this host if it has none."""
        if self._lease is not None:
            return await store.renew(self._lease, ANSWER_TIMEOUT_MS)
        lease = await store.announce(
            self._contact.host,
            peer_messages.encode_contact(self._contact),
            LEASE_TTL_MS,
            ANSWER_TIMEOUT_MS,
        )
        if isinstance(lease, data.SourceFailure):
            return lease
        self._lease = lease
        return None
