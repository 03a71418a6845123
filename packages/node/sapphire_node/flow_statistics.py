"""Counts of flows for operators: openings, ends and revisions in force."""

import collections
import logging

from sapphire_core.flows import failures as flow_failures
from sapphire_core.slo import counters as slo_counters
from sapphire_data import clock
from sapphire_data import failures
from sapphire_net import event_log
from sapphire_node import revision_tracker

_LOGGER = logging.getLogger(__name__)


class FlowStatistics:
    """What one host saw of its flows.

    Attributes:
        slo_counters: The counts of service levels.
        opened_by_upstream: Flows that this host forwarded the opening of.
        revisions: The revisions that it prepared and activated.
    """

    def __init__(self) -> None:
        """Starts with empty counts."""
        self.slo_counters = slo_counters.SloCounters(clock.wall_time_ms())
        self.opened_by_upstream: collections.Counter[str] = (
            collections.Counter()
        )
        self.revisions = revision_tracker.RevisionTracker()

    def record_activated(self, revision: int) -> None:
        """Marks that a revision is in force here.

        Args:
            revision: The revision.
        """
        is_move = self.revisions.record_activated(revision)
        self.slo_counters.record_change(
            revision, clock.wall_time_ms(), moves_data_centre=is_move
        )
        event_log.log(
            _LOGGER,
            logging.INFO,
            "revision_activated",
            revision=revision,
            digest=self.revisions.active_digest,
            moves_data_centre=is_move,
        )

    def record_open_or_close(self, upstream: str, is_opening: bool) -> None:
        """Counts the begin or the regular end of a flow.

        Args:
            upstream: The name of its upstream.
            is_opening: Whether it begins.
        """
        if is_opening:
            self.opened_by_upstream[upstream] += 1
            return
        self._record(upstream, kept=1)

    def record_reset(self, reason: failures.Failure) -> None:
        """Counts a flow that ends because its upstream is gone.

        Flows of a data centre that operators took out are given up on their
        behalf and do not count against the objective.

        Args:
            reason: Why the flow is given up.
        """
        if isinstance(reason, flow_failures.UpstreamGone):
            self._record(reason.upstream, kept=0)

    def _record(self, upstream: str, kept: int) -> None:
        """Counts the end of a flow for its service."""
        service = self.revisions.service_by_upstream.get(upstream)
        if service is not None:
            self.slo_counters.record_flows(
                service, kept, 1, clock.wall_time_ms()
            )
