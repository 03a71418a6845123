"""Checks that a document is in force and healthy in the trial environment."""

from collections.abc import Iterable
import dataclasses

import expression

from sapphire_core.slo import data as slo_data
from sapphire_ctl import failures as ctl_failures
from sapphire_ctl import session
from sapphire_ctl.fleet import data as fleet_data
from sapphire_ctl.reporting import collection
from sapphire_ctl.reporting import data as report_data
from sapphire_data import failures
from sapphire_net.store import change_failures
from sapphire_net.store import changes
from sapphire_net.store import environment as environments
from sapphire_net.store import stored_configuration
from sapphire_wire.documents import packing

# The search for the first revision of a document ends after this many.
MAX_REVISIONS_BACK = 100
_PAGING_LEVELS = frozenset(
    {slo_data.AlertLevel.PAGE_FAST, slo_data.AlertLevel.PAGE_SLOW}
)


@dataclasses.dataclass(frozen=True, slots=True)
class Proof:
    """A document that the trial environment has proven.

    Attributes:
        environment: The trial environment.
        revision: The revision that has the document in force there.
        digest: The digest of the document.
        document: Its bytes, as they were in force.
        hosts: The number of hosts on which it is in force.
        events: The number of service-level events counted there.
    """

    environment: str
    revision: int
    digest: str
    document: bytes = dataclasses.field(repr=False)
    hosts: int
    events: int


@dataclasses.dataclass(frozen=True, slots=True)
class ProofRequirements:
    """The requirements that a proof has to meet.

    Attributes:
        digest: The digest that the operator asks for, or a prefix of it;
            empty for any document that is in force.
        min_age_ms: The time for which the document has to have been in force.
        min_events: The number of service-level events that have to have been
            counted.
    """

    digest: str
    min_age_ms: int
    min_events: int


async def find_proof(
    invocation: session.Invocation,
    environment: str,
    requirements: ProofRequirements,
    now_ms: int,
) -> tuple[Proof | None, list[failures.Failure]]:
    """Queries the store and the hosts of the trial environment for a proof.

    Args:
        invocation: The command's invocation.
        environment: The name of the trial environment.
        requirements: The requirements that the proof has to meet.
        now_ms: The wall time.

    Returns:
        The proof and no failures; or None and all failures, if the proof does
        not meet a requirement or cannot be read.
    """
    fleet = session.open_fleet(invocation, environment)
    if fleet.is_error():
        return None, [fleet.error]
    async with session.open_store(invocation, environment) as opened:
        if opened.is_error():
            return None, [opened.error]
        stored = await stored_configuration.read_head(opened.ok)
        if stored.is_error():
            return None, [stored.error]
        head = stored.ok.head
        if head is None:
            return None, [change_failures.RevisionNotFound(0)]
        intent = await changes.read_intent(
            opened.ok, head, invocation.author, "promote"
        )
        since_ms = await _find_in_force_since(
            opened.ok, head, requirements, now_ms
        )
    if intent.is_error():
        return None, [intent.error]
    if since_ms.is_error():
        return None, [since_ms.error]
    fleet_status = await fleet.ok.fetch_statuses()
    report = await collection.collect_report(
        invocation, fleet.ok, environment, None, now_ms
    )
    digest = head.change.document_digest
    problems = [
        *_check_head(head, requirements, now_ms - since_ms.ok),
        *_check_hosts(fleet_status, head),
        *_check_report(report, requirements),
    ]
    not_proven: list[failures.Failure] = [
        ctl_failures.NotProven(environment, digest, host, problem)
        for host, problem in problems
    ]
    if not_proven:
        return None, not_proven
    proof = Proof(
        environment=environment,
        revision=head.version.revision,
        digest=digest,
        document=intent.ok.document,
        hosts=len(fleet_status.statuses) + len(fleet_status.told),
        events=_count_events(report),
    )
    return proof, []


async def _find_in_force_since(
    environment: environments.Environment,
    head: packing.Head,
    requirements: ProofRequirements,
    now_ms: int,
) -> expression.Result[int, failures.Failure]:
    """Finds the wall time since which a document is in force.

    Hosts write revisions with the same document, which do not restart its age.
    So the search goes back to the first revision with the document; it ends
    once the document is old enough.
    """
    earliest = head
    for _ in range(MAX_REVISIONS_BACK):
        age_ms = now_ms - earliest.change.written_ms
        if age_ms >= requirements.min_age_ms:
            break
        key = environment.history_key(earliest.version.revision - 1)
        stored = await stored_configuration.read_head(environment, key)
        if stored.is_error():
            return expression.Error(stored.error)
        previous = stored.ok.head
        if previous is None:
            break
        if previous.change.document_digest != head.change.document_digest:
            break
        earliest = previous
    return expression.Ok(earliest.change.written_ms)


def _check_head(
    head: packing.Head, requirements: ProofRequirements, age_ms: int
) -> Iterable[tuple[str, str]]:
    """Yields what the head lacks, as an empty host and the problem."""
    digest = head.change.document_digest
    if not digest.startswith(requirements.digest):
        yield "", f"document {requirements.digest} is not the one in force"
    if age_ms < requirements.min_age_ms:
        yield (
            "",
            f"in force for {age_ms} ms of {requirements.min_age_ms} ms",
        )


def _check_hosts(
    fleet_status: fleet_data.FleetStatus, head: packing.Head
) -> Iterable[tuple[str, str]]:
    """Yields each host without the document in force, and its problem."""
    digest = head.change.document_digest
    for status in fleet_status.statuses:
        if status.active_digest != digest:
            yield status.host_id, "another document is in force"
        elif status.lag_ms:
            yield status.host_id, f"lags by {status.lag_ms} ms"
    for member in fleet_status.told:
        if member.prepared_revision < head.version.revision:
            yield member.host_id, "has not prepared the revision"
    for missing in fleet_status.unanswered:
        name = missing.target.host_id or missing.target.address
        yield name, "did not answer"
    if not fleet_status.statuses:
        yield "", "no host answered"


def _check_report(
    report: report_data.BurnReport, requirements: ProofRequirements
) -> Iterable[tuple[str, str]]:
    """Yields objectives that page and missing counts, as host and problem."""
    for missing in report.unanswered:
        yield missing.target.host_id, "did not report its counts"
    for warning in report.warnings:
        yield "", f"objectives are unknown: {warning.code}"
    for burn in report.burns:
        if burn.level not in _PAGING_LEVELS:
            continue
        name = f"{burn.key.service} {burn.key.objective.value}"
        yield "", f"{name} burns at level {burn.level.value}"
    events = _count_events(report)
    if events < requirements.min_events:
        yield "", f"{events} events of {requirements.min_events} were counted"


def _count_events(report: report_data.BurnReport) -> int:
    """Sums the events of the budget window over all objectives."""
    return sum(burn.windows[-1].counts.total for burn in report.burns)
