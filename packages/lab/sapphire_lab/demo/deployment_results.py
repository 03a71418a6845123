"""What a run of the demonstration or of the trial showed."""

import dataclasses

LIMIT_MS = 4_000


@dataclasses.dataclass(slots=True)
class DeploymentResults:
    """What one deployment showed, counted at the stand-ins.

    Attributes:
        broken_flows: Feeds that were broken.
        misrouted_packets: Packets at another service's upstream.
        double_runs: Orders that ran twice.
        false_not_run: Orders refused as not run that did run.
        lost_answers: Orders whose caller got neither an answer nor a typed
            outcome, or that of another.
        unknown: Orders that ended unknown.
        answered: Orders that were answered.
        dc_out_ms: Time from the change until the last packet to the data
            centre that was taken out.
        in_force_ms: The longest time until a change was in force everywhere.
        late_openings: Flows opened at a draining upstream after 4 s.
        unclean_exits: Hosts whose graceful shutdown did not finish.
    """

    broken_flows: int = 0
    misrouted_packets: int = 0
    double_runs: int = 0
    false_not_run: int = 0
    lost_answers: int = 0
    unknown: int = 0
    answered: int = 0
    dc_out_ms: int = 0
    in_force_ms: int = 0
    late_openings: int = 0
    unclean_exits: int = 0

    def meets_planned_change_requirements(self) -> bool:
        """Returns whether each promise about planned change held."""
        zeros = (
            self.broken_flows,
            self.unknown,
            self.unclean_exits,
        )
        return self.meets_fault_requirements() and not any(zeros)

    def meets_fault_requirements(self) -> bool:
        """Returns whether each promise held that faults do not suspend."""
        zeros = (
            self.misrouted_packets,
            self.double_runs,
            self.false_not_run,
            self.lost_answers,
            self.late_openings,
        )
        return (
            not any(zeros)
            and self.answered > 0
            and self.dc_out_ms <= LIMIT_MS
            and self.in_force_ms <= LIMIT_MS
        )
