"""The phases of a host process, and whether it is ready for traffic."""

import dataclasses
import enum


class Phase(enum.Enum):
    """The phase of a host process."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"


class NotReadyReason(enum.Enum):
    """Why a host is not ready for new traffic."""

    STARTING = "starting"
    NO_CONFIGURATION = "no_configuration"
    LEAVING = "leaving"


@dataclasses.dataclass(slots=True)
class Lifecycle:
    """The phase and the readiness of the process.

    Attributes:
        phase: The phase.
        has_configuration: Whether a configuration has been accepted.
    """

    phase: Phase = Phase.STARTING
    has_configuration: bool = False

    def not_ready_reason(self) -> NotReadyReason | None:
        """Returns why the host is not ready for new traffic, or None if it is.

        Loss of the store is no reason: the host goes on with the configuration
        that it has.
        """
        if self.phase is Phase.LEAVING:
            return NotReadyReason.LEAVING
        if not self.has_configuration:
            return NotReadyReason.NO_CONFIGURATION
        if self.phase is Phase.STARTING:
            return NotReadyReason.STARTING
        return None
