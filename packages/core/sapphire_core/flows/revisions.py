"""The configurations that a host routes by, and the barrier between them.

A host first prepares a new revision, which makes the buckets that change their
owner ambiguous. It activates the revision, so that new flows go to the new
owners, once every live member has prepared it, or `ACTIVATION_MS` after it
received it. A host that did not receive the revision is no longer fresh by
then: it decides nothing alone.
"""

import dataclasses

from sapphire_data import records

ACTIVATION_MS = 2_500
# Other hosts may route by the previous revision for this long.
PREVIOUS_IN_USE_MS = 5_000
# A caller that got no answer retransmits its opening packet within this time.
# Together with `ACTIVATION_MS` it stays under the 4 s after which a draining
# upstream gets no new flow.
RETRANSMISSION_MS = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class _Prepared:
    """A revision that waits for its barrier.

    Attributes:
        configuration: The configuration.
        received_ms: When this host received it.
    """

    configuration: records.Configuration
    received_ms: int


class Revisions:
    """The active, prepared and previous configurations of a host.

    Attributes:
        active: The configuration whose newest generations get new flows; None
            before the first configuration.
        previous: The configuration that was active before, for as long as
            other hosts may still route by it.
        is_provisional: Whether `active` is the first configuration of this
            host and its barrier has not passed yet.
    """

    def __init__(self) -> None:
        self.active: records.Configuration | None = None
        self.previous: records.Configuration | None = None
        self.is_provisional = False
        self._prepared: list[_Prepared] = []
        self._activated_ms = 0
        self._first_received_ms = 0

    @property
    def retransmissions_until_ms(self) -> int:
        """Until when an opening packet may be a retransmission.

        Its first transmission may have been routed by the previous revision.
        """
        if self.previous is None:
            return 0
        return self._activated_ms + RETRANSMISSION_MS

    @property
    def newest_revision(self) -> int:
        """The newest prepared revision, 0 before the first."""
        if self._prepared:
            return self._prepared[-1].configuration.revision
        return self.active.revision if self.active is not None else 0

    def known(self) -> list[records.Configuration]:
        """Returns the active and prepared configurations, oldest first."""
        known = [entry.configuration for entry in self._prepared]
        if self.active is not None:
            known.insert(0, self.active)
        return known

    def prepare(
        self, configuration: records.Configuration, now_ms: int
    ) -> bool:
        """Prepares a configuration.

        The first one is active at once but provisional until its barrier has
        passed: new flows of ambiguous buckets go to the default owner only,
        which hosts that route by an earlier revision select too.

        Args:
            configuration: The configuration.
            now_ms: The current time.

        Returns:
            Whether it is newer than all configurations known before.
        """
        if configuration.revision <= self.newest_revision:
            return False
        if self.active is None:
            self.active = configuration
            self.is_provisional = True
            self._first_received_ms = now_ms
            return True
        self._prepared.append(_Prepared(configuration, now_ms))
        return True

    def advance(self, prepared_everywhere: int, now_ms: int) -> bool:
        """Activates the newest revision whose barrier has passed.

        Drops the previous configuration once no host routes by it any more.

        Args:
            prepared_everywhere: The newest revision that every live member
                has prepared.
            now_ms: The current time.

        Returns:
            Whether the active, the previous or the provisional state changed.
        """
        changed = self._end_provisional(prepared_everywhere, now_ms)
        passed = 0
        for count, entry in enumerate(self._prepared, start=1):
            is_prepared = entry.configuration.revision <= prepared_everywhere
            if is_prepared or now_ms - entry.received_ms >= ACTIVATION_MS:
                passed = count
        if passed:
            self.previous = self.active
            self.active = self._prepared[passed - 1].configuration
            del self._prepared[:passed]
            self._activated_ms = now_ms
            self.is_provisional = False
            return True
        if (
            self.previous is None
            or now_ms - self._activated_ms < PREVIOUS_IN_USE_MS
        ):
            return changed
        self.previous = None
        return True

    def _end_provisional(self, prepared_everywhere: int, now_ms: int) -> bool:
        """Ends the provisional state once the first barrier has passed.

        Returns:
            Whether it ended now.
        """
        if not self.is_provisional or self.active is None:
            return False
        is_prepared = self.active.revision <= prepared_everywhere
        if not is_prepared and now_ms - self._first_received_ms < ACTIVATION_MS:
            return False
        self.is_provisional = False
        return True
