"""What one host may send to one upstream, by what it saw of it."""

import dataclasses

from sapphire_core.requests import backoff
from sapphire_core.requests import data
from sapphire_data import records

SHED_BASE_MS = 10
SHED_MAX_MS = 1_000
FAULT_BASE_MS = 50
FAULT_MAX_MS = 2_000


@dataclasses.dataclass(frozen=True, slots=True)
class BorrowedSlot:
    """A slot that another host lends to this one.

    Attributes:
        loan: The loan as the lender stated it.
        usable_until_ms: No attempt is started in it from this time on.
    """

    loan: data.SlotLoan
    usable_until_ms: int


@dataclasses.dataclass(slots=True)
class UpstreamLimiter:
    """The view of one host on one upstream.

    Attributes:
        upstream: The upstream as configured.
        slot_numbers: The slots that this host may use.
        in_flight: The attempts of this host in flight.
        blocked_until_ms: No attempt is made before this time.
        boot_id: The boot identity last seen, or None.
        cold_since_ms: When it was seen to have started, or None if warm.
        lent_until_ms_by_loan: For each loan of a slot of this host, when it
            ends.
        borrowed_slots_by_loan: The slots that others lend to this host, by
            lender and number of the loan.
        echoes_attempt_id: Whether it has named the attempt id in an answer.
    """

    upstream: records.Upstream
    slot_numbers: tuple[int, ...] = ()
    in_flight: int = 0
    blocked_until_ms: int = 0
    boot_id: str | None = None
    cold_since_ms: int | None = None
    lent_until_ms_by_loan: dict[int, int] = dataclasses.field(
        default_factory=dict
    )
    borrowed_slots_by_loan: dict[tuple[str, int], BorrowedSlot] = (
        dataclasses.field(default_factory=dict)
    )
    echoes_attempt_id: bool = False
    _consecutive_failures: int = 0
    _was_unreachable: bool = False

    def is_cold(self, now_ms: int) -> bool:
        """Whether the upstream still warms up."""
        if self.cold_since_ms is None:
            return False
        if now_ms - self.cold_since_ms < self.upstream.warm_up_ms:
            return True
        self.cold_since_ms = None
        return False

    def open_slots(self, now_ms: int) -> int:
        """Returns the slots that the upstream offers to all hosts now."""
        if not self.is_cold(now_ms) or self.cold_since_ms is None:
            return self.upstream.slots
        age_ms = now_ms - self.cold_since_ms
        more = (self.upstream.slots - 1) * age_ms // self.upstream.warm_up_ms
        return 1 + more

    def has_free_slot(self, now_ms: int) -> bool:
        """Whether a slot of this host is free and may be used."""
        if self.in_flight >= len(self.slot_numbers) + len(
            self.borrowed_slots_by_loan
        ):
            return False
        if now_ms < self.blocked_until_ms:
            return False
        return self.in_flight < self.usable_slots(now_ms)

    def usable_slots(self, now_ms: int) -> int:
        """Returns the slots that this host may use now, borrowed ones too."""
        open_slots = self.open_slots(now_ms)
        usable = sum(1 for n in self.slot_numbers if n < open_slots)
        if self.lent_until_ms_by_loan:
            self._evict_ended_loans(now_ms)
            usable -= len(self.lent_until_ms_by_loan)
        for held in self.borrowed_slots_by_loan.values():
            if now_ms < held.usable_until_ms:
                usable += 1
        return usable

    def _evict_ended_loans(self, now_ms: int) -> None:
        for loan_id, end_ms in list(self.lent_until_ms_by_loan.items()):
            if now_ms >= end_ms:
                del self.lent_until_ms_by_loan[loan_id]

    def allows_opportunistic_attempt(self, now_ms: int) -> bool:
        """Whether a slot of another host may be tried."""
        if now_ms < self.blocked_until_ms or self.is_cold(now_ms):
            return False
        return (
            self.in_flight + len(self.lent_until_ms_by_loan)
            < self.upstream.slots
        )

    def begin_slow_start(self, now_ms: int) -> None:
        """Starts the warm-up."""
        self.cold_since_ms = now_ms

    def record_boot_id(self, boot_id: str | None, now_ms: int) -> None:
        """Takes in the boot identity that an answer names.

        A changed identity, or any answer after the upstream was unreachable
        if it names none, means that it has started again.
        """
        restarted = self._was_unreachable
        if boot_id is not None:
            restarted = self.boot_id not in (None, boot_id)
            self.boot_id = boot_id
        self._was_unreachable = False
        if restarted:
            self.begin_slow_start(now_ms)

    def record_answer(self) -> None:
        """Takes in a whole answer; the back-off shrinks by steps."""
        self._consecutive_failures //= 2

    def record_failure(
        self, fault: data.AttemptFault | None, now_ms: int
    ) -> None:
        """Takes in a failed attempt.

        Args:
            fault: How it failed; None if it went silent until its deadline.
            now_ms: The time in milliseconds.
        """
        self._consecutive_failures += 1
        base_ms = FAULT_BASE_MS
        max_ms = FAULT_MAX_MS
        if fault is data.AttemptFault.SHED:
            base_ms = SHED_BASE_MS
            max_ms = SHED_MAX_MS
        if fault is data.AttemptFault.UNREACHABLE:
            self._was_unreachable = True
        self.blocked_until_ms = now_ms + backoff.delay_ms(
            self._consecutive_failures, base_ms, max_ms
        )
