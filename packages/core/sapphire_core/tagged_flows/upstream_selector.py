"""What a host knows of the load and silence of upstreams, and its choices."""

from collections.abc import Collection
from collections.abc import Mapping
import random

from sapphire_core.peers import data as peer_data
from sapphire_core.tagged_flows import data
from sapphire_core.tagged_flows import flow_table
from sapphire_core.tagged_flows import half_open_flows as half_open_flows_lib
from sapphire_core.tagged_flows import passive_health
from sapphire_core.tagged_flows import selection_policy
from sapphire_core.tagged_flows import slow_start_pacer
from sapphire_core.tagged_flows import upstream_table

# How many hosts share the rate of a cold upstream, as long as this host has
# not heard of the others: the largest fleet that the platform measures.
UNHEARD_HOSTS = 300


class UpstreamSelector:
    """Chooses upstreams for new flows.

    Args:
        data_centre: The data centre of this host.
        rng: Decides between equal upstreams.
        table: The upstreams that this host knows.
        flows: The flows that it has seen.
        half_open_flows: The half-open flows of this host.
    """

    def __init__(
        self,
        data_centre: str,
        rng: random.Random,
        table: upstream_table.UpstreamTable,
        flows: flow_table.FlowTable,
        half_open_flows: half_open_flows_lib.HalfOpenFlows,
    ) -> None:
        self._data_centre = data_centre
        self._rng = rng
        self._table = table
        self._flows = flows
        self._half_open_flows = half_open_flows
        self._passive_health = passive_health.PassiveHealth()
        self._budget = slow_start_pacer.SlowStartPacer(rng.getrandbits(32))
        self._peer_in_flight_by_tag: Mapping[int, float] = {}
        self._host_count = UNHEARD_HOSTS
        self.has_urgent_report = False

    def apply_peer_reports(
        self,
        in_flight_by_tag: Mapping[int, float],
        avoid_ms_by_tag: Mapping[int, int],
        now_ms: int,
    ) -> None:
        """Takes what other hosts have seen of upstreams.

        Args:
            in_flight_by_tag: The in-flight requests at each upstream.
            avoid_ms_by_tag: How much longer some peer avoids each upstream.
            now_ms: The current time.
        """
        self._peer_in_flight_by_tag = in_flight_by_tag
        for tag, silent_ms in avoid_ms_by_tag.items():
            entry = self._table.by_tag(tag)
            if entry is not None and silent_ms > 0:
                self._passive_health.note_peer(
                    entry.upstream.upstream_id, silent_ms, now_ms
                )

    def set_host_count(self, host_count: int, *, are_joining: bool) -> None:
        """Takes the number of hosts.

        Args:
            host_count: How many hosts there may be, this one included.
            are_joining: Whether some may not have been heard yet, so that the
                number may only grow.
        """
        self._host_count = (
            max(host_count, self._host_count) if are_joining else host_count
        )

    def note_answered(self, entry: upstream_table.Entry, now_ms: int) -> None:
        """Notes that an upstream has answered an opening."""
        self._passive_health.note_answered(entry.upstream.upstream_id, now_ms)
        entry.alive_ms = now_ms

    def note_silent(
        self, entry: upstream_table.Entry, sent_ms: int, now_ms: int
    ) -> None:
        """Notes that an upstream did not answer an opening.

        Args:
            entry: The upstream.
            sent_ms: When the opening was sent to it.
            now_ms: The current time.
        """
        upstream_id = entry.upstream.upstream_id
        was_avoided = (
            self._passive_health.own_silent_ms(upstream_id, now_ms) > 0
        )
        self._passive_health.note_unanswered(upstream_id, sent_ms, now_ms)
        is_avoided = self._passive_health.own_silent_ms(upstream_id, now_ms) > 0
        if is_avoided and not was_avoided:
            self.has_urgent_report = True

    def silent_openings(self, entry: upstream_table.Entry, now_ms: int) -> int:
        """Returns how many openings in a row an upstream left unanswered.

        Args:
            entry: The upstream.
            now_ms: The current time.

        Returns:
            The number, 1 for the word of a peer, 0 if it is not avoided.
        """
        upstream_id = entry.upstream.upstream_id
        if not self._passive_health.is_avoided(upstream_id, now_ms):
            return 0
        return self._passive_health.unanswered(upstream_id)

    def choose(
        self, service: data.Service, tried: Collection[str], now_ms: int
    ) -> upstream_table.Entry | None:
        """Returns the upstream for a new flow, None if none may get it.

        Args:
            service: The service.
            tried: The identities of upstreams that are not to get it.
            now_ms: The current time.
        """
        candidates: list[selection_policy.Candidate] = []
        for entry in self._table.takers(service.name, now_ms):
            is_cold = entry.is_cold(now_ms)
            if is_cold and not self._budget.has_room(
                entry.upstream.upstream_id, service, self._host_count, now_ms
            ):
                continue
            silent_openings = self.silent_openings(entry, now_ms)
            candidates.append(
                selection_policy.Candidate(
                    entry, self.busy(entry), silent_openings, is_cold
                )
            )
        chosen = selection_policy.choose(
            candidates, self._data_centre, tried, self._rng
        )
        if chosen is None:
            return None
        if chosen.is_cold:
            upstream_id = chosen.entry.upstream.upstream_id
            self._budget.take(upstream_id, service, self._host_count, now_ms)
        return chosen.entry

    def busy(self, entry: upstream_table.Entry) -> float:
        """Returns how many requests an upstream has in progress, all told."""
        upstream_id = entry.upstream.upstream_id
        own = self._flows.busy(upstream_id) + self._half_open_flows.count(
            upstream_id
        )
        return own + self._peer_in_flight_by_tag.get(entry.tag, 0.0)

    def has_free_slot(self, entry: upstream_table.Entry) -> bool:
        """Whether an upstream is believed to work on a request at once."""
        return self.busy(entry) < entry.upstream.slots

    def upstream_reports(
        self, now_ms: int
    ) -> tuple[peer_data.UpstreamReport, ...]:
        """Returns what this host has seen of upstreams, for other hosts.

        Args:
            now_ms: The current time.
        """
        reports: list[peer_data.UpstreamReport] = []
        for upstream_id, entry in self._table.by_id.items():
            busy = self._flows.busy(upstream_id)
            silent_ms = self._passive_health.own_silent_ms(upstream_id, now_ms)
            if busy or silent_ms:
                reports.append(
                    peer_data.UpstreamReport(entry.tag, busy, silent_ms)
                )
        return tuple(reports)

    def forget(self, upstream_id: str) -> None:
        """Drops what is known of an upstream that is gone."""
        self._passive_health.forget(upstream_id)
        self._budget.forget(upstream_id)
