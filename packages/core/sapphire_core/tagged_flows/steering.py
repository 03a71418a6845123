"""The decisions of one host about packets whose flows carry tags."""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import random

import xxhash

from sapphire_core.tagged_flows import data
from sapphire_core.tagged_flows import dead_upstreams
from sapphire_core.tagged_flows import deferred_flows
from sapphire_core.tagged_flows import flow_table
from sapphire_core.tagged_flows import half_open_flows as half_open_flows_lib
from sapphire_core.tagged_flows import upstream_selector
from sapphire_core.tagged_flows import upstream_table

# An answered opening takes two crossings between caller, host and upstream
# and back: up to 15 ms on the users' networks.
ANSWER_TIMEOUT_MS = 40
# While hosts join or leave, the caller's answer may pass through another host
# than its opening did, so only a copy from the caller tells of silence. The
# fabric asks twice a second whether a host is ready, and takes two misses.
MEMBERSHIP_GRACE_MS = 1_500
# An opening goes to this many upstreams of itself, and to another one with each
# copy from the caller.
MAX_TRIES = 3
# The network may deliver a packet twice within this time; callers send no
# copy that early.
DOUBLE_MS = 100
# A longer pause between two calls of `tick` (every 10 ms) means that this host
# stood still; answers that came meanwhile wait to be read.
PAUSE_MS = 60


@dataclasses.dataclass(slots=True)
class Decision:
    """What was decided about one packet, and why, for logs and counters.

    Attributes:
        verdict: What happened to the packet.
        flow_id: The flow.
        upstream_id: The upstream concerned, empty for none.
        service: The service concerned, empty for none.
        detail: The inputs that decided, by name.
    """

    verdict: data.Verdict
    flow_id: data.FlowId
    upstream_id: str
    service: str
    detail: dict[str, str | int | float]


Report = Callable[[Decision], None]


class Steering:
    """Places new flows, and sends packets of open flows by their tags.

    Args:
        data_centre: The data centre of this host.
        rng: Decides between equal upstreams.
        report: Is told each decision that touches the life of a flow.
    """

    def __init__(
        self, data_centre: str, rng: random.Random, report: Report
    ) -> None:
        self._report = report
        self._configuration: data.Configuration | None = None
        self._half_open_flows = half_open_flows_lib.HalfOpenFlows()
        self._deferred_flows = deferred_flows.DeferredFlows()
        self.upstream_table = upstream_table.UpstreamTable()
        self.flow_table = flow_table.FlowTable()
        self.selector = upstream_selector.UpstreamSelector(
            data_centre,
            rng,
            self.upstream_table,
            self.flow_table,
            self._half_open_flows,
        )
        self._ticked_ms = 0
        self._membership_grace_until_ms = 0

    @property
    def configuration(self) -> data.Configuration | None:
        """The configuration in force here, None before the first."""
        return self._configuration

    def configure(self, configuration: data.Configuration) -> bool:
        """Takes a configuration unless it is older than the one in force.

        Args:
            configuration: The configuration.

        Returns:
            Whether it is now in force.
        """
        current = self._configuration
        if current is not None and configuration.version <= current.version:
            return False
        self._configuration = configuration
        return True

    def has_upstreams(self, now_ms: int) -> bool:
        """Whether any service of the configuration has an upstream.

        Args:
            now_ms: The current time.
        """
        if self._configuration is None:
            return False
        for service in self._configuration.services_by_name:
            if self.upstream_table.takers(service, now_ms):
                return True
        return False

    def handle(self, packet: data.Packet, now_ms: int) -> data.Action:
        """Decides about one packet of a caller.

        Args:
            packet: The packet.
            now_ms: The current time.

        Returns:
            What to send.
        """
        if not self.has_pending:
            # No tick was due before; that is no pause of this host.
            self._ticked_ms = now_ms
        if packet.is_opening:
            return self._open(packet, now_ms)
        return self._continue(packet, now_ms)

    @property
    def has_pending(self) -> bool:
        """Whether openings wait for an answer or for a free slot."""
        return len(self._half_open_flows) > 0 or len(self._deferred_flows) > 0

    def tick(self, now_ms: int) -> list[data.Action]:
        """Sends unanswered openings elsewhere.

        To be called every 10 ms while `has_pending`.

        Args:
            now_ms: The current time.

        Returns:
            What to send.
        """
        actions: list[data.Action] = []
        pause_ms = now_ms - self._ticked_ms
        self._ticked_ms = now_ms
        if pause_ms > PAUSE_MS:
            self._half_open_flows.postpone(pause_ms)
        actions.extend(self._resend(now_ms))
        if len(self._deferred_flows) > 0:
            actions.extend(self._release(now_ms))
        for opening in self._half_open_flows.expire(now_ms):
            self._tell(
                data.Verdict.UNANSWERED,
                opening.packet,
                opening.tried[-1],
                tries=len(opening.tried),
            )
        return actions

    def _resend(self, now_ms: int) -> list[data.Action]:
        """Sends openings whose upstream is silent to others."""
        actions: list[data.Action] = []
        for opening in self._half_open_flows.unanswered(
            now_ms, ANSWER_TIMEOUT_MS
        ):
            action = self._try_next(opening, now_ms, is_asked_again=False)
            if action is not None:
                actions.append(action)
        return actions

    def apply_peer_reports(
        self,
        in_flight_by_tag: Mapping[int, float],
        avoid_ms_by_tag: Mapping[int, int],
        host_count: int,
        now_ms: int,
    ) -> None:
        """Takes what other hosts have seen of upstreams.

        Args:
            in_flight_by_tag: The in-flight requests at each upstream.
            avoid_ms_by_tag: How much longer some peer avoids each upstream.
            host_count: How many hosts there may be, this one included.
            now_ms: The current time.
        """
        self.selector.apply_peer_reports(
            in_flight_by_tag, avoid_ms_by_tag, now_ms
        )
        self.selector.set_host_count(
            host_count, are_joining=now_ms < self._membership_grace_until_ms
        )

    def record_membership_change(self, now_ms: int) -> None:
        """Notes that a host joins or leaves, so that flows change hosts.

        Args:
            now_ms: The current time.
        """
        self._membership_grace_until_ms = now_ms + MEMBERSHIP_GRACE_MS
        self._half_open_flows.record_membership_change()

    @property
    def deferred_count(self) -> int:
        """How many openings give way to others."""
        return len(self._deferred_flows)

    def sweep(self, now_ms: int) -> None:
        """Forgets old state; to be called every 100 ms or so.

        Args:
            now_ms: The current time.
        """
        idle_ms = upstream_table.FLOW_LIFE_MS
        if self._configuration is not None:
            idle_ms = self._configuration.idle_timeout_ms
        self.flow_table.expire(now_ms, idle_ms)
        for upstream_id in self.upstream_table.evict_expired(now_ms):
            self.selector.forget(upstream_id)

    def _open(self, packet: data.Packet, now_ms: int) -> data.Action:
        """Decides about an opening packet, the first copy or a later one."""
        record = self.flow_table.get(packet.flow_id)
        if record is not None:
            if _may_be_copy(packet, record, now_ms):
                return data.Forward(
                    packet, record.entry.upstream, record.entry.tag
                )
            # The caller uses its port for another flow.
            self.flow_table.close(packet.flow_id)
        opening = self._half_open_flows.get(packet.flow_id)
        if opening is not None:
            return self._open_again(opening, packet, now_ms)
        waiter = self._deferred_flows.get(packet.flow_id)
        if waiter is not None:
            waiter.packet = packet
            return data.Defer(packet)
        route = self._route_for(packet)
        service = self._service_for(packet, route)
        if route is None or service is None:
            self._tell(data.Verdict.NO_ROUTE, packet, None)
            return data.Reset(packet, data.Verdict.NO_ROUTE)
        refused = self._half_open_flows.tried_for_caller(packet, now_ms)
        entry = self.selector.choose(service, refused, now_ms)
        if entry is None and refused:
            entry = self.selector.choose(service, (), now_ms)
        if entry is None:
            self._tell(
                data.Verdict.NO_UPSTREAM, packet, None, wanted=service.name
            )
            return data.Reset(packet, data.Verdict.NO_UPSTREAM)
        if (
            deferred_flows.is_late(packet, route)
            and not self.selector.has_free_slot(entry)
            and self._deferred_flows.has_room()
        ):
            self._deferred_flows.add(packet, service, route.priority, now_ms)
            self._tell(
                data.Verdict.DEFERRED,
                packet,
                entry,
                copy=packet.acknowledged,
                busy=round(self.selector.busy(entry), 1),
                waiting=len(self._deferred_flows),
            )
            return data.Defer(packet)
        return self._start(packet, service, entry, now_ms)

    def _start(
        self,
        packet: data.Packet,
        service: data.Service,
        entry: upstream_table.Entry,
        now_ms: int,
    ) -> data.Action:
        """Sends an opening to its first upstream."""
        opening = half_open_flows_lib.HalfOpenFlow(
            packet, service.name, now_ms, now_ms, [entry]
        )
        opening.may_go_on_elsewhere = now_ms < self._membership_grace_until_ms
        self._half_open_flows.add(opening)
        self._tell(
            data.Verdict.OPENED,
            packet,
            entry,
            copy=packet.acknowledged,
            busy=round(self.selector.busy(entry), 1),
        )
        return data.Forward(packet, entry.upstream, entry.tag)

    def _release(self, now_ms: int) -> list[data.Action]:
        """Sends openings that gave way while there are free slots."""
        actions: list[data.Action] = []
        full: set[str] = set()
        for waiter in self._deferred_flows.in_order():
            is_due = now_ms >= waiter.until_ms
            if is_due and not waiter.is_last:
                self._deferred_flows.remove(waiter)
                continue
            if waiter.service.name in full and not is_due:
                continue
            entry = self.selector.choose(waiter.service, (), now_ms)
            if entry is None:
                self._deferred_flows.remove(waiter)
                self._tell(
                    data.Verdict.NO_UPSTREAM,
                    waiter.packet,
                    None,
                    wanted=waiter.service.name,
                )
                actions.append(
                    data.Reset(waiter.packet, data.Verdict.NO_UPSTREAM)
                )
                continue
            if not is_due and not self.selector.has_free_slot(entry):
                full.add(waiter.service.name)
                continue
            self._deferred_flows.remove(waiter)
            actions.append(
                self._start(waiter.packet, waiter.service, entry, now_ms)
            )
        return actions

    def _open_again(
        self,
        opening: half_open_flows_lib.HalfOpenFlow,
        packet: data.Packet,
        now_ms: int,
    ) -> data.Action:
        """Decides about a further copy of an opening packet."""
        opening.packet = packet
        opening.copies_seen += 1
        opening.may_go_on_elsewhere = now_ms < self._membership_grace_until_ms
        if now_ms - opening.sent_ms >= ANSWER_TIMEOUT_MS:
            action = self._try_next(opening, now_ms, is_asked_again=True)
            if action is not None:
                return action
        last = opening.tried[-1]
        self._half_open_flows.send(opening, last, now_ms)
        return data.Forward(packet, last.upstream, last.tag)

    def _try_next(
        self,
        opening: half_open_flows_lib.HalfOpenFlow,
        now_ms: int,
        *,
        is_asked_again: bool,
    ) -> data.Action | None:
        """Notes the silence of an upstream and sends the opening to another."""
        last = opening.tried[-1]
        if is_asked_again or len(opening.tried) == 1:
            # The caller of an opening that was sent on may have been reset by
            # its first upstream; then it answers none of the others.
            self.selector.note_silent(last, opening.sent_ms, now_ms)
        self._half_open_flows.fail(opening)
        if len(opening.tried) >= MAX_TRIES + opening.copies_seen:
            return None
        service = self._service_named(opening.service)
        if service is None:
            return None
        entry = self.selector.choose(service, opening.tried_ids, now_ms)
        if entry is None:
            return None
        self._half_open_flows.send(opening, entry, now_ms)
        self._tell(
            data.Verdict.FAILED_OVER,
            opening.packet,
            entry,
            silent=last.upstream.upstream_id,
            waited_ms=now_ms - opening.first_ms,
        )
        return data.Forward(opening.packet, entry.upstream, entry.tag)

    def _continue(self, packet: data.Packet, now_ms: int) -> data.Action:
        """Decides about a packet of a flow that an upstream has answered."""
        record = self.flow_table.get(packet.flow_id)
        if record is None:
            record = self._learn(packet, now_ms)
        if record is None:
            self._tell(data.Verdict.UNKNOWN_TAG, packet, None, tag=packet.tag)
            return data.Drop(packet, data.Verdict.UNKNOWN_TAG)
        self.flow_table.note(packet, record, now_ms)
        entry = record.entry
        if packet.is_reset or (packet.is_closing and not record.is_closed):
            record.is_closed = True
            self._tell(
                data.Verdict.CLOSED,
                packet,
                entry,
                by_reset=int(packet.is_reset),
                age_ms=now_ms - record.opened_ms,
                repeats=record.repeats,
            )
        if packet.is_reset or packet.is_closing:
            return data.Forward(packet, entry.upstream, entry.tag)
        if entry.is_replaced or self._is_lost(record, now_ms):
            self._tell(
                data.Verdict.UPSTREAM_GONE,
                packet,
                entry,
                is_replaced=entry.is_replaced,
                repeats=record.repeats,
                waited_ms=now_ms - record.sent_ms,
                silent_openings=self.selector.silent_openings(entry, now_ms),
            )
            self.flow_table.close(packet.flow_id)
            return data.Reset(packet, data.Verdict.UPSTREAM_GONE)
        return data.Forward(packet, entry.upstream, entry.tag)

    def _learn(
        self, packet: data.Packet, now_ms: int
    ) -> flow_table.FlowRecord | None:
        """Starts the record of a flow from its tag, None if that is unknown."""
        opening = self._half_open_flows.pop(packet.flow_id)
        entry = self.upstream_table.by_tag(packet.tag)
        if entry is None and opening is not None:
            entry = opening.tried[-1]
        if entry is None:
            return None
        if opening is not None and packet.tag == entry.tag:
            self.selector.note_answered(entry, now_ms)
            self._tell(
                data.Verdict.ANSWERED,
                packet,
                entry,
                waited_ms=now_ms - opening.first_ms,
                tries=len(opening.tried),
            )
        return self.flow_table.open(packet.flow_id, entry, now_ms)

    def _is_lost(self, record: flow_table.FlowRecord, now_ms: int) -> bool:
        """Whether the upstream of an open flow is dead."""
        if record.repeats == 0:
            return False
        is_silent = self.selector.silent_openings(record.entry, now_ms) > 0
        return dead_upstreams.is_upstream_dead(
            record, now_ms, is_silent=is_silent
        )

    def _route_for(self, packet: data.Packet) -> data.Route | None:
        """Returns the route of a new flow, None if there is none."""
        if self._configuration is None:
            return None
        return self._configuration.routes_by_endpoint.get(
            packet.flow_id.endpoint
        )

    def _service_for(
        self, packet: data.Packet, route: data.Route | None
    ) -> data.Service | None:
        """Returns the service that a new flow goes to, None without a route.

        All copies of an opening packet get the same one.
        """
        if route is None:
            return None
        if len(route.shares) == 1:
            return self._service_named(route.shares[0].service)
        total = sum(share.weight for share in route.shares)
        point = xxhash.xxh32_intdigest(repr(packet.flow_id).encode()) % total
        for share in route.shares:
            point -= share.weight
            if point < 0:
                return self._service_named(share.service)
        return None

    def _service_named(self, name: str) -> data.Service | None:
        """Returns a service of the configuration, None if it has gone."""
        if self._configuration is None:
            return None
        return self._configuration.services_by_name.get(name)

    def _tell(
        self,
        verdict: data.Verdict,
        packet: data.Packet,
        entry: upstream_table.Entry | None,
        **detail: str | int | float,
    ) -> None:
        """Reports a decision."""
        self._report(
            Decision(
                verdict,
                packet.flow_id,
                entry.upstream.upstream_id if entry is not None else "",
                entry.upstream.service if entry is not None else "",
                detail,
            )
        )


def _may_be_copy(
    packet: data.Packet, record: flow_table.FlowRecord, now_ms: int
) -> bool:
    """Whether an opening packet belongs to a flow that is open already."""
    if packet.acknowledged == 0:
        return now_ms - record.opened_ms < DOUBLE_MS
    return now_ms - record.opened_ms < half_open_flows_lib.OPENING_LIFE_MS
