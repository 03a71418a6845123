"""The command line of the operators, `sapphirectl`."""

import typer

from sapphire_ctl.commands import change
from sapphire_ctl.commands import check
from sapphire_ctl.commands import look
from sapphire_ctl.commands import report

_EPILOG = """
Exit statuses: 0 done, 2 wrong option, 3 invalid input, 4 conflict with
another change, 5 refused, 6 dangerous without --lose, 7 store unavailable,
8 outcome unknown, 9 a host did not answer, 10 not in force everywhere,
11 an objective burns, 12 not found.
"""

app = typer.Typer(
    name="sapphirectl",
    help="Change and watch the configuration of sapphirearch.",
    epilog=_EPILOG,
    no_args_is_help=True,
    pretty_exceptions_show_locals=False,
)
data_centre_app = typer.Typer(
    help="Take data centres out and in.", no_args_is_help=True
)
upstream_app = typer.Typer(
    help="Drain and undrain upstreams.", no_args_is_help=True
)
app.add_typer(data_centre_app, name="data-centre")
app.add_typer(upstream_app, name="upstream")

app.command("check", epilog=check.EXAMPLES)(check.check)
app.command("plan", epilog=change.PLAN_EXAMPLES)(change.plan)
app.command("apply", epilog=change.APPLY_EXAMPLES)(change.apply)
app.command("promote", epilog=change.PROMOTE_EXAMPLES)(change.promote)
app.command("rollback", epilog=change.ROLLBACK_EXAMPLES)(change.rollback)
app.command("status", epilog=look.STATUS_EXAMPLES)(look.status)
app.command("history", epilog=look.HISTORY_EXAMPLES)(look.history)
app.command("report", epilog=report.EXAMPLES)(report.report)
data_centre_app.command("out", epilog=change.DATA_CENTRE_EXAMPLES)(
    change.data_centre_out
)
data_centre_app.command("in", epilog=change.DATA_CENTRE_EXAMPLES)(
    change.data_centre_in
)
upstream_app.command("drain", epilog=change.UPSTREAM_EXAMPLES)(
    change.upstream_drain
)
upstream_app.command("undrain", epilog=change.UPSTREAM_EXAMPLES)(
    change.upstream_undrain
)

if __name__ == "__main__":
    app()
