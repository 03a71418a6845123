"""The task that asks the store for its era when a peer claims a newer one."""

import logging
import random

from sapphire_core.replication import data
from sapphire_data import clock as clock_lib
from sapphire_net import event_log
from sapphire_net import pauses
from sapphire_node.entry import call_backoff
from sapphire_node.entry import host_state
from sapphire_node.entry import platform_interface

_LOG = logging.getLogger(__name__)

# All hosts hear of a new era within one or two heartbeats; spread over this
# time, the calls of hundreds of them stay within the store's rate.
ASK_SPREAD_MS = 500
# After an answer, claims of further eras are not checked for this long: forged
# ones cost the store at most one call of each host in this time.
ASK_INTERVAL_MS = 5_000
# A host that gets no answer this often takes newer eras from its peers, as it
# does with all other changes while the store is out of its reach.
MAX_SILENT_ASKS = 2


class EraQuestion:
    """Asks the store when a peer claims a newer era.

    Args:
        platform: Creates clients of the store.
        state: The state of the process.
        clock: The clock.
    """

    def __init__(
        self,
        platform: platform_interface.Platform,
        state: host_state.HostState,
        clock: clock_lib.Clock,
    ) -> None:
        self._platform = platform
        self._state = state
        self._clock = clock
        self._rng = random.Random()

    async def run(self) -> None:
        """Asks the store whenever there is a reason, until cancelled."""
        eras = self._state.eras
        while True:
            await eras.wait_for_claim()
            await pauses.sleep_ms(self._rng.randrange(ASK_SPREAD_MS))
            claimed = eras.claimed
            if eras.has_open_claim:
                await self.ask()
                event_log.log(
                    _LOG,
                    logging.INFO,
                    "era_claimed",
                    claimed=claimed,
                    store_era=eras.named,
                    from_peers=eras.from_peers,
                )
            is_confirmed = claimed <= eras.accepted
            eras.drop_claims()
            if not is_confirmed:
                await pauses.sleep_ms(ASK_INTERVAL_MS)

    async def ask(self) -> None:
        """Asks until the store answers or has been silent too often."""
        eras = self._state.eras
        for attempt in range(MAX_SILENT_ASKS):
            store = self._platform.create_store_client(self._state.settings)
            answer = await store.read_era(call_backoff.ANSWER_TIMEOUT_MS)
            await store.close()
            named = store.era
            is_answered = not isinstance(answer, data.SourceFailure)
            self._state.record_store_era(named, self._clock.now_ms())
            if is_answered or not eras.has_open_claim:
                eras.from_peers = 0
                return
            pause_ms = call_backoff.BACKOFF_MIN_MS << attempt
            await pauses.sleep_ms(int(pause_ms * self._rng.uniform(0.75, 1.25)))
        eras.from_peers = max(eras.from_peers, eras.claimed)
