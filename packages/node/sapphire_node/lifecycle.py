"""The phases of a host process and what it may say of its readiness."""

import dataclasses
import enum


class Phase(enum.Enum):
    """The phase of a host process."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"


class NotReadyReason(enum.Enum):
    """Why a host should get no new traffic."""

    STARTING = "starting"
    NO_CONFIGURATION = "no_configuration"
    LEAVING = "leaving"


@dataclasses.dataclass(slots=True)
class Lifecycle:
    """What the process knows about its own readiness.

    Attributes:
        phase: The phase.
        has_configuration: Whether a revision is in force.
    """

    phase: Phase = Phase.STARTING
    has_configuration: bool = False

    def not_ready_reason(self) -> NotReadyReason | None:
        """Returns why the host should get no new traffic, or None.

        Loss of the store is no reason: the host serves what it has.
        """
        if self.phase is Phase.LEAVING:
            return NotReadyReason.LEAVING
        if not self.has_configuration:
            return NotReadyReason.NO_CONFIGURATION
        if self.phase is Phase.STARTING:
            return NotReadyReason.STARTING
        return None
