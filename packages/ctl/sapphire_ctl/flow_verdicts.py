"""What the verdicts of hosts about a flow say of its request.

Each text says how the flow ended as far as a host can know, and whether its
request may have run.
"""

from collections.abc import Collection

from sapphire_core.tagged_flows import data

UNKNOWN = (
    "carried by these hosts; its opening is not in these logs; "
    "its request may have run"
)

# Each refuses an opening packet that no upstream has got.
_REFUSALS = (
    (
        data.Verdict.NO_ROUTE,
        "refused: no route in this host's configuration; not run",
    ),
    (
        data.Verdict.NO_UPSTREAM,
        "refused: no upstream of the service; not run",
    ),
    (
        data.Verdict.SHED,
        "refused at once: the service responds too late for its callers; "
        "not run",
    ),
)
# The first of these that a flow has decides: the specific ones come before
# those that most flows have.
_OTHERS = (
    (
        data.Verdict.UPSTREAM_GONE,
        "ended while open: its upstream was dead; its request may have run",
    ),
    (
        data.Verdict.UNKNOWN_TAG,
        "ended while open: its upstream is not known here; "
        "its request may have run",
    ),
    (
        data.Verdict.GIVEN_UP,
        "never opened by this host: held until its caller gave up, while the "
        "service had no free slot; not run, unless through another host",
    ),
    (
        data.Verdict.UNANSWERED,
        "never answered while opening; not run, unless through another host",
    ),
    (
        data.Verdict.STALLED,
        "stalled while open: its caller repeats its data; "
        "its request may have run",
    ),
    (
        data.Verdict.SECOND_ANSWER,
        "opened through two upstreams: kept at the first that answered this "
        "host; its request may have run there",
    ),
    (
        data.Verdict.FAILED_OVER,
        "answered late: an earlier upstream did not respond; "
        "its request may have run",
    ),
    (
        data.Verdict.SPARED,
        "answered late: its upstream did not respond, and no other was tried "
        "before its caller asked again; its request may have run",
    ),
    (
        data.Verdict.DEFERRED,
        "answered late: deferred while the service had no free slot; "
        "its request may have run",
    ),
    (
        data.Verdict.CLOSED,
        "answered, and closed by its caller; its request may have run",
    ),
    (
        data.Verdict.ANSWERED,
        "opened; its end is not in these logs; its request may have run",
    ),
    (
        data.Verdict.OPENED,
        "opened; no answer passed through these hosts; "
        "its request may have run through another host",
    ),
)


def explain(events: Collection[str]) -> str:
    """Returns in one line how a flow ended, and whether its request ran.

    A caller may use the port of a refused flow again, so a refusal says nothing
    of a flow that was answered too.

    Args:
        events: The names of the events that hosts logged of the flow.
    """
    if data.Verdict.ANSWERED.value not in events:
        for verdict, text in _REFUSALS:
            if verdict.value in events:
                return text
    for verdict, text in _OTHERS:
        if verdict.value in events:
            return text
    return UNKNOWN
