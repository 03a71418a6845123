"""The state that the parts of the membership share."""

import dataclasses
import random

from sapphire_core.membership import data
from sapphire_core.membership import fact_table
from sapphire_core.membership import freshness
from sapphire_core.membership import outbox
from sapphire_core.membership import prepared
from sapphire_core.membership import reachability
from sapphire_core.membership import roster
from sapphire_core.membership import suspicion
from sapphire_data import records

# Deaths of this host that are forgiven after this time without another.
_DEATH_WINDOW_MS = 60_000


@dataclasses.dataclass(slots=True)
class State:
    """What one host knows.

    Attributes:
        settings: The settings.
        rng: The source of random choices.
        own: The entry of this host.
        hosts: All known hosts, this one included.
        facts: The versioned facts.
        prepared: The prepared revisions in the own data centre.
        freshness: The confirmations by peers.
        reachability: The other data centres that can be reached.
        outbox: The actions and the news to pass on.
        suspicions: The suspected hosts of the own data centre.
        seeds: Addresses from the settings.
        listed: Addresses from the platform's list.
        rejoin_ms: When this host returns after it was declared dead.
        deaths: How often it was declared dead lately.
        death_ms: When it was declared dead last.
        pushed_ms: The time of the last push of news.
    """

    settings: data.Settings
    rng: random.Random
    own: data.MemberEntry
    hosts: roster.Roster
    facts: fact_table.FactTable
    prepared: prepared.PreparedTable
    freshness: freshness.Freshness
    reachability: reachability.Reachability
    outbox: outbox.Outbox
    suspicions: suspicion.Suspicions
    seeds: tuple[data.Seed, ...] = ()
    listed: tuple[data.Seed, ...] = ()
    rejoin_ms: int | None = None
    deaths: int = 0
    death_ms: int = 0
    pushed_ms: int | None = None
    _relays_by_data_centre: dict[str, list[str]] = dataclasses.field(
        default_factory=dict
    )
    _local_peers: list[str] | None = None

    def __post_init__(self) -> None:
        """Enters this host into its own roster."""
        self.hosts.merge(self.own, 0)
        self._on_roster_change(self.own, 0)

    def message(
        self, kind: data.MessageKind, number: int, subject: str = ""
    ) -> data.GossipMessage:
        """Returns a message of this host without news."""
        return data.GossipMessage(
            kind=kind,
            number=number,
            origin=self.own,
            subject=subject,
            digest=self.digest(),
        )

    def digest(self) -> int:
        """Returns the digest of the known hosts and lasting facts."""
        return self.hosts.digest ^ self.facts.digest

    def is_remote(self, entry: data.MemberEntry) -> bool:
        """Returns whether a host is in another data centre."""
        return entry.host.data_centre != self.own.host.data_centre

    def local_peer_ids(self) -> list[str]:
        """Returns the other live hosts of the own data centre, in order."""
        if self._local_peers is None:
            live_ids = self.hosts.live_ids(self.own.host.data_centre)
            self._local_peers = sorted(live_ids - {self.own.host.host_id})
        return self._local_peers

    def other_data_centres(self) -> list[str]:
        """Returns the other data centres that have live hosts, in order."""
        live = self.hosts.live_ids_by_data_centre
        own = self.own.host.data_centre
        return sorted(name for name in live if live[name] and name != own)

    def relays(self, data_centre: str) -> list[str]:
        """Returns the relays of a data centre by rendezvous."""
        relays = self._relays_by_data_centre.get(data_centre)
        if relays is None:
            candidates = {
                host_id
                for host_id in self.hosts.live_ids(data_centre)
                if self.hosts.entries_by_id[host_id].state
                is not records.MemberState.LEAVING
            }
            order = roster.rendezvous_order(candidates, "relay")
            relays = order[: self.settings.relay_count]
            self._relays_by_data_centre[data_centre] = relays
        return relays

    def is_relay(self) -> bool:
        """Returns whether this host is a relay of its data centre."""
        own = self.own.host
        return own.host_id in self.relays(own.data_centre)

    def has_listed_peers(self) -> bool:
        """Returns whether settings or the list name another host."""
        own = self.own.host
        own_seed = data.Seed(own.address, own.control_port)
        return any(seed != own_seed for seed in self.seeds + self.listed)

    def is_alone(self) -> bool:
        """Returns whether no other live host is known in reach."""
        if len(self.hosts.live_ids(self.own.host.data_centre)) > 1:
            return False
        unreachable = self.reachability.unreachable
        return all(name in unreachable for name in self.other_data_centres())

    def merge_member(
        self,
        entry: data.MemberEntry,
        now_ms: int,
        is_remote: bool,
        is_direct: bool = False,
        is_sync: bool = False,
    ) -> None:
        """Merges a statement about a host.

        Args:
            entry: The statement.
            now_ms: The time in milliseconds.
            is_remote: Whether another data centre told it.
            is_direct: Whether the host itself told it.
            is_sync: Whether it came in a page of the whole state.
        """
        if entry.host.host_id == self.own.host.host_id:
            self._refute(entry, now_ms)
            return
        for change in self.hosts.merge(entry, now_ms, is_direct):
            self._on_roster_change(change.entry, now_ms)
            if is_sync and not self.freshness.is_joined:
                continue
            host_id = change.entry.host.host_id
            self.outbox.add_member_news(host_id, is_remote)
        self.freshness.set_alone(self.is_alone(), now_ms)

    def merge_fact(
        self, fact: data.FactEntry, now_ms: int, is_remote: bool
    ) -> None:
        """Merges a fact that another host told."""
        merged = self.facts.merge(fact, now_ms)
        if merged.is_error():
            self.outbox.add(data.Rejected(merged.error))
            return
        if not merged.ok:
            return
        self.note_fact(fact, is_remote)
        if fact.key == reachability.prepared_key(self.own.host.data_centre):
            self.prepared.set_complete(fact.version)
        self.freshness.set_alone(self.is_alone(), now_ms)

    def note_fact(self, fact: data.FactEntry, is_remote: bool) -> None:
        """Reports and passes on a fact that is new here."""
        self.outbox.add_fact_news(fact.key, is_remote)
        self.outbox.add(data.FactChanged(fact.key, fact.version, fact.value))
        self.reachability.take_fact(fact)

    def merge_prepared(
        self, entries: tuple[data.PreparedEntry, ...], now_ms: int
    ) -> None:
        """Merges which hosts of the data centre have prepared revisions."""
        is_changed = False
        for entry in entries:
            is_changed = self.prepared.merge(entry) or is_changed
        if not is_changed:
            return
        self.note_complete(now_ms)

    def note_complete(self, now_ms: int) -> None:
        """States a revision that the whole data centre has prepared."""
        revision = self.prepared.complete_revision
        key = reachability.prepared_key(self.own.host.data_centre)
        fact = data.FactEntry(key, revision, b"")
        if not revision:
            return
        if self.facts.merge(fact, now_ms).default_value(False):
            self.note_fact(fact, is_remote=False)

    def replace_own(self, entry: data.MemberEntry, now_ms: int) -> None:
        """Replaces the entry of this host and passes it on."""
        self.own = entry
        self.hosts.merge(entry, now_ms)
        self._on_roster_change(entry, now_ms)
        self.outbox.add_member_news(entry.host.host_id, is_remote=False)

    def push_news(self, now_ms: int) -> None:
        """Pushes news to a few peers, at most once in an interval."""
        settings = self.settings
        if not self.outbox.news.has_hot:
            return
        pushed_ms = self.pushed_ms
        interval_ms = settings.push_interval_ms
        if pushed_ms is not None and now_ms - pushed_ms < interval_ms:
            return
        if not self.outbox.rate.has_tokens(now_ms):
            return
        self.pushed_ms = now_ms
        target_ids = self.pick_local(settings.push_fanout)
        target_ids.extend(self._relay_targets())
        targets = [self.hosts.entries_by_id[name].host for name in target_ids]
        message = self.message(data.MessageKind.RUMOR, 0)
        self.outbox.push(targets, message, now_ms)

    def push_prepared(self, now_ms: int) -> None:
        """Tells one peer who has prepared the open revisions."""
        peer_id = self.prepared.next_push(
            now_ms, self.settings.push_interval_ms
        )
        if peer_id is None:
            return
        message = dataclasses.replace(
            self.message(data.MessageKind.RUMOR, 0),
            prepared=tuple(self.prepared.entries()),
        )
        target = self.hosts.entries_by_id[peer_id].host
        self.outbox.send(target, message, now_ms)

    def _relay_targets(self) -> list[str]:
        """Returns the relays elsewhere that this host, as a relay, serves.

        Each relay serves the one of its own rank, so that two paths lead to
        each data centre and each carries news once.
        """
        own = self.own.host
        own_relays = self.relays(own.data_centre)
        if own.host_id not in own_relays:
            return []
        rank = own_relays.index(own.host_id)
        target_ids: list[str] = []
        for name in self.other_data_centres():
            relay_ids = self.relays(name)
            if relay_ids:
                target_ids.append(relay_ids[rank % len(relay_ids)])
        return target_ids

    def pick_local(self, count: int, excluded_id: str = "") -> list[str]:
        """Returns random live peers of the own data centre."""
        candidates = self.local_peer_ids()
        chosen = candidates
        if len(candidates) > count + 1:
            chosen = self.rng.sample(candidates, count + 1)
        chosen = [name for name in chosen if name != excluded_id]
        return chosen[:count]

    def rejoin_if_due(self, now_ms: int) -> None:
        """Returns to the membership after a death that was not one."""
        if self.rejoin_ms is None or now_ms < self.rejoin_ms:
            return
        self.rejoin_ms = None
        self.replace_own(
            dataclasses.replace(self.own, incarnation=self.own.incarnation + 1),
            now_ms,
        )

    def forget_old(self, now_ms: int) -> None:
        """Forgets old deaths and expired facts."""
        self.hosts.forget_dead(now_ms - self.settings.dead_retention_ms)
        self.facts.expire(now_ms)

    def _refute(self, entry: data.MemberEntry, now_ms: int) -> None:
        """Contradicts a wrong statement about this host."""
        if entry.incarnation < self.own.incarnation:
            return
        if entry.state is records.MemberState.DEAD:
            self._schedule_rejoin(entry, now_ms)
            return
        is_wrong = entry.state is records.MemberState.SUSPECT
        if not is_wrong and entry.incarnation == self.own.incarnation:
            return
        self.replace_own(
            dataclasses.replace(self.own, incarnation=entry.incarnation + 1),
            now_ms,
        )

    def _schedule_rejoin(self, entry: data.MemberEntry, now_ms: int) -> None:
        """Plans the return of this host, later after each death."""
        if self.own.state is records.MemberState.LEAVING:
            return
        if self.rejoin_ms is not None:
            return
        settings = self.settings
        if now_ms - self.death_ms > _DEATH_WINDOW_MS:
            self.deaths = 0
        delay_ms = 0
        if self.deaths:
            delay_ms = settings.rejoin_backoff_ms << min(self.deaths - 1, 10)
        self.deaths += 1
        self.death_ms = now_ms
        self.own = dataclasses.replace(self.own, incarnation=entry.incarnation)
        self.rejoin_ms = now_ms + min(delay_ms, settings.max_rejoin_backoff_ms)
        self.rejoin_if_due(now_ms)

    def _on_roster_change(self, entry: data.MemberEntry, now_ms: int) -> None:
        """Follows a change of the roster in what derives from it."""
        self._relays_by_data_centre.pop(entry.host.data_centre, None)
        if self.is_remote(entry):
            return
        self._local_peers = None
        if entry.host.host_id != self.own.host.host_id:
            self.suspicions.on_change(entry, now_ms)
        live_ids = self.hosts.live_ids(entry.host.data_centre)
        if self.prepared.set_roster(live_ids):
            self.note_complete(now_ms)
