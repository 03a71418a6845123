"""The state that the parts of the membership share."""

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
    """What one host knows.

    Attributes:
        settings: The settings.
        rng: The source of random choices.
        own: The entry of this host.
        members: All known hosts, this one included.
        facts: The versioned facts.
        prepared: The prepared revisions in the own data centre.
        freshness: The confirmations by peers.
        reachability: The other data centres that can be reached.
        outbox: The actions and the news to pass on.
        suspicions: The suspected hosts of the own data centre.
        seeds: Addresses from the settings.
        listed: Addresses from the platform's list.
        is_declared_dead: Whether peers hold this host as dead and it waits
            before it contradicts them.
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
    listed: tuple[data.Seed, ...] = ()
    is_declared_dead: bool = False
    _relays_by_data_centre: dict[str, list[str]] = dataclasses.field(
        default_factory=dict
    )
    _local_peers: list[str] | None = None

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
        return self.members.digest ^ self.facts.digest

    def is_remote(self, entry: data.MemberEntry) -> bool:
        """Returns whether a host is in another data centre."""
        return entry.host.data_centre != self.own.host.data_centre

    def local_peer_ids(self) -> list[str]:
        """Returns the other live hosts of the own data centre, in order."""
        if self._local_peers is None:
            live_ids = self.members.live_ids(self.own.host.data_centre)
            self._local_peers = sorted(live_ids - {self.own.host.host_id})
        return self._local_peers

    def pick_local(self, count: int, excluded_id: str = "") -> list[str]:
        """Returns random live peers of the own data centre."""
        candidates = self.local_peer_ids()
        chosen = candidates
        if len(candidates) > count + 1:
            chosen = self.rng.sample(candidates, count + 1)
        chosen = [name for name in chosen if name != excluded_id]
        return chosen[:count]

    def other_data_centres(self) -> list[str]:
        """Returns the other data centres that have live hosts, in order."""
        live = self.members.live_ids_by_data_centre
        own = self.own.host.data_centre
        return sorted(name for name in live if live[name] and name != own)

    def reachable_data_centres(self) -> list[str]:
        """Returns the other data centres that relays get answers from."""
        unreachable = self.reachability.unreachable
        return [
            name
            for name in self.other_data_centres()
            if name not in unreachable
        ]

    def relays(self, data_centre: str) -> list[str]:
        """Returns the relays of a data centre by rendezvous."""
        relays = self._relays_by_data_centre.get(data_centre)
        if relays is None:
            candidates = {
                host_id
                for host_id in self.members.live_ids(data_centre)
                if self.members.entries_by_id[host_id].state
                is not records.MemberState.LEAVING
            }
            order = member_table.rendezvous_order(candidates, "relay")
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
        if self.local_peer_ids():
            return False
        return not self.reachable_data_centres()

    def forget_derived(self, data_centre: str) -> None:
        """Drops what was derived from the hosts of a data centre."""
        self._relays_by_data_centre.pop(data_centre, None)
        if data_centre == self.own.host.data_centre:
            self._local_peers = None
