"""Outlier ejection: fewer new flows for upstreams that do worse than others.

An upstream may answer its opening packets and its health checks and still fail
its requests, reject them, leave them hanging or take many times as long. It is
judged by what became of requests there, here and at the other hosts of this
data centre, which share none of their conclusions: each host decides from the
same counts.

An ejected upstream gets a penalty in requests, by how much worse it does, so
it is selected when the others have that many more in flight. After its ejection
it is on trial: a part of the new flows regards it without the penalty. It is
back after a trial without bad signs. Open flows are left alone.
"""

from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import math
import random

from sapphire_core.peers import outcome_reports
from sapphire_core.tagged_flows.health import outlier_assessment

# At most this part of the upstreams of a service is ejected. Where more do
# badly, the cause is common to them, such as the network or too much work.
MAX_EJECTED_SHARE = 0.5
# The first ejection lasts until all that was counted before it has left the
# window of outcomes and the reports; each further one twice as long.
EJECTION_MS = 4_000
MAX_EJECTION_MS = 32_000
# An upstream that stayed back for this long begins with the first time again.
FORGET_MS = 30_000
TRIAL_MS = 2_000
# The part of the new flows that regards an upstream on trial as sound.
TRIAL_SHARE = 0.2
# The largest penalty, in requests for each slot: others are preferred while a
# request waits there for this many others, some 100 ms at the users' upstreams.
# Beyond, they may reject it, and one that serves a part is better.
MAX_PENALTY_OF_SLOT = 4.0
# Counts reach all hosts of a data centre within this time; before, those who
# saw a request fail are heard and those who saw one succeed are not yet.
SETTLING_MS = 600


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """An upstream of a service that may get new flows.

    Attributes:
        upstream_id: Its identity.
        tag: Its tag.
        slots: How many requests it processes concurrently.
        in_flight: The estimated number of its in-flight requests.
    """

    upstream_id: str
    tag: int
    slots: int
    in_flight: float


@dataclasses.dataclass(frozen=True, slots=True)
class EjectionChange:
    """An upstream has been ejected, or is back.

    Attributes:
        service: Its service.
        upstream_id: Its identity.
        is_ejected: Whether it was ejected.
        assessment: What was known of it.
        ejected_ms: For how long it is, or was, ejected.
        repeats: How often it was ejected before in a row.
    """

    service: str
    upstream_id: str
    is_ejected: bool
    assessment: outlier_assessment.Assessment
    ejected_ms: int
    repeats: int


@dataclasses.dataclass(slots=True)
class _Ejection:
    """The ejection of one upstream, also a former one.

    Attributes:
        since_ms: When it began.
        until_ms: When the trial begins.
        repeats: How often the upstream was ejected before in a row.
        assessment: The reason.
        back_ms: When the upstream was back; None while ejected or on trial.
    """

    since_ms: int
    until_ms: int
    repeats: int
    assessment: outlier_assessment.Assessment
    back_ms: int | None = None


class OutlierEjection:
    """Which upstreams are ejected at this host, and their penalties."""

    def __init__(self) -> None:
        self._ejections_by_id: dict[str, _Ejection] = {}
        # Since when there are bad signs of an upstream, by its tag.
        self._suspected_ms_by_tag: dict[int, int] = {}

    def penalty(
        self, upstream_id: str, rng: random.Random, now_ms: int
    ) -> float:
        """Returns what is added to the load of an upstream, in requests.

        Args:
            upstream_id: The identity of the upstream.
            rng: Draws the flows that try an upstream on trial.
            now_ms: The current time.
        """
        ejection = self._ejections_by_id.get(upstream_id)
        if ejection is None or ejection.back_ms is not None:
            return 0.0
        if now_ms >= ejection.until_ms and rng.random() < TRIAL_SHARE:
            return 0.0
        return ejection.assessment.penalty

    def ejected_ids(self) -> set[str]:
        """Returns the upstreams that are ejected or on trial."""
        return {
            upstream_id
            for upstream_id, ejection in self._ejections_by_id.items()
            if ejection.back_ms is None
        }

    def discard(self, upstream_id: str) -> None:
        """Discards the state of an upstream that has gone."""
        self._ejections_by_id.pop(upstream_id, None)

    def note_suspects(self, tags: Collection[int], now_ms: int) -> None:
        """Records of which upstreams there are bad signs at present.

        Args:
            tags: Their tags.
            now_ms: The current time.
        """
        self._suspected_ms_by_tag = {
            tag: self._suspected_ms_by_tag.get(tag, now_ms) for tag in tags
        }

    def update(
        self,
        service: str,
        members: Sequence[Member],
        evidence_by_tag: Mapping[int, outcome_reports.Evidence],
        now_ms: int,
    ) -> list[EjectionChange]:
        """Ejects outliers of a service and ends the ejections that are over.

        Args:
            service: The name of the service.
            members: Its upstreams that may get new flows.
            evidence_by_tag: What hosts have counted, by the tag of the
                upstream; those without any do well.
            now_ms: The current time.

        Returns:
            What has changed.
        """
        assessments = outlier_assessment.outliers(
            (member.tag for member in members), evidence_by_tag
        )
        changes = [
            self._end_trial(service, member, now_ms)
            for member in members
            if self._has_passed_trial(member, assessments, now_ms)
        ]
        if 2 * len(assessments) > len(members) and len(members) > 1:
            # Most of them do badly: the cause is not any of them.
            return changes
        room = _Room(members, self.ejected_ids())
        for member in _worst_first(members, assessments):
            if now_ms - self._suspected_ms(member, now_ms) < SETTLING_MS:
                continue
            ejection = self._active_ejection(member.upstream_id)
            if ejection is not None and now_ms < ejection.until_ms:
                continue
            if ejection is None and not room.take(member):
                continue
            changes.append(
                self._eject(service, member, assessments[member.tag], now_ms)
            )
        return changes

    def _active_ejection(self, upstream_id: str) -> _Ejection | None:
        """Returns the ejection of an upstream that is not back."""
        ejection = self._ejections_by_id.get(upstream_id)
        if ejection is None or ejection.back_ms is not None:
            return None
        return ejection

    def _suspected_ms(self, member: Member, now_ms: int) -> int:
        """Returns since when there are bad signs of an upstream."""
        return self._suspected_ms_by_tag.get(member.tag, now_ms)

    def _has_passed_trial(
        self,
        member: Member,
        assessments: Mapping[int, outlier_assessment.Assessment],
        now_ms: int,
    ) -> bool:
        """Whether the trial of an upstream is over, without bad signs."""
        ejection = self._active_ejection(member.upstream_id)
        if ejection is None or member.tag in assessments:
            return False
        return now_ms >= ejection.until_ms + TRIAL_MS

    def _end_trial(
        self, service: str, member: Member, now_ms: int
    ) -> EjectionChange:
        """Records that an upstream is back."""
        ejection = self._ejections_by_id[member.upstream_id]
        ejection.back_ms = now_ms
        return EjectionChange(
            service,
            member.upstream_id,
            False,
            ejection.assessment,
            now_ms - ejection.since_ms,
            ejection.repeats,
        )

    def _eject(
        self,
        service: str,
        member: Member,
        assessment: outlier_assessment.Assessment,
        now_ms: int,
    ) -> EjectionChange:
        """Ejects an upstream, for longer if it was ejected before."""
        former = self._ejections_by_id.get(member.upstream_id)
        repeats = 0
        if former is not None and (
            former.back_ms is None or now_ms - former.back_ms < FORGET_MS
        ):
            repeats = former.repeats + 1
        assessment = dataclasses.replace(
            assessment,
            penalty=min(assessment.penalty, MAX_PENALTY_OF_SLOT * member.slots),
        )
        ejected_ms = min(EJECTION_MS << min(repeats, 8), MAX_EJECTION_MS)
        self._ejections_by_id[member.upstream_id] = _Ejection(
            now_ms,
            now_ms + ejected_ms,
            repeats,
            assessment,
        )
        return EjectionChange(
            service, member.upstream_id, True, assessment, ejected_ms, repeats
        )


class _Room:
    """What may still be ejected of a service.

    Args:
        members: The upstreams of the service.
        ejected_ids: Those that are ejected already.
    """

    def __init__(
        self, members: Sequence[Member], ejected_ids: Collection[str]
    ) -> None:
        sound = [m for m in members if m.upstream_id not in ejected_ids]
        ejected = len(members) - len(sound)
        self._left = math.floor(MAX_EJECTED_SHARE * len(members)) - ejected
        self._sound_slots = sum(member.slots for member in sound)
        self._in_flight = sum(member.in_flight for member in members)

    def take(self, member: Member) -> bool:
        """Takes an upstream out if its share and the slots left allow it.

        Args:
            member: The upstream.

        Returns:
            Whether it may be ejected.
        """
        slots = self._sound_slots - member.slots
        if self._left <= 0 or slots <= self._in_flight:
            return False
        self._left -= 1
        self._sound_slots = slots
        return True


def _worst_first(
    members: Sequence[Member],
    assessments: Mapping[int, outlier_assessment.Assessment],
) -> list[Member]:
    """Returns the outliers among upstreams, the worst first."""
    outliers = [member for member in members if member.tag in assessments]
    outliers.sort(key=lambda member: -assessments[member.tag].penalty)
    return outliers
