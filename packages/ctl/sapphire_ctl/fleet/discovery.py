"""Decides which hosts to ask: all of a small fleet, a sample of a large one.

To ask a host takes milliseconds, so to ask 7,000 takes a minute. Members of
the fleet know what the others have prepared, so that a large fleet is asked at
some hosts, spread evenly over its data centres, which answer for the others.
"""

from collections.abc import Iterable

from sapphire_ctl.fleet import data
from sapphire_wire import api

MAX_HOSTS = 20_000
MAX_SAMPLED_HOSTS = 200
_DEAD = "dead"


class Discovery:
    """The hosts found so far; it does no input or output.

    Attributes:
        is_large: Whether the fleet is larger than the sample.
    """

    def __init__(self, seeds: Iterable[str], *, queries_all: bool) -> None:
        """Starts from some hosts.

        Args:
            seeds: Their API addresses.
            queries_all: Whether to query all hosts of a large fleet as well.
        """
        self.is_large = False
        self._queries_all = queries_all
        self._targets_by_address = {seed: data.Target(seed) for seed in seeds}
        self._asked_addresses: set[str] = set()
        self._members_by_id: dict[str, api.MemberStatus] = {}
        self._statuses_by_id: dict[str, api.HostStatus] = {}
        self._unanswered: list[data.UnansweredHost] = []

    def next_targets(self) -> list[data.Target]:
        """Returns the hosts to ask now; none when all are known."""
        candidates = [
            target
            for address, target in self._targets_by_address.items()
            if address not in self._asked_addresses
        ]
        self.is_large = len(self._targets_by_address) > MAX_SAMPLED_HOSTS
        if self.is_large and not self._queries_all:
            room = max(0, MAX_SAMPLED_HOSTS - len(self._asked_addresses))
            candidates = _sample_evenly(candidates, room)
        self._asked_addresses.update(target.address for target in candidates)
        return candidates

    def record_responses(
        self,
        answers: Iterable[api.HostStatus],
        unanswered: Iterable[data.UnansweredHost],
    ) -> None:
        """Takes what the hosts answered, and the members that they know.

        Args:
            answers: The answers.
            unanswered: The hosts without one.
        """
        self._unanswered += unanswered
        for answer in answers:
            self._statuses_by_id[answer.host_id] = answer
            for member in answer.members:
                self._record_member(member)

    def _record_member(self, member: api.MemberStatus) -> None:
        """Takes what one host knows of another."""
        if member.state == _DEAD:
            return
        known = self._members_by_id.get(member.host_id)
        if known is None or known.prepared_revision < member.prepared_revision:
            self._members_by_id[member.host_id] = member
        address = data.url_address(member.address, member.api_port)
        if len(self._targets_by_address) >= MAX_HOSTS:
            return
        self._targets_by_address.setdefault(
            address, data.Target(address, member.host_id, member.data_centre)
        )

    def build_fleet_status(self, *, lists_upstreams: bool) -> data.FleetStatus:
        """Returns what was found.

        Args:
            lists_upstreams: Whether the answers list upstreams.

        Returns:
            The answers by data centre and identity.
        """
        # A host may be known by an address that it has left.
        missing = [
            item
            for item in self._unanswered
            if item.target.host_id not in self._statuses_by_id
        ]
        silent_ids = {item.target.host_id for item in missing}
        told = [
            member
            for host_id, member in self._members_by_id.items()
            if host_id not in self._statuses_by_id and host_id not in silent_ids
        ]
        statuses = sorted(
            self._statuses_by_id.values(),
            key=lambda status: (status.data_centre, status.host_id),
        )
        return data.FleetStatus(
            statuses=tuple(statuses),
            unanswered=tuple(missing),
            told=tuple(
                sorted(told, key=lambda item: (item.data_centre, item.host_id))
            ),
            is_complete=lists_upstreams and not told,
        )


def _sample_evenly(targets: list[data.Target], count: int) -> list[data.Target]:
    """Chooses some hosts, spread evenly over the data centres."""
    if len(targets) <= count:
        return targets
    ordered = sorted(
        targets, key=lambda target: (target.data_centre, target.host_id)
    )
    return [ordered[number * len(ordered) // count] for number in range(count)]
