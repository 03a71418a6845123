"""Selects upstreams for new flows from their load and health.

Load and health are observed by this host and reported by its peers.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import itertools
import random

from sapphire_core.peers import data as peer_data
from sapphire_core.tagged_flows import data
from sapphire_core.tagged_flows import upstream_table as upstream_table_lib
from sapphire_core.tagged_flows.flows import flow_table as flow_table_lib
from sapphire_core.tagged_flows.flows import smoothed_load
from sapphire_core.tagged_flows.health import outlier_ejection
from sapphire_core.tagged_flows.health import passive_health
from sapphire_core.tagged_flows.openings import (
    half_open_flows as half_open_flows_lib,
)
from sapphire_core.tagged_flows.openings import selection_policy
from sapphire_core.tagged_flows.openings import slow_start_pacer

# How many hosts are assumed to share the cold rate of an upstream until this
# host knows their number: the largest fleet that the platform measures.
INITIAL_HOST_COUNT = 300
# How many upstreams of a service are considered for a new flow, and how many of
# them are of other data centres if there are as many.
MAX_CONSIDERED = 128
MIN_REMOTE_CONSIDERED = 32
# How many upstreams a heartbeat reports at most. A report takes 7 to 11 bytes,
# so that they fill less than half of the largest heartbeat (8 KB).
MAX_REPORTS = 350


class UpstreamSelector:
    """Selects upstreams for new flows.

    Attributes:
        ejection: Which upstreams do worse than others of their service.
        has_urgent_report: Whether peers are to get the upstream reports at
            once, since this host has begun to avoid an upstream; the code that
            sends the reports resets it.

    Args:
        data_centre: The data centre of this host.
        rng: Breaks ties between equally loaded upstreams.
        upstream_table: The upstreams known to this host.
        flow_table: The records of open flows.
        half_open_flows: The half-open flows of this host.
    """

    def __init__(
        self,
        data_centre: str,
        rng: random.Random,
        upstream_table: upstream_table_lib.UpstreamTable,
        flow_table: flow_table_lib.FlowTable,
        half_open_flows: half_open_flows_lib.HalfOpenFlows,
    ) -> None:
        self._data_centre = data_centre
        self._rng = rng
        self._upstream_table = upstream_table
        self._flow_table = flow_table
        self._half_open_flows = half_open_flows
        self._passive_health = passive_health.PassiveHealth()
        self._slow_start_pacer = slow_start_pacer.SlowStartPacer(
            rng.getrandbits(32)
        )
        self._peer_in_flight_by_tag: Mapping[int, float] = {}
        # When the reports of peers were last applied; None before the first.
        self._reports_ms: int | None = None
        # How many hosts share the cold rate of an upstream, at most.
        self._host_count = INITIAL_HOST_COUNT
        # How many hosts share the slots of a service, as far as is known.
        self._known_host_count = INITIAL_HOST_COUNT
        self.ejection = outlier_ejection.OutlierEjection()
        self.has_urgent_report = False

    def apply_peer_reports(
        self,
        in_flight_by_tag: Mapping[int, float],
        avoid_ms_by_tag: Mapping[int, int],
        now_ms: int,
    ) -> None:
        """Applies the reports of peers about upstreams.

        Args:
            in_flight_by_tag: The requests that peers have in flight at each
                upstream on average; they replace the former ones.
            avoid_ms_by_tag: How much longer some peer avoids each upstream.
            now_ms: The current time.
        """
        self._peer_in_flight_by_tag = in_flight_by_tag
        self._reports_ms = now_ms
        for tag, avoid_ms in avoid_ms_by_tag.items():
            entry = self._upstream_table.by_tag(tag)
            if entry is not None and avoid_ms > 0:
                self._passive_health.record_peer_report(
                    entry.upstream.upstream_id, avoid_ms, now_ms
                )

    def set_host_count(self, host_count: int, *, is_partial: bool) -> None:
        """Sets the number of hosts that share the cold rate of an upstream.

        Args:
            host_count: How many hosts there may be, this one included.
            is_partial: Whether some hosts may be missing from the count, so
                that the number may only grow.
        """
        self._known_host_count = host_count
        self._host_count = (
            max(host_count, self._host_count) if is_partial else host_count
        )

    def record_answered(
        self, entry: upstream_table_lib.Entry, now_ms: int
    ) -> None:
        """Records that an upstream has answered an opening packet."""
        self._passive_health.record_answered(entry.upstream.upstream_id, now_ms)
        entry.last_active_ms = now_ms

    def record_unanswered(
        self, entry: upstream_table_lib.Entry, sent_ms: int, now_ms: int
    ) -> None:
        """Records that an upstream left an opening packet unanswered.

        Args:
            entry: The upstream.
            sent_ms: When the opening packet was sent to it.
            now_ms: The current time.
        """
        upstream_id = entry.upstream.upstream_id
        was_avoided = self._passive_health.own_avoid_ms(upstream_id, now_ms) > 0
        self._passive_health.record_unanswered(upstream_id, sent_ms, now_ms)
        is_avoided = self._passive_health.own_avoid_ms(upstream_id, now_ms) > 0
        if is_avoided and not was_avoided:
            self.has_urgent_report = True

    def unanswered_openings(
        self, entry: upstream_table_lib.Entry, now_ms: int
    ) -> int:
        """Returns how many opening packets in a row were left unanswered.

        Args:
            entry: The upstream that got them.
            now_ms: The current time.

        Returns:
            The number; 1 if only a peer reports the upstream as unresponsive,
            0 if the upstream is not avoided.
        """
        return self._passive_health.unanswered(
            entry.upstream.upstream_id, now_ms
        )

    def unresponsive_observer(
        self, entry: upstream_table_lib.Entry, now_ms: int
    ) -> str:
        """Returns who found an upstream unresponsive, as a field of logs.

        Args:
            entry: The upstream.
            now_ms: The current time.

        Returns:
            `own` for this host, `peer` for a peer only, `none` for nobody.
        """
        upstream_id = entry.upstream.upstream_id
        if self._passive_health.own_avoid_ms(upstream_id, now_ms) > 0:
            return "own"
        if self._passive_health.is_avoided(upstream_id, now_ms):
            return "peer"
        return "none"

    def select(
        self, service: data.Service, excluded_ids: Collection[str], now_ms: int
    ) -> upstream_table_lib.Entry | None:
        """Selects the upstream for a new flow.

        Args:
            service: The service of the flow.
            excluded_ids: The identities of upstreams that must not get it.
            now_ms: The current time.

        Returns:
            The upstream, None if none is eligible.
        """
        near, remote = self._eligible(service, now_ms)
        selected = None
        if len(near) + len(remote) > MAX_CONSIDERED:
            sample = self._sample(near, remote)
            selected = self._select_among(sample, service, excluded_ids, now_ms)
        if selected is None or not _is_sound(selected):
            everyone = itertools.chain(near, remote)
            selected = self._select_among(
                everyone, service, excluded_ids, now_ms
            )
        if selected is None:
            return None
        if selected.is_cold:
            upstream_id = selected.entry.upstream.upstream_id
            self._slow_start_pacer.record_flow(
                upstream_id, service, self._host_count, now_ms
            )
        return selected.entry

    def _eligible(
        self, service: data.Service, now_ms: int
    ) -> tuple[list[upstream_table_lib.Entry], list[upstream_table_lib.Entry]]:
        """Returns the eligible upstreams: near ones, and remote ones."""
        near: list[upstream_table_lib.Entry] = []
        remote: list[upstream_table_lib.Entry] = []
        for entry in self._upstream_table.eligible_upstreams(
            service.name, now_ms
        ):
            is_near = entry.upstream.data_centre == self._data_centre
            (near if is_near else remote).append(entry)
        return near, remote

    def _sample(
        self,
        near: list[upstream_table_lib.Entry],
        remote: list[upstream_table_lib.Entry],
    ) -> list[upstream_table_lib.Entry]:
        """Draws the upstreams of a large service that are considered.

        The least loaded of many random ones is hardly worse than that of all,
        and hosts that know the same old loads do not all take the same one.
        """
        near_count = min(len(near), MAX_CONSIDERED - MIN_REMOTE_CONSIDERED)
        if len(remote) < MIN_REMOTE_CONSIDERED:
            near_count = min(len(near), MAX_CONSIDERED - len(remote))
        remote_count = min(len(remote), MAX_CONSIDERED - near_count)
        return self._rng.sample(near, near_count) + self._rng.sample(
            remote, remote_count
        )

    def _select_among(
        self,
        entries: Iterable[upstream_table_lib.Entry],
        service: data.Service,
        excluded_ids: Collection[str],
        now_ms: int,
    ) -> selection_policy.Candidate | None:
        """Selects the best of some upstreams; near ones come first."""
        return selection_policy.select(
            self._candidates(entries, service, now_ms),
            self._data_centre,
            excluded_ids,
            self._rng,
        )

    def _candidates(
        self,
        entries: Iterable[upstream_table_lib.Entry],
        service: data.Service,
        now_ms: int,
    ) -> Iterator[selection_policy.Candidate]:
        """Yields the candidates for a new flow.

        Open flows of this host whose callers pause between requests count with
        what they bring on average.
        """
        unanswered = self._passive_health.unanswered
        penalty = self.ejection.penalty
        pending = self._half_open_flows.pending
        in_flight = self._flow_table.load.at_least
        of_peers = self._peer_in_flight_by_tag.get
        for entry in entries:
            upstream_id = entry.upstream.upstream_id
            is_cold = now_ms < entry.cold_until_ms
            if is_cold and not self._slow_start_pacer.allows_flow(
                upstream_id, service, self._host_count, now_ms
            ):
                continue
            yield selection_policy.Candidate(
                entry,
                in_flight(upstream_id, pending(upstream_id), now_ms),
                unanswered(upstream_id, now_ms),
                is_cold,
                penalty(upstream_id, self._rng, now_ms),
                of_peers(entry.tag, 0.0),
            )

    def in_flight(self, entry: upstream_table_lib.Entry) -> float:
        """Returns the estimated in-flight requests of all hosts at an upstream.

        Attempts of this host that the upstream has not answered yet count as
        requests.
        """
        own = self._own_in_flight(entry.upstream.upstream_id)
        return own + self.peer_in_flight(entry)

    def peer_in_flight(self, entry: upstream_table_lib.Entry) -> float:
        """Returns the in-flight requests of peers, as they report them."""
        return self._peer_in_flight_by_tag.get(entry.tag, 0.0)

    def reports_age_ms(self, now_ms: int) -> int:
        """Returns when reports of peers were last applied, as a field of logs.

        Args:
            now_ms: The current time.

        Returns:
            How long ago that was; -1 if there were none yet.
        """
        if self._reports_ms is None:
            return -1
        return now_ms - self._reports_ms

    def _own_in_flight(self, upstream_id: str) -> int:
        """Returns the requests and unanswered attempts of this host."""
        return self._flow_table.in_flight(
            upstream_id
        ) + self._half_open_flows.pending(upstream_id)

    def has_free_slot(self, entry: upstream_table_lib.Entry) -> bool:
        """Whether an upstream is estimated to have a free slot."""
        return self.in_flight(entry) < entry.upstream.slots

    def has_own_share_left(
        self, service: str, now_ms: int, least_share: float = 1.0
    ) -> bool:
        """Whether this host uses less than its equal share of a service.

        Args:
            service: The name of the service.
            now_ms: The current time.
            least_share: How many requests in flight are in its share anyway.
        """
        slots = 0
        in_flight = 0
        for entry in self._upstream_table.eligible_upstreams(service, now_ms):
            slots += entry.upstream.slots
            in_flight += self._own_in_flight(entry.upstream.upstream_id)
        return in_flight < max(least_share, slots / self._known_host_count)

    def upstream_reports(
        self, now_ms: int
    ) -> tuple[peer_data.UpstreamReport, ...]:
        """Returns this host's observations of upstreams, for its peers.

        Where there are too many, upstreams that this host avoids come first,
        then those with the highest load.

        Args:
            now_ms: The current time.
        """
        reports: list[peer_data.UpstreamReport] = []
        for upstream_id, entry in self._upstream_table.by_id.items():
            in_flight = smoothed_load.reported(
                self._flow_table.load.average(upstream_id, now_ms), self._rng
            )
            avoid_ms = self._passive_health.own_avoid_ms(upstream_id, now_ms)
            if in_flight or avoid_ms:
                reports.append(
                    peer_data.UpstreamReport(entry.tag, in_flight, avoid_ms)
                )
        if len(reports) > MAX_REPORTS:
            reports.sort(key=lambda each: (each.silent_ms, each.busy))
        return tuple(reports[-MAX_REPORTS:])

    def discard(self, upstream_id: str) -> None:
        """Discards what is kept of an upstream that has gone."""
        self.ejection.discard(upstream_id)
        self._passive_health.discard(upstream_id)
        self._slow_start_pacer.discard(upstream_id)


def _is_sound(candidate: selection_policy.Candidate) -> bool:
    """Whether nothing speaks against an upstream but its load."""
    return (
        candidate.consecutive_unanswered == 0
        and not candidate.is_cold
        and candidate.penalty == 0
    )
