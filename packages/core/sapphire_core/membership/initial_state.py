"""Creates the membership state of a host that has just started."""

from collections.abc import Iterable
import random

from sapphire_core.membership import data
from sapphire_core.membership import fact_table
from sapphire_core.membership import freshness
from sapphire_core.membership import member_table
from sapphire_core.membership import outbox
from sapphire_core.membership import prepared_table
from sapphire_core.membership import reachability
from sapphire_core.membership import state
from sapphire_core.membership import suspicion
from sapphire_data import records


def create(
    self_address: records.HostAddress,
    first_incarnation: int,
    seeds: Iterable[data.Seed],
    rng_seed: int,
    settings: data.Settings | None,
) -> state.State:
    """Returns the state of a host that knows no other host.

    Args:
        self_address: The identity and addresses of the host.
        first_incarnation: The incarnation that the host starts with.
        seeds: Addresses at which other hosts may listen.
        rng_seed: The seed of all random choices.
        settings: The settings; the defaults if None.
    """
    settings = settings or data.Settings()
    members = member_table.MemberTable()
    facts = fact_table.FactTable()
    own_prepared = prepared_table.PreparedTable(self_address.host_id)
    own_data_centre = self_address.data_centre
    own_entry = data.MemberEntry(
        self_address, first_incarnation, records.MemberState.ALIVE
    )
    return state.State(
        settings=settings,
        rng=random.Random(rng_seed),
        own=own_entry,
        members=members,
        facts=facts,
        prepared=own_prepared,
        freshness=freshness.Freshness(settings),
        reachability=reachability.Reachability(
            self_address.host_id, own_data_centre
        ),
        outbox=outbox.Outbox(settings, own_data_centre, members, facts),
        suspicions=suspicion.Suspicions(settings.suspicion_ms),
        seeds=tuple(seeds),
    )
