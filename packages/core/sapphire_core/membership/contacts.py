"""Probes beyond the own data centre and of addresses of no live member."""

import dataclasses

from sapphire_core.membership import data
from sapphire_core.membership import merging
from sapphire_core.membership import state
from sapphire_data import records

_JOIN_INTERVAL_MS = 500
_JOIN_CONTACTS = 3
_LOST_ROUNDS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Contact:
    """A host or an address to probe.

    Attributes:
        seed: The address.
        host_id: The host, or empty if it is not known.
    """

    seed: data.Seed
    host_id: str = ""


class Contacts:
    """Chooses whom to probe besides the peers in the own data centre."""

    def __init__(self, shared: state.State, merger: merging.Merger) -> None:
        self._state = shared
        self._merger = merger
        self._next_relay_ms = 0
        self._next_seed_ms = 0
        self._relay_turn = 0
        self._was_relay = False

    def due(self, now_ms: int) -> list[Contact]:
        """Returns the probes that are due.

        Args:
            now_ms: The time in milliseconds.
        """
        due: list[Contact] = []
        is_relay = self._state.is_relay()
        if is_relay and not self._was_relay:
            self._state.reachability.restart()
        self._was_relay = is_relay
        if is_relay:
            self._judge(now_ms)
            due.extend(self._due_relay(now_ms))
        if now_ms >= self._next_seed_ms:
            due.extend(self._due_seeds(now_ms))
        return due

    def _judge(self, now_ms: int) -> None:
        """States which data centres cannot be reached."""
        current = self._state
        own_data_centre = current.own.host.data_centre
        statements = current.reachability.judge(
            current.other_data_centres(),
            current.relays(own_data_centre),
            self._unreachable_ms(),
            now_ms,
        )
        for fact in statements:
            self._merger.merge_fact(fact, now_ms, is_remote=False)

    def _unreachable_ms(self) -> int:
        """Returns the silence that tells a cut from a few lost messages."""
        settings = self._state.settings
        count = len(self._state.other_data_centres())
        round_ms = count * settings.relay_probe_interval_ms
        return max(settings.unreachable_ms, _LOST_ROUNDS * round_ms)

    def _due_relay(self, now_ms: int) -> list[Contact]:
        """Returns the next host of another data centre."""
        current = self._state
        names = current.other_data_centres()
        if now_ms < self._next_relay_ms or not names:
            return []
        settings = current.settings
        self._next_relay_ms = now_ms + settings.relay_probe_interval_ms
        self._relay_turn += 1
        turn, index = divmod(self._relay_turn, len(names))
        name = names[index]
        relay_ids = current.relays(name)
        answered_ms = current.reachability.last_answer_ms(name)
        is_silent = answered_ms is None or (
            now_ms - answered_ms > self._unreachable_ms() // 2
        )
        if relay_ids and not (is_silent and turn % 2):
            host_id = relay_ids[turn % len(relay_ids)]
        else:
            # All relays may have died at once while their peers live.
            host_id = current.rng.choice(sorted(current.hosts.live_ids(name)))
        host = current.hosts.entries_by_id[host_id].host
        return [Contact(data.Seed(host.address, host.control_port), host_id)]

    def _due_seeds(self, now_ms: int) -> list[Contact]:
        """Returns addresses at which a host may be that is not known."""
        current = self._state
        is_joined = current.freshness.is_joined
        interval_ms = current.settings.seed_interval_ms
        self._next_seed_ms = now_ms + (
            interval_ms if is_joined else _JOIN_INTERVAL_MS
        )
        own = current.own.host
        candidates = [
            seed
            for seed in self._known_addresses()
            if current.hosts.id_at(seed.address, seed.control_port) is None
            and seed != data.Seed(own.address, own.control_port)
        ]
        count = min(1 if is_joined else _JOIN_CONTACTS, len(candidates))
        chosen = current.rng.sample(candidates, count)
        return [Contact(seed) for seed in chosen]

    def _known_addresses(self) -> list[data.Seed]:
        """Returns the addresses of settings, list and dead members."""
        current = self._state
        addresses = dict.fromkeys(current.seeds + current.listed)
        for entry in current.hosts.entries_by_id.values():
            if entry.state is not records.MemberState.DEAD:
                continue
            if current.is_remote(entry):
                continue
            seed = data.Seed(entry.host.address, entry.host.control_port)
            addresses[seed] = None
        return list(addresses)
