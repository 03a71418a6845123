"""Which host truncates the pool histories, and from which generation on."""

from collections.abc import Iterable
from collections.abc import Mapping

import xxhash

from sapphire_core.flows import bucket_table
from sapphire_core.flows import history_permits
from sapphire_data import records

# The time between two attempts of one host, and between two truncations.
MIN_INTERVAL_MS = 300_000


class TruncationDecider:
    """Decides about truncations on one host, with a limit on their rate.

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
        """Decides which histories this host truncates now.

        Args:
            configuration: The newest configuration of this host.
            view: The membership.
            permits_by_host: The newest report of each host, including this one.
            now_ms: The current time.

        Returns:
            The oldest generation to keep, by service; empty if this host is
            not to truncate anything now. A decision counts as an attempt, so
            one that could not be written is not tried again at once.
        """
        tried_ms = self._tried_ms
        if tried_ms is not None and now_ms - tried_ms < MIN_INTERVAL_MS:
            return {}
        truncations = self.agreed_truncations(
            configuration, view, permits_by_host
        )
        if truncations:
            self._tried_ms = now_ms
        return truncations

    def agreed_truncations(
        self,
        configuration: records.Configuration,
        view: records.MemberView,
        permits_by_host: Mapping[str, history_permits.PermitReport],
    ) -> dict[str, int]:
        """Returns what this host may truncate, without the limit on the rate.

        Args:
            configuration: The configuration that is to be truncated.
            view: The membership.
            permits_by_host: The newest report of each host, including this one.

        Returns:
            The oldest generation to keep, by service; empty if this host is
            not the one that decides.
        """
        if not view.is_fresh or not self._is_deciding(view.members_by_id):
            return {}
        reports = _reports_of_all(view.members_by_id, permits_by_host)
        if reports is None:
            return {}
        return agreed_truncations(configuration, reports)

    def _is_deciding(self, members_by_id: Mapping[str, records.Member]) -> bool:
        """Returns whether this host is the first live one by rendezvous."""
        live = []
        for host_id, member in members_by_id.items():
            if member.state is records.MemberState.ALIVE:
                live.append(host_id)
        return min(live, key=_rank, default="") == self._host_id


def agreed_truncations(
    configuration: records.Configuration,
    reports: Iterable[history_permits.PermitReport],
) -> dict[str, int]:
    """Returns the truncations that all hosts permit.

    Args:
        configuration: The configuration that is to be truncated.
        reports: The reports of all members.

    Returns:
        The oldest generation to keep, by service.
    """
    agreed: dict[str, int] | None = None
    for report in reports:
        permitted = report.keep_from_by_service
        if agreed is None:
            agreed = dict(permitted)
            continue
        agreed = {
            name: min(keep_from, permitted[name])
            for name, keep_from in agreed.items()
            if name in permitted
        }
    truncations: dict[str, int] = {}
    for name, keep_from in (agreed or {}).items():
        service = configuration.services_by_name.get(name)
        if service is None:
            continue
        stable = _stable_truncation(service, keep_from)
        if stable is not None:
            truncations[name] = stable
    return truncations


def _reports_of_all(
    members_by_id: Mapping[str, records.Member],
    permits_by_host: Mapping[str, history_permits.PermitReport],
) -> list[history_permits.PermitReport] | None:
    """Returns the reports of all members, None if one is missing or invalid."""
    digest = history_permits.digest_of(members_by_id)
    found = []
    for host_id in members_by_id:
        report = permits_by_host.get(host_id)
        # Another digest means that the host did not observe the buckets of
        # which it is a replica host according to the members known here.
        if report is None or report.members_digest != digest:
            return None
        found.append(report)
    return found


def _stable_truncation(service: records.Service, keep_from: int) -> int | None:
    """Returns the oldest generation to keep that changes no flow's upstream.

    Args:
        service: The service.
        keep_from: The newest generation that may become the oldest one.

    Returns:
        The newest such generation; None if there is none but the first.
    """
    for index in range(len(service.generations) - 1, 0, -1):
        number = service.generations[index].number
        if number <= keep_from and _is_stable(service, index):
            return number
    return None


def _is_stable(service: records.Service, index: int) -> bool:
    """Returns whether flows without a record keep their upstream.

    A new flow is not recorded if its upstream owns the bucket in the oldest
    and in the newest generation. If the generation that becomes the oldest had
    another owner, its packets would go there. All later generations are
    tested, since hosts activate the newest one at different times.

    Args:
        service: The service.
        index: The index of the generation that becomes the oldest one.
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
    default, oldest, *later = owners
    for bucket in range(service.bucket_count):
        if default[bucket] == oldest[bucket]:
            continue
        if any(names[bucket] == default[bucket] for names in later):
            return False
    return True


def _rank(host_id: str) -> tuple[int, str]:
    """Returns the rendezvous rank of a host."""
    return xxhash.xxh64_intdigest(f"cut {host_id}".encode()), host_id
