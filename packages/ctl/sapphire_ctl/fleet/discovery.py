"""Decides which hosts to query: all of a small fleet, a sample of a large one.

The query of a host takes milliseconds, so that of 7,000 hosts takes a minute.
Each host knows which revision its peers have prepared. So in a large fleet only
a sample is queried, spread evenly over the data centres, and the other hosts
are known from its reports.
"""

from collections.abc import Iterable

from sapphire_ctl.fleet import data
from sapphire_wire import api

MAX_HOSTS = 20_000
MAX_SAMPLED_HOSTS = 200
_DEAD_STATE = "dead"


class Discovery:
    """Discovers hosts from the status of others; does no input or output.

    Attributes:
        is_large: Whether the fleet is larger than the sample.
    """

    def __init__(self, seeds: Iterable[str], *, queries_all: bool) -> None:
        """Creates a discovery that starts from some hosts.

        Args:
            seeds: Their API addresses.
            queries_all: Whether to query all hosts of a large fleet, not a
                sample.
        """
        self.is_large = False
        self._queries_all = queries_all
        self._targets_by_address = {seed: data.Target(seed) for seed in seeds}
        self._queried_addresses: set[str] = set()
        self._members_by_id: dict[str, api.MemberStatus] = {}
        self._statuses_by_id: dict[str, api.HostStatus] = {}
        self._unanswered: list[data.UnansweredHost] = []

    def next_targets(self) -> list[data.Target]:
        """Returns the hosts to query next; none once the discovery is done."""
        candidates = [
            target
            for address, target in self._targets_by_address.items()
            if address not in self._queried_addresses
        ]
        self.is_large = len(self._targets_by_address) > MAX_SAMPLED_HOSTS
        if self.is_large and not self._queries_all:
            remaining = max(0, MAX_SAMPLED_HOSTS - len(self._queried_addresses))
            candidates = _sample_evenly(candidates, remaining)
        self._queried_addresses.update(target.address for target in candidates)
        return candidates

    def record_responses(
        self,
        responses: Iterable[api.HostStatus],
        unanswered: Iterable[data.UnansweredHost],
    ) -> None:
        """Records the responses of hosts and the members that they report.

        Args:
            responses: The status of each host that answered.
            unanswered: The hosts that did not.
        """
        self._unanswered += unanswered
        for response in responses:
            self._statuses_by_id[response.host_id] = response
            for member in response.members:
                self._record_member(member)

    def _record_member(self, member: api.MemberStatus) -> None:
        """Records the report of one host about another."""
        if member.state == _DEAD_STATE:
            return
        known_member = self._members_by_id.get(member.host_id)
        if (
            known_member is None
            or known_member.prepared_revision < member.prepared_revision
        ):
            self._members_by_id[member.host_id] = member
        address = data.url_address(member.address, member.api_port)
        if len(self._targets_by_address) >= MAX_HOSTS:
            return
        self._targets_by_address.setdefault(
            address, data.Target(address, member.host_id, member.data_centre)
        )

    def build_fleet_status(self, *, lists_upstreams: bool) -> data.FleetStatus:
        """Builds the status of the fleet from all records.

        Args:
            lists_upstreams: Whether the responses list upstreams.

        Returns:
            The status, with hosts sorted by data centre and identity.
        """
        # A host that answered may also be known by an address that it has left.
        unanswered = [
            item
            for item in self._unanswered
            if item.target.host_id not in self._statuses_by_id
        ]
        unanswered_ids = {item.target.host_id for item in unanswered}
        reported_members = [
            member
            for host_id, member in self._members_by_id.items()
            if host_id not in self._statuses_by_id
            and host_id not in unanswered_ids
        ]
        statuses = sorted(
            self._statuses_by_id.values(),
            key=lambda status: (status.data_centre, status.host_id),
        )
        return data.FleetStatus(
            statuses=tuple(statuses),
            unanswered=tuple(unanswered),
            told=tuple(
                sorted(
                    reported_members,
                    key=lambda item: (item.data_centre, item.host_id),
                )
            ),
            is_complete=lists_upstreams and not reported_members,
        )


def _sample_evenly(targets: list[data.Target], count: int) -> list[data.Target]:
    """Returns up to `count` hosts, spread evenly over the data centres."""
    if len(targets) <= count:
        return targets
    ordered = sorted(
        targets, key=lambda target: (target.data_centre, target.host_id)
    )
    return [ordered[number * len(ordered) // count] for number in range(count)]
