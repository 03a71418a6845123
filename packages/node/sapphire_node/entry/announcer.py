"""The task that keeps this host in the store's list of hosts."""

import logging

from sapphire_core.peers import data as peer_data
from sapphire_core.replication import data
from sapphire_net import event_log
from sapphire_net import pauses
from sapphire_node.entry import host_state
from sapphire_node.entry import platform_interface
from sapphire_wire import peer_messages

_LOG = logging.getLogger(__name__)

# A host that died is listed for this long; peers notice within a second.
LEASE_TTL_MS = 15_000
# Two renewals may fail before the lease ends.
RENEW_INTERVAL_MS = 5_000
ANSWER_TIMEOUT_MS = 1_500
RETRY_MS = 1_000


class Announcer:
    """Lists this host under a lease, again when the lease has ended.

    Args:
        contact: How this host is reached.
        platform: Gives connections to the store.
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
        """Keeps the entry until cancelled."""
        await self._state.wait_for_startup()
        while True:
            source = self._platform.create_store_client(self._state.settings)
            failure = await self._step(source)
            await source.close()
            pause_ms = RENEW_INTERVAL_MS if failure is None else RETRY_MS
            if isinstance(failure, data.LeaseEnded):
                event_log.log_failure(_LOG, "lease_ended", failure)
                self._lease = None
                continue
            if failure is not None:
                self._state.counts["announce_failures"] += 1
                event_log.log_failure(_LOG, "announce_failed", failure)
            await pauses.sleep_ms(pause_ms)

    async def _step(
        self, source: platform_interface.StoreClient
    ) -> data.SourceFailure | None:
        """Announces this host or renews its lease."""
        if self._lease is not None:
            return await source.renew(self._lease, ANSWER_TIMEOUT_MS)
        lease = await source.announce(
            self._contact.host,
            peer_messages.encode_contact(self._contact),
            LEASE_TTL_MS,
            ANSWER_TIMEOUT_MS,
        )
        if isinstance(lease, data.SourceFailure):
            return lease
        self._lease = lease
        return None
