"""What a host reports to operators about its flows and revisions."""

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
    """Statistics of the flows that one host forwards.

    Attributes:
        slo_counters: The service-level counts of flows and requests.
        opened_by_upstream: The number of opening packets that this host
            forwarded to each upstream.
        revisions: The revisions that it prepared and activated.
    """

    def __init__(self) -> None:
        """Creates empty counts."""
        self.slo_counters = slo_counters.SloCounters(clock.wall_time_ms())
        self.opened_by_upstream: collections.Counter[str] = (
            collections.Counter()
        )
        self.revisions = revision_tracker.RevisionTracker()

    def record_activated(self, revision: int) -> None:
        """Records and logs that a revision is in force on this host.

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
        """Counts a forwarded packet that opens a flow or ends it normally.

        Args:
            upstream: The name of the upstream of the flow.
            is_opening: Whether the packet opens the flow.
        """
        if is_opening:
            self.opened_by_upstream[upstream] += 1
            return
        self._record_end(upstream, kept=1)

    def record_reset(self, reason: failures.Failure) -> None:
        """Counts a flow that is reset because its upstream is gone.

        Flows that are reset because operators took a data centre out of
        rotation are intended, and do not count against the objective.

        Args:
            reason: Why the flow is reset.
        """
        if isinstance(reason, flow_failures.UpstreamGone):
            self._record_end(reason.upstream, kept=0)

    def _record_end(self, upstream: str, kept: int) -> None:
        """Counts the end of a flow for its service."""
        service = self.revisions.service_by_upstream.get(upstream)
        if service is not None:
            self.slo_counters.record_flows(
                service, kept, 1, clock.wall_time_ms()
            )
