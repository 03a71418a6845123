"""The state that the parts of the membership protocol share."""

import dataclasses
import random

from sapphire_core.membership import data
from sapphire_core.membership import fact_table
from sapphire_core.membership import freshness
from sapphire_core.membership import member_table
from sapphire_core.membership import outbox
from sapphire_core.membership import prepared_table
from sapphire_core.membership import reachability
from sapphire_core.membership import suspicion
from sapphire_data import records


@dataclasses.dataclass(slots=True)
class State:
    """The membership state of one host.

    Attributes:
        settings: The settings of the membership.
        rng: The source of random choices.
        own: The entry of this host.
        members: All known hosts, this one included.
        facts: The versioned facts.
        prepared: Which hosts of the own data centre have prepared which
            configuration revision.
        freshness: Whether the view of this host is fresh.
        reachability: Which other data centres can be reached.
        outbox: The actions to return and the updates to disseminate.
        suspicions: The suspected hosts of the own data centre.
        seeds: Addresses of other hosts from the settings.
        listed_seeds: Addresses of hosts from the platform's host list.
        is_declared_dead: Whether peers have declared this host dead and it has
            not yet rejoined.
    """

    settings: data.Settings
    rng: random.Random
    own: data.MemberEntry
    members: member_table.MemberTable
    facts: fact_table.FactTable
    prepared: prepared_table.PreparedTable
    freshness: freshness.Freshness
    reachability: reachability.Reachability
    outbox: outbox.Outbox
    suspicions: suspicion.Suspicions
    seeds: tuple[data.Seed, ...] = ()
    listed_seeds: tuple[data.Seed, ...] = ()
    is_declared_dead: bool = False
    _cached_relays_by_data_centre: dict[str, list[str]] = dataclasses.field(
        default_factory=dict
    )
    _cached_local_peer_ids: list[str] | None = None

    def new_message(
        self, kind: data.MessageKind, number: int, subject: str = ""
    ) -> data.GossipMessage:
        """Returns a message from this host, without updates."""
        return data.GossipMessage(
            kind=kind,
            number=number,
            origin=self.own,
            subject=subject,
            digest=self.digest(),
        )

    def digest(self) -> int:
        """Returns the digest of live hosts and global facts without a TTL."""
        return self.members.digest ^ self.facts.digest

    def is_remote(self, entry: data.MemberEntry) -> bool:
        """Returns whether a host is in another data centre."""
        return entry.host.data_centre != self.own.host.data_centre

    def local_peer_ids(self) -> list[str]:
        """Returns the other live hosts of the own data centre, in order."""
        if self._cached_local_peer_ids is None:
            live_ids = self.members.live_ids(self.own.host.data_centre)
            self._cached_local_peer_ids = sorted(
                live_ids - {self.own.host.host_id}
            )
        return self._cached_local_peer_ids

    def sample_local_peers(
        self, count: int, excluded_id: str = ""
    ) -> list[str]:
        """Returns random live peers in the own data centre.

        Args:
            count: The maximum number of peers.
            excluded_id: A host that is not to be returned, or empty.
        """
        candidates = self.local_peer_ids()
        selected = candidates
        if len(candidates) > count + 1:
            selected = self.rng.sample(candidates, count + 1)
        selected = [name for name in selected if name != excluded_id]
        return selected[:count]

    def other_data_centres(self) -> list[str]:
        """Returns the other data centres that have live hosts, in order."""
        live = self.members.live_ids_by_data_centre
        own = self.own.host.data_centre
        return sorted(name for name in live if live[name] and name != own)

    def reachable_data_centres(self) -> list[str]:
        """Returns the other data centres that have live, reachable hosts."""
        unreachable = self.reachability.unreachable
        return [
            name
            for name in self.other_data_centres()
            if name not in unreachable
        ]

    def relays(self, data_centre: str) -> list[str]:
        """Returns the relays of a data centre, selected by rendezvous hashing.

        Leaving hosts are not selected.
        """
        relays = self._cached_relays_by_data_centre.get(data_centre)
        if relays is None:
            candidates = {
                host_id
                for host_id in self.members.live_ids(data_centre)
                if self.members.entries_by_id[host_id].state
                is not records.MemberState.LEAVING
            }
            order = member_table.rendezvous_order(candidates, "relay")
            relays = order[: self.settings.relay_count]
            self._cached_relays_by_data_centre[data_centre] = relays
        return relays

    def is_relay(self) -> bool:
        """Returns whether this host is a relay of its data centre."""
        own = self.own.host
        return own.host_id in self.relays(own.data_centre)

    def has_listed_peers(self) -> bool:
        """Returns whether the settings or the host list name another host."""
        own = self.own.host
        own_seed = data.Seed(own.address, own.control_port)
        return any(seed != own_seed for seed in self.seeds + self.listed_seeds)

    def is_alone(self) -> bool:
        """Returns whether this host knows no other live and reachable host."""
        if self.local_peer_ids():
            return False
        return not self.reachable_data_centres()

    def invalidate_caches(self, data_centre: str) -> None:
        """Invalidates what was computed from the hosts of a data centre."""
        self._cached_relays_by_data_centre.pop(data_centre, None)
        if data_centre == self.own.host.data_centre:
            self._cached_local_peer_ids = None
