"""Renders changes and plans as text and as fields of JSON."""

import datetime
from typing import Any

from sapphire_ctl import configuration_change
from sapphire_ctl import output
from sapphire_ctl import planning
from sapphire_data import clock

UNKNOWN = "unknown"
MAX_DIFFERENCES_SHOWN = 200
_DIGEST_DIGITS_SHOWN = 12


def show_change(
    out: output.Output,
    result: configuration_change.ChangeResult,
    options: configuration_change.ChangeOptions,
) -> None:
    """Writes the result of a change as text.

    Args:
        out: The output to write to.
        result: The result.
        options: The operator's options for the change.
    """
    if result.plan is not None:
        show_plan(out, result.plan)
    if result.revision is None:
        if options.is_dry_run and result.plan is not None:
            out.write_line("nothing was changed")
        return
    note = ", confirmed by reading back" if result.was_answer_lost else ""
    out.write_line(f"accepted: revision {result.revision}{note}")
    if result.is_in_force:
        out.write_line(f"in force on all hosts: revision {result.revision}")
    elif result.is_in_force is None:
        out.write_line("whether it is in force on the hosts was not checked")


def show_plan(out: output.Output, plan: planning.PlanSummary) -> None:
    """Writes a plan as text.

    Args:
        out: The output to write to.
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
            ("service", "upstreams", "slots", "flows opened"),
            (
                (
                    effect.service,
                    f"{effect.upstreams_before} -> {effect.upstreams_after}",
                    f"{effect.slots_before} -> {effect.slots_after}",
                    UNKNOWN
                    if effect.flows_opened is None
                    else effect.flows_opened,
                )
                for effect in plan.effects
            ),
        )
    for danger in plan.dangers:
        out.write_line(f"danger: {danger.code}, needs --lose {danger.lost}")


def change_fields(result: configuration_change.ChangeResult) -> dict[str, Any]:
    """Returns the JSON fields of a change.

    Args:
        result: The result of the change.

    Returns:
        The fields.
    """
    return {
        "revision": result.revision,
        "was_answer_lost": result.was_answer_lost,
        "is_in_force": result.is_in_force,
        "plan": result.plan,
    }


def short_digest(digest: str) -> str:
    """Returns the first digits of a digest, or a dash if it is empty."""
    return digest[:_DIGEST_DIGITS_SHOWN] or "-"


def format_utc(wall_ms: int) -> str:
    """Formats a wall time as UTC to the second."""
    moment = datetime.datetime.fromtimestamp(
        wall_ms / clock.MS_PER_SECOND, datetime.UTC
    )
    return moment.strftime("%Y-%m-%d %H:%M:%S")
