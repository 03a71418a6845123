"""Which host cuts the pool histories, and what it cuts."""

from collections.abc import Iterable
from collections.abc import Mapping

import xxhash

from sapphire_core.flows import bucket_table
from sapphire_core.flows import history_permits
from sapphire_data import records

MIN_INTERVAL_MS = 300_000


class TruncationDecider:
    """Decides about cuts on one host, with a limit on their rate.

    Args:
        host_id: The identity of this host.
    """

    def __init__(self, host_id: str) -> None:
        self._host_id = host_id
        self._tried_ms: int | None = None

    def decide(
        self,
        configuration: records.Configuration,
        view: records.MemberView,
        permits_by_host: Mapping[str, history_permits.PermitReport],
        now_ms: int,
    ) -> dict[str, int]:
        """Decides what to cut now.

        Args:
            configuration: The newest configuration of this host.
            view: The membership.
            permits_by_host: The newest report of each host, its own too.
            now_ms: The current time.

        Returns:
            The oldest generation to keep, by service; empty if nothing is
            to be cut by this host now. A decision counts as an attempt, so
            one that could not be written is not repeated at once.
        """
        tried_ms = self._tried_ms
        if tried_ms is not None and now_ms - tried_ms < MIN_INTERVAL_MS:
            return {}
        cuts = self.agreed_truncations(configuration, view, permits_by_host)
        if cuts:
            self._tried_ms = now_ms
        return cuts

    def agreed_truncations(
        self,
        configuration: records.Configuration,
        view: records.MemberView,
        permits_by_host: Mapping[str, history_permits.PermitReport],
    ) -> dict[str, int]:
        """Returns what this host may cut, without the limit on the rate.

        Args:
            configuration: The configuration that is to be cut.
            view: The membership.
            permits_by_host: The newest report of each host, its own too.

        Returns:
            The oldest generation to keep, by service.
        """
        if not view.is_fresh or not self._is_first(view.members_by_id):
            return {}
        reports = _reports_of_all(view.members_by_id, permits_by_host)
        if reports is None:
            return {}
        return agreed_truncations(configuration, reports)

    def _is_first(self, members_by_id: Mapping[str, records.Member]) -> bool:
        """Returns whether this host is the first by rendezvous."""
        live = []
        for host_id, member in members_by_id.items():
            if member.state is records.MemberState.ALIVE:
                live.append(host_id)
        return min(live, key=_rank, default="") == self._host_id


def agreed_truncations(
    configuration: records.Configuration,
    reports: Iterable[history_permits.PermitReport],
) -> dict[str, int]:
    """Returns what all hosts allow to cut.

    Args:
        configuration: The configuration that is to be cut.
        reports: The reports of all members.

    Returns:
        The oldest generation to keep, by service.
    """
    agreed: dict[str, int] | None = None
    for report in reports:
        allowed = report.keep_from_by_service
        if agreed is None:
            agreed = dict(allowed)
            continue
        agreed = {
            name: min(keep_from, allowed[name])
            for name, keep_from in agreed.items()
            if name in allowed
        }
    cuts: dict[str, int] = {}
    for name, keep_from in (agreed or {}).items():
        service = configuration.services_by_name.get(name)
        if service is None:
            continue
        stable = _stable_cut(service, keep_from)
        if stable is not None:
            cuts[name] = stable
    return cuts


def _reports_of_all(
    members_by_id: Mapping[str, records.Member],
    permits_by_host: Mapping[str, history_permits.PermitReport],
) -> list[history_permits.PermitReport] | None:
    """Returns the reports of all members, None if any forbids a cut."""
    digest = history_permits.digest_of(members_by_id)
    found = []
    for host_id in members_by_id:
        report = permits_by_host.get(host_id)
        # Another digest means that the host did not observe the buckets
        # which it keeps according to the members that are known here.
        if report is None or report.members_digest != digest:
            return None
        found.append(report)
    return found


def _stable_cut(service: records.Service, keep_from: int) -> int | None:
    """Returns the newest generation, up to one, from which to keep safely."""
    for index in range(len(service.generations) - 1, 0, -1):
        number = service.generations[index].number
        if number <= keep_from and _is_stable(service, index):
            return number
    return None


def _is_stable(service: records.Service, index: int) -> bool:
    """Returns whether flows that nobody recorded keep their upstream.

    A new flow is not recorded if its upstream owns the bucket in the oldest
    and in the newest generation. It would be lost if the generation that
    becomes the oldest had another owner. Later generations are all tested,
    since hosts activate the newest one at different times.
    """
    owners = []
    kept = (service.generations[0], *service.generations[index:])
    for generation in kept:
        pool = generation.upstreams
        table = bucket_table.owners(service.name, service.bucket_count, pool)
        owners.append(
            [
                bucket_table.owner_name(table, pool, bucket)
                for bucket in range(service.bucket_count)
            ]
        )
    base, oldest, *later = owners
    for bucket in range(service.bucket_count):
        if base[bucket] == oldest[bucket]:
            continue
        if any(names[bucket] == base[bucket] for names in later):
            return False
    return True


def _rank(host_id: str) -> tuple[int, str]:
    """Returns the rendezvous rank of a host."""
    return xxhash.xxh64_intdigest(f"cut {host_id}".encode()), host_id
