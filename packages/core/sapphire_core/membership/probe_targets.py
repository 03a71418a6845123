"""Selects the probe targets other than live hosts of the own data centre."""

import dataclasses

from sapphire_core.membership import data
from sapphire_core.membership import merging
from sapphire_core.membership import state
from sapphire_data import records

_JOIN_INTERVAL_MS = 500
_JOIN_TARGETS = 3
_UNANSWERED_ROUNDS = 2
_OVERDUE_INTERVAL_MS = 250


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeTarget:
    """A host or an address to probe.

    Attributes:
        seed: The address to send the probe to.
        host_id: The host at this address, or empty if it is not known.
    """

    seed: data.Seed
    host_id: str = ""


class ProbeTargetSelector:
    """Selects hosts of other data centres and unknown addresses to probe.

    Only relays probe other data centres. Every host probes addresses at which
    a host may be that it does not know.
    """

    def __init__(self, shared: state.State, merger: merging.Merger) -> None:
        self._state = shared
        self._merger = merger
        self._next_remote_ms = 0
        self._next_overdue_ms = 0
        self._next_seed_ms = 0
        self._remote_probe_count = 0
        self._was_relay = False

    def due_targets(self, now_ms: int) -> list[ProbeTarget]:
        """Returns the targets that are to be probed now.

        Args:
            now_ms: The time in milliseconds.
        """
        due: list[ProbeTarget] = []
        is_relay = self._state.is_relay()
        if is_relay and not self._was_relay:
            self._state.reachability.reset()
        self._was_relay = is_relay
        if is_relay:
            self._update_reachability(now_ms)
            due.extend(self._due_remote(now_ms))
        if now_ms >= self._next_seed_ms:
            due.extend(self._due_seeds(now_ms))
        return due

    def _update_reachability(self, now_ms: int) -> None:
        """Publishes changes in which data centres can be reached."""
        current = self._state
        own_data_centre = current.own.host.data_centre
        statements = current.reachability.new_statements(
            current.other_data_centres(),
            current.relays(own_data_centre),
            self._unreachable_after_ms(),
            now_ms,
        )
        for fact in statements:
            self._merger.merge_fact(fact, now_ms, is_remote=False)

    def _unreachable_after_ms(self) -> int:
        """Returns the time without an answer that means unreachable.

        It covers two rounds of probes, so that a few lost messages are not
        taken for a network partition.
        """
        settings = self._state.settings
        count = len(self._state.other_data_centres())
        round_ms = count * settings.relay_probe_interval_ms
        return max(settings.unreachable_ms, _UNANSWERED_ROUNDS * round_ms)

    def _due_remote(self, now_ms: int) -> list[ProbeTarget]:
        """Returns the hosts of other data centres that are to be probed now.

        One data centre is probed in each interval, in turn. A data centre whose
        answer is overdue gets additional probes.
        """
        current = self._state
        names = current.other_data_centres()
        due: list[ProbeTarget] = []
        if names and now_ms >= self._next_remote_ms:
            interval_ms = current.settings.relay_probe_interval_ms
            self._next_remote_ms = now_ms + interval_ms
            self._remote_probe_count += 1
            round_number, index = divmod(self._remote_probe_count, len(names))
            due.append(
                self._target(
                    self._select_remote_host(names[index], round_number)
                )
            )
        overdue = self._overdue_data_centres(now_ms)
        if overdue and now_ms >= self._next_overdue_ms:
            self._next_overdue_ms = now_ms + _OVERDUE_INTERVAL_MS
            # Any host is probed, because all relays of a data centre may have
            # crashed at once while its other hosts are alive.
            live_ids = current.members.live_ids(current.rng.choice(overdue))
            due.append(self._target(current.rng.choice(sorted(live_ids))))
        return due

    def _select_remote_host(self, data_centre: str, round_number: int) -> str:
        """Returns the host of a data centre to probe.

        This is one of its relays. If it has none, or in every other round if
        the data centre is unreachable, it is any live host.
        """
        current = self._state
        relay_ids = current.relays(data_centre)
        is_unreachable = data_centre in current.reachability.unreachable
        if relay_ids and not (is_unreachable and round_number % 2):
            return relay_ids[round_number % len(relay_ids)]
        live_ids = current.members.live_ids(data_centre)
        return current.rng.choice(sorted(live_ids))

    def _overdue_data_centres(self, now_ms: int) -> list[str]:
        """Returns the reachable data centres whose answer is overdue."""
        current = self._state
        interval_ms = current.settings.relay_probe_interval_ms
        names = current.reachable_data_centres()
        overdue_after_ms = (len(names) + 1) * interval_ms
        overdue: list[str] = []
        for name in names:
            answered_ms = current.reachability.last_answer_ms(name)
            if answered_ms is None or now_ms - answered_ms > overdue_after_ms:
                overdue.append(name)
        return overdue

    def _target(self, host_id: str) -> ProbeTarget:
        """Returns the probe target for a known host."""
        host = self._state.members.entries_by_id[host_id].host
        return ProbeTarget(data.Seed(host.address, host.control_port), host_id)

    def _due_seeds(self, now_ms: int) -> list[ProbeTarget]:
        """Returns random addresses at which an unknown host may listen."""
        current = self._state
        is_joined = current.freshness.is_joined
        interval_ms = current.settings.seed_interval_ms
        self._next_seed_ms = now_ms + (
            interval_ms if is_joined else _JOIN_INTERVAL_MS
        )
        own = current.own.host
        candidates = [
            seed
            for seed in self._seed_candidates()
            if current.members.id_at(seed.address, seed.control_port) is None
            and seed != data.Seed(own.address, own.control_port)
        ]
        count = min(1 if is_joined else _JOIN_TARGETS, len(candidates))
        selected = current.rng.sample(candidates, count)
        return [ProbeTarget(seed) for seed in selected]

    def _seed_candidates(self) -> list[data.Seed]:
        """Returns the addresses at which hosts have listened or may listen.

        These are the seeds of the settings, the addresses of the platform's
        host list and those of dead members of the own data centre.
        """
        current = self._state
        addresses = dict.fromkeys(current.seeds + current.listed_seeds)
        for entry in current.members.entries_by_id.values():
            if entry.state is not records.MemberState.DEAD:
                continue
            if current.is_remote(entry):
                continue
            seed = data.Seed(entry.host.address, entry.host.control_port)
            addresses[seed] = None
        return list(addresses)
