"""Results of the demonstration and of the trial under faults."""

import dataclasses

MAX_CHANGE_TIME_MS = 4_000


@dataclasses.dataclass(slots=True)
class DeploymentResults:
    """Results of one deployment.

    Callers, fake upstreams and the operator count them, not the hosts under
    test. The names of some fields are keys of the JSON that the demonstration
    prints.

    Attributes:
        broken_flows: Feeds that broke; see `feeds.FeedCounters`.
        misrouted_packets: Packets that an upstream of another service
            received.
        double_runs: Orders that ran more than once.
        false_not_run: Orders that ran although a host reported that they did
            not run.
        lost_answers: Orders whose caller got neither a response nor a stated
            outcome, or the response to another order. Those in flight at a
            host that the scenario killed do not count: their callers know that
            the outcome is unknown.
        failed_races: Concurrent changes of which not exactly one was accepted.
        unknown: Orders whose outcome is unknown to the caller.
        answered: Orders that got a successful response.
        dc_out_ms: Time from the start of the change that takes a data centre
            out until one of its upstreams received its last packet.
        in_force_ms: The longest time until a change was in force on all listed
            hosts, or the newest revision on a host that had become ready.
        late_openings: Flows that a draining upstream accepted more than 4 s
            after the start of its drain.
        unclean_exits: Replaced hosts that did not exit with status 0.
    """

    broken_flows: int = 0
    misrouted_packets: int = 0
    double_runs: int = 0
    false_not_run: int = 0
    lost_answers: int = 0
    failed_races: int = 0
    unknown: int = 0
    answered: int = 0
    dc_out_ms: int = 0
    in_force_ms: int = 0
    late_openings: int = 0
    unclean_exits: int = 0

    def meets_planned_change_requirements(self) -> bool:
        """Returns whether the requirements for planned changes are met."""
        violation_counts = (
            self.broken_flows,
            self.unknown,
            self.unclean_exits,
        )
        return self.meets_fault_requirements() and not any(violation_counts)

    def meets_fault_requirements(self) -> bool:
        """Returns whether the requirements that hold under faults are met."""
        violation_counts = (
            self.misrouted_packets,
            self.double_runs,
            self.false_not_run,
            self.lost_answers,
            self.failed_races,
            self.late_openings,
        )
        return (
            not any(violation_counts)
            and self.answered > 0
            and self.dc_out_ms <= MAX_CHANGE_TIME_MS
            and self.in_force_ms <= MAX_CHANGE_TIME_MS
        )
