"""Outcome reports as the parallel lists of a heartbeat.

The lists are optional: earlier versions send none and ignore those of others.
Lists that do not fit each other are left out, and the rest of the heartbeat
holds.
"""

import dataclasses

from sapphire_core.peers import data
from sapphire_data import failures
from sapphire_wire.gen.peers import ttypes

_PERCENT = 100
# The largest count of a list's type.
_MAX_COUNT = 2**31 - 1


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeLists:
    """The lists by the names that they have in a heartbeat."""

    outcome_tags: list[int]
    ended_well: list[int]
    ended_badly: list[int]
    answered: list[int]
    time_percents: list[int]


def encode(
    reports: tuple[data.OutcomeReport, ...],
) -> OutcomeLists | None:
    """Returns the lists of some reports, None if there are no reports."""
    if not reports:
        return None
    return OutcomeLists(
        [report.tag for report in reports],
        [report.well for report in reports],
        [report.badly for report in reports],
        [report.answered for report in reports],
        [round(report.time_ratio * _PERCENT) for report in reports],
    )


def decode(
    record: ttypes.Beat,
) -> tuple[data.OutcomeReport, ...] | failures.UnreadableInput:
    """Returns the reports of a heartbeat, or what is wrong with its lists.

    Args:
        record: The heartbeat as decoded.
    """
    tags = record.outcome_tags or []
    lists = (
        record.ended_well or [],
        record.ended_badly or [],
        record.answered or [],
        record.time_percents or [],
    )
    if any(len(each) != len(tags) for each in lists):
        return failures.UnreadableInput(
            record.host, "the lists of outcomes differ in length"
        )
    if len(set(tags)) != len(tags):
        return failures.UnreadableInput(
            record.host, "an upstream has two reports of outcomes"
        )
    if not tags:
        return ()
    if min(map(min, lists)) < 0 or max(map(max, lists)) > _MAX_COUNT:
        return failures.UnreadableInput(
            record.host, "a count of outcomes is out of range"
        )
    # A list comprehension takes half the time of a generator.
    return tuple(
        [
            data.OutcomeReport(tag, well, badly, answered, percent / _PERCENT)
            for tag, well, badly, answered, percent in zip(
                tags, *lists, strict=True
            )
        ]
    )
