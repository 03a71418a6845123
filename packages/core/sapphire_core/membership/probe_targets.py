"""Probes beyond the own data centre and of addresses of no live member."""

import dataclasses

from sapphire_core.membership import data
from sapphire_core.membership import merging
from sapphire_core.membership import state
from sapphire_data import records

_JOIN_INTERVAL_MS = 500
_JOIN_CONTACTS = 3
_LOST_ROUNDS = 2
_SILENT_INTERVAL_MS = 250


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeTarget:
    """A host or an address to probe.

    Attributes:
        seed: The address.
        host_id: The host, or empty if it is not known.
    """

    seed: data.Seed
    host_id: str = ""


class ProbeTargetSelector:
    """Chooses whom to probe besides the peers in the own data centre."""

    def __init__(self, shared: state.State, merger: merging.Merger) -> None:
        self._state = shared
        self._merger = merger
        self._next_relay_ms = 0
        self._next_silent_ms = 0
        self._next_seed_ms = 0
        self._relay_turn = 0
        self._was_relay = False

    def due(self, now_ms: int) -> list[ProbeTarget]:
        """Returns the probes that are due.

        Args:
            now_ms: The time in milliseconds.
        """
        due: list[ProbeTarget] = []
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

    def _due_relay(self, now_ms: int) -> list[ProbeTarget]:
        """Returns the next hosts of other data centres."""
        current = self._state
        names = current.other_data_centres()
        due: list[ProbeTarget] = []
        if names and now_ms >= self._next_relay_ms:
            interval_ms = current.settings.relay_probe_interval_ms
            self._next_relay_ms = now_ms + interval_ms
            self._relay_turn += 1
            turn, index = divmod(self._relay_turn, len(names))
            due.append(self._contact(self._host_of(names[index], turn)))
        silent = self._silent_data_centres(now_ms)
        if silent and now_ms >= self._next_silent_ms:
            self._next_silent_ms = now_ms + _SILENT_INTERVAL_MS
            # All relays may have died at once while their peers live.
            live_ids = current.members.live_ids(current.rng.choice(silent))
            due.append(self._contact(current.rng.choice(sorted(live_ids))))
        return due

    def _host_of(self, data_centre: str, turn: int) -> str:
        """Returns a relay of a data centre, or any host of a lost one."""
        current = self._state
        relay_ids = current.relays(data_centre)
        is_lost = data_centre in current.reachability.unreachable
        if relay_ids and not (is_lost and turn % 2):
            return relay_ids[turn % len(relay_ids)]
        live_ids = current.members.live_ids(data_centre)
        return current.rng.choice(sorted(live_ids))

    def _silent_data_centres(self, now_ms: int) -> list[str]:
        """Returns those whose answer is late and that count as reachable."""
        current = self._state
        interval_ms = current.settings.relay_probe_interval_ms
        names = current.reachable_data_centres()
        late_ms = (len(names) + 1) * interval_ms
        silent: list[str] = []
        for name in names:
            answered_ms = current.reachability.last_answer_ms(name)
            if answered_ms is None or now_ms - answered_ms > late_ms:
                silent.append(name)
        return silent

    def _contact(self, host_id: str) -> ProbeTarget:
        """Returns the contact of a known host."""
        host = self._state.members.entries_by_id[host_id].host
        return ProbeTarget(data.Seed(host.address, host.control_port), host_id)

    def _due_seeds(self, now_ms: int) -> list[ProbeTarget]:
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
            if current.members.id_at(seed.address, seed.control_port) is None
            and seed != data.Seed(own.address, own.control_port)
        ]
        count = min(1 if is_joined else _JOIN_CONTACTS, len(candidates))
        chosen = current.rng.sample(candidates, count)
        return [ProbeTarget(seed) for seed in chosen]

    def _known_addresses(self) -> list[data.Seed]:
        """Returns the addresses of settings, list and dead members."""
        current = self._state
        addresses = dict.fromkeys(current.seeds + current.listed)
        for entry in current.members.entries_by_id.values():
            if entry.state is not records.MemberState.DEAD:
                continue
            if current.is_remote(entry):
                continue
            seed = data.Seed(entry.host.address, entry.host.control_port)
            addresses[seed] = None
        return list(addresses)
