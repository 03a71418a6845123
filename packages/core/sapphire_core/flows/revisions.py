"""The configurations that a host goes by, and the barrier between them.

A prepared revision makes the buckets that it moves ambiguous; it is activated
when every live member has prepared it or after `ACTIVATION_MS`. A host that
missed it has ceased to be fresh by then, and decides nothing alone.
"""

import dataclasses

from sapphire_data import records

ACTIVATION_MS = 2_500
# Other hosts may go by the previous revision for this long.
PREVIOUS_IN_USE_MS = 5_000
# A caller that got no answer repeats its opening packet within this time. With
# the activation time it stays under the 4 s after which a leaving upstream gets
# no new flow.
RETRANSMISSION_MS = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class _Prepared:
    """A revision that awaits its barrier.

    Attributes:
        configuration: The configuration.
        learned_ms: When this host learned of it.
    """

    configuration: records.Configuration
    learned_ms: int


class Revisions:
    """The active, prepared and retired configurations of a host."""

    def __init__(self) -> None:
        self.active: records.Configuration | None = None
        self.retired: records.Configuration | None = None
        self.is_provisional = False
        self._prepared: list[_Prepared] = []
        self._activated_ms = 0
        self._learned_ms = 0

    @property
    def repeats_until_ms(self) -> int:
        """Until when opening packets may repeat ones of the revision before."""
        if self.retired is None:
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
        """Takes a configuration.

        The first one is routed by at once but stays provisional, so that its
        placements are those that hosts of earlier revisions make too.

        Args:
            configuration: The configuration.
            now_ms: The current time.

        Returns:
            Whether it is news.
        """
        if configuration.revision <= self.newest_revision:
            return False
        if self.active is None:
            self.active = configuration
            self.is_provisional = True
            self._learned_ms = now_ms
            return True
        self._prepared.append(_Prepared(configuration, now_ms))
        return True

    def advance(self, prepared_everywhere: int, now_ms: int) -> bool:
        """Activates what has passed its barrier, retires what is over.

        Args:
            prepared_everywhere: The newest revision that every live member
                has prepared.
            now_ms: The current time.

        Returns:
            Whether anything changed.
        """
        changed = self._end_provisional(prepared_everywhere, now_ms)
        passed = 0
        for count, entry in enumerate(self._prepared, start=1):
            is_known = entry.configuration.revision <= prepared_everywhere
            if is_known or now_ms - entry.learned_ms >= ACTIVATION_MS:
                passed = count
        if passed:
            self.retired = self.active
            self.active = self._prepared[passed - 1].configuration
            del self._prepared[:passed]
            self._activated_ms = now_ms
            self.is_provisional = False
            return True
        if (
            self.retired is None
            or now_ms - self._activated_ms < PREVIOUS_IN_USE_MS
        ):
            return changed
        self.retired = None
        return True

    def _end_provisional(self, prepared_everywhere: int, now_ms: int) -> bool:
        """Ends the barrier of the first configuration when it has passed."""
        if not self.is_provisional or self.active is None:
            return False
        is_known = self.active.revision <= prepared_everywhere
        if not is_known and now_ms - self._learned_ms < ACTIVATION_MS:
            return False
        self.is_provisional = False
        return True
