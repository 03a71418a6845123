"""Text and JSON fields of changes and plans."""

import datetime
from typing import Any

from sapphire_ctl import configuration_change
from sapphire_ctl import output
from sapphire_ctl import planning
from sapphire_data import clock

UNKNOWN = "unknown"
MAX_DIFFERENCES_SHOWN = 200
_DIGEST_SHOWN = 12


def show_change(
    out: output.Output,
    outcome: configuration_change.ChangeResult,
    how: configuration_change.ChangeOptions,
) -> None:
    """Writes what became of a change as text.

    Args:
        out: Where it goes.
        outcome: What became of it.
        how: How it was to be made.
    """
    if outcome.plan is not None:
        show_plan(out, outcome.plan)
    if outcome.revision is None:
        if how.is_dry_run and outcome.plan is not None:
            out.write_line("nothing was changed")
        return
    note = ", found by reading back" if outcome.was_answer_lost else ""
    out.write_line(f"accepted: revision {outcome.revision}{note}")
    if outcome.is_in_force:
        out.write_line(f"in force on all hosts: revision {outcome.revision}")
    elif outcome.is_in_force is None:
        out.write_line("hosts were not asked whether it is in force")


def show_plan(out: output.Output, plan: planning.PlanSummary) -> None:
    """Writes a plan as text.

    Args:
        out: Where it goes.
        plan: The plan.
    """
    out.write_line(
        f"revision {plan.revision_before} -> {plan.revision_after},"
        f" document {short_digest(plan.digest_before)} ->"
        f" {short_digest(plan.digest_after)}"
    )
    if plan.is_empty:
        out.write_line("no difference")
        return
    if plan.differences:
        out.write_table(
            ("difference", "before", "after"),
            ((item.path, item.before, item.after) for item in plan.differences),
        )
    if plan.effects:
        out.write_table(
            ("service", "upstreams", "slots", "flows given up"),
            (
                (
                    effect.service,
                    f"{effect.upstreams_before} -> {effect.upstreams_after}",
                    f"{effect.slots_before} -> {effect.slots_after}",
                    UNKNOWN
                    if effect.flows_given_up is None
                    else effect.flows_given_up,
                )
                for effect in plan.effects
            ),
        )
    for danger in plan.dangers:
        out.write_line(f"danger: {danger.code}, needs --lose {danger.lost}")


def change_fields(outcome: configuration_change.ChangeResult) -> dict[str, Any]:
    """Returns the JSON fields of a change.

    Args:
        outcome: What became of it.

    Returns:
        The fields.
    """
    return {
        "revision": outcome.revision,
        "was_answer_lost": outcome.was_answer_lost,
        "is_in_force": outcome.is_in_force,
        "plan": outcome.plan,
    }


def short_digest(digest: str) -> str:
    """Returns the start of a digest, or a dash for none."""
    return digest[:_DIGEST_SHOWN] or "-"


def format_utc(wall_ms: int) -> str:
    """Returns a wall time as text, to the second."""
    moment = datetime.datetime.fromtimestamp(
        wall_ms / clock.MS_PER_SECOND, datetime.UTC
    )
    return moment.strftime("%Y-%m-%d %H:%M:%S")
