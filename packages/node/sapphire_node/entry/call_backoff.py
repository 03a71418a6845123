"""Timeouts and pauses between the calls of a task to the store."""

import logging
import random

from sapphire_core.replication import data
from sapphire_data import clock as clock_lib
from sapphire_net import event_log
from sapphire_node.entry import host_state

_LOG = logging.getLogger(__name__)

# The first byte of an answer arrives within this time, the wait of a long poll
# apart.
ANSWER_TIMEOUT_MS = 700
# The timeout doubles with each consecutive failure up to this bound, so that
# answers of a slow store, sixty to ninety times its usual 4 ms, still arrive.
MAX_ANSWER_TIMEOUT_MS = 2_800
BACKOFF_MIN_MS = 50
BACKOFF_MAX_MS = 800
# A host that already routes by the data of its peers is in no hurry.
READY_BACKOFF_MAX_MS = 3_200
# Hosts that fail at the same moment call again at different ones.
JITTER = 0.25
_MAX_COUNTED_FAILURES = 8


class CallBackoff:
    """Counts the consecutive failed calls of one task to the store.

    Args:
        name: What the task reads, for logs.
        state: The state of the process.
        clock: The clock.
    """

    def __init__(
        self,
        name: str,
        state: host_state.HostState,
        clock: clock_lib.Clock,
    ) -> None:
        self._name = name
        self._state = state
        self._clock = clock
        self._rng = random.Random()
        self.consecutive_failures = 0

    @property
    def timeout_ms(self) -> int:
        """How long the first byte of the next answer may take."""
        doublings = min(self.consecutive_failures, 4)
        return min(ANSWER_TIMEOUT_MS << doublings, MAX_ANSWER_TIMEOUT_MS)

    def record_failure(
        self, failure: data.SourceFailure, max_ms: int = BACKOFF_MAX_MS
    ) -> int:
        """Records a failed call; only the first one in a row is logged.

        Args:
            failure: Why it failed.
            max_ms: The longest pause.

        Returns:
            How long to wait before the next call, in milliseconds.
        """
        self._state.last_store_failure_ms = self._clock.now_ms()
        self._state.counts["store_failures"] += 1
        if self.consecutive_failures == 0:
            event_log.log_failure(_LOG, "store_lost", failure, scope=self._name)
        backoff_ms = self.backoff_ms(self.consecutive_failures, max_ms)
        self.consecutive_failures = min(
            self.consecutive_failures + 1, _MAX_COUNTED_FAILURES
        )
        return backoff_ms

    def record_answer(self) -> None:
        """Records that the store has answered."""
        self._state.counts["store_answers"] += 1
        if self.consecutive_failures == 0:
            return
        event_log.log(
            _LOG,
            logging.INFO,
            "store_regained",
            scope=self._name,
            failures=self.consecutive_failures,
        )
        self.consecutive_failures = 0

    def backoff_ms(self, repetitions: int, max_ms: int = BACKOFF_MAX_MS) -> int:
        """Returns a pause that doubles with each repetition, with jitter.

        Args:
            repetitions: How often in a row the call was repeated before.
            max_ms: The longest pause, jitter apart.
        """
        doublings = min(repetitions, _MAX_COUNTED_FAILURES)
        pause_ms = min(BACKOFF_MIN_MS << doublings, max_ms)
        return int(pause_ms * self._rng.uniform(1 - JITTER, 1 + JITTER))
