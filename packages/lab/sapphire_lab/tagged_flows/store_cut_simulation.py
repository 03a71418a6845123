"""Simulates a fleet some of whose hosts are cut off from the store.

Hosts call the store as `sapphire_node.entry.store_follower` does. One that is
cut off gets no response, nor an error.
"""

import dataclasses

from sapphire_core.peers import data
from sapphire_core.peers import notice_schedule
from sapphire_core.replication import data as replication_data
from sapphire_lab.tagged_flows import heartbeat_simulation
from sapphire_lab.tagged_flows import host_builders
from sapphire_node.entry import call_backoff
from sapphire_node.entry import change_puller
from sapphire_node.entry import host_state
from sapphire_node.entry import store_follower

# A call over a new connection.
CALL_MS = 20
# From a heartbeat that names a newer revision to the changes themselves.
PULL_MS = 60
INTENT = replication_data.Scope.INTENT


@dataclasses.dataclass(slots=True)
class _Call:
    """A call that waits for its response.

    Attributes:
        answer_ms: When the store answers, unless there are changes before.
        deadline_ms: When the host gives the call up.
        is_lost: Whether the host was cut off meanwhile.
    """

    answer_ms: int
    deadline_ms: int
    is_lost: bool = False


class _StoreAccess:
    """How a host follows the store.

    Attributes:
        state: The state of the host.
        is_cut_off: Whether the store is out of its reach.
        calls_by_scope: The calls that wait for a response.
        next_call_ms_by_scope: When the next calls are made.
        notices: The heartbeats that are sent at once.
        pull_ms: When the changes of a peer arrive; None without a pull.
        known_ms: When the host got the newest change.
    """

    def __init__(self) -> None:
        self.state = host_builders.state()
        self.is_cut_off = False
        self.calls_by_scope: dict[replication_data.Scope, _Call] = {}
        self.next_call_ms_by_scope: dict[replication_data.Scope, int] = {}
        self.notices = notice_schedule.NoticeSchedule()
        self.pull_ms: int | None = None
        self.known_ms = 0


class StoreCutSimulation(heartbeat_simulation.HeartbeatSimulation):
    """A fleet in which hosts may be cut off from the store.

    Attributes:
        revision: The revision of the newest change of the configuration.
        calls: How many calls the hosts have made.
    """

    def __init__(self, host_count: int, seed: int) -> None:
        super().__init__(host_count, seed)
        self.revision = 0
        self.calls = 0
        self._access_by_host = {
            host.contact.host: _StoreAccess() for host in self.hosts
        }

    def followers(self) -> list[heartbeat_simulation.Host]:
        """Returns the hosts that follow the store, cut off or not."""
        return [host for host in self.hosts if self.own_claim(host) is not None]

    def next_to_follow(self, count: int) -> list[heartbeat_simulation.Host]:
        """Returns the hosts that rank first of those that do not follow."""
        others = [host for host in self.hosts if self.own_claim(host) is None]
        return sorted(
            others, key=lambda host: host.table.followers.rank_fraction
        )[:count]

    def cut_off(self, hosts: list[heartbeat_simulation.Host]) -> None:
        """Cuts hosts off from the store, calls that wait included."""
        for host in hosts:
            self._access_by_host[host.contact.host].is_cut_off = True

    def change(self) -> None:
        """Lets the store acknowledge a change of the configuration."""
        self.revision += 1

    def slowest_ms(self) -> int:
        """Returns when the last host in reach of the store got the change."""
        slowest_ms = 0
        for host in self.hosts:
            access = self._access_by_host[host.contact.host]
            if access.is_cut_off or host.is_dead:
                continue
            if host.revision < self.revision:
                return self.now_ms
            slowest_ms = max(slowest_ms, access.known_ms)
        return slowest_ms

    def own_claim(
        self, host: heartbeat_simulation.Host
    ) -> data.FollowerClaim | None:
        """See `HeartbeatSimulation`."""
        state = self._access_by_host[host.contact.host].state
        return state.follower_claim(self.now_ms)

    def set_must_follow(
        self, host: heartbeat_simulation.Host, *, must_follow: bool
    ) -> None:
        """See `HeartbeatSimulation`."""
        state = self._access_by_host[host.contact.host].state
        state.set_must_follow_store(must_follow)

    def handle_revision(
        self, host: heartbeat_simulation.Host, heartbeat: data.Heartbeat
    ) -> None:
        """See `HeartbeatSimulation`."""
        access = self._access_by_host[host.contact.host]
        if heartbeat.revisions[INTENT] <= host.revision:
            return
        if access.pull_ms is not None:
            return
        access.pull_ms = self.now_ms + PULL_MS
        if access.state.must_follow_store:
            access.pull_ms += change_puller.FOLLOWER_PULL_DELAY_MS

    def run_calls(self) -> None:
        """See `HeartbeatSimulation`."""
        for host in self.hosts:
            if host.is_dead:
                continue
            access = self._access_by_host[host.contact.host]
            for scope in host_state.ROUTING_SCOPES:
                self._follow(host, access, scope)
            if access.pull_ms is not None and self.now_ms >= access.pull_ms:
                access.pull_ms = None
                self._learn(host, access, is_from_store=False)
            notices = access.notices
            if notices.is_due and notices.request(
                self.now_ms, is_for_remote=False
            ):
                self._notify(host, access)

    def _follow(
        self,
        host: heartbeat_simulation.Host,
        access: _StoreAccess,
        scope: replication_data.Scope,
    ) -> None:
        """Makes, answers or gives up a call of one scope."""
        state = access.state
        if not state.must_follow_store:
            state.followed_scopes.discard(scope)
            access.calls_by_scope.pop(scope, None)
            return
        call = access.calls_by_scope.get(scope)
        if call is None:
            if self.now_ms >= access.next_call_ms_by_scope.get(scope, 0):
                self._begin_call(access, scope)
            return
        call.is_lost |= access.is_cut_off
        if call.is_lost:
            if self.now_ms >= call.deadline_ms:
                del access.calls_by_scope[scope]
                state.followed_scopes.discard(scope)
                access.next_call_ms_by_scope[scope] = (
                    self.now_ms + call_backoff.BACKOFF_MIN_MS
                )
            return
        has_changes = scope is INTENT and host.revision < self.revision
        if not has_changes and self.now_ms < call.answer_ms:
            return
        del access.calls_by_scope[scope]
        state.followed_scopes.add(scope)
        state.store_answer_ms_by_scope[scope] = self.now_ms
        access.next_call_ms_by_scope[scope] = (
            self.now_ms + store_follower.pause_ms(scope)
        )
        if has_changes:
            self._learn(host, access, is_from_store=True)

    def _begin_call(
        self, access: _StoreAccess, scope: replication_data.Scope
    ) -> None:
        wait_ms = store_follower.watch_wait_ms(
            scope, is_confirmed=scope in access.state.followed_scopes
        )
        answer_ms = self.now_ms + wait_ms + CALL_MS
        access.calls_by_scope[scope] = _Call(
            answer_ms,
            self.now_ms + wait_ms + call_backoff.ANSWER_TIMEOUT_MS,
        )
        self.calls += 1

    def _learn(
        self,
        host: heartbeat_simulation.Host,
        access: _StoreAccess,
        *,
        is_from_store: bool,
    ) -> None:
        """Records the newest change and tells the peers."""
        host.revision = self.revision
        access.known_ms = self.now_ms
        state = access.state
        is_for_remote = state.is_following_store or (
            state.must_follow_store and is_from_store
        )
        if access.notices.request(self.now_ms, is_for_remote=is_for_remote):
            self._notify(host, access)

    def _notify(
        self, host: heartbeat_simulation.Host, access: _StoreAccess
    ) -> None:
        """Sends the heartbeat that is due at once."""
        receivers = host.table.near_targets()
        if access.notices.is_for_remote:
            receivers = receivers + host.table.remote_targets(
                self.now_ms, is_follower=True
            )
        access.notices.record_sent(self.now_ms)
        self.send(host, receivers)
