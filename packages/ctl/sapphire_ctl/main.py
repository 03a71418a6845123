"""The operators' command line tool, `sapphirectl`."""

import typer

from sapphire_ctl.commands import check
from sapphire_ctl.commands import document_edits
from sapphire_ctl.commands import documents
from sapphire_ctl.commands import explain
from sapphire_ctl.commands import history
from sapphire_ctl.commands import report
from sapphire_ctl.commands import status

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
app.command("plan", epilog=documents.PLAN_EXAMPLES)(documents.plan)
app.command("apply", epilog=documents.APPLY_EXAMPLES)(documents.apply)
app.command("promote", epilog=documents.PROMOTE_EXAMPLES)(documents.promote)
app.command("rollback", epilog=documents.ROLLBACK_EXAMPLES)(documents.rollback)
app.command("status", epilog=status.EXAMPLES)(status.status)
app.command("history", epilog=history.EXAMPLES)(history.history)
app.command("explain", epilog=explain.EXAMPLES)(explain.explain)
app.command("report", epilog=report.EXAMPLES)(report.report)
data_centre_app.command("out", epilog=document_edits.DATA_CENTRE_EXAMPLES)(
    document_edits.data_centre_out
)
data_centre_app.command("in", epilog=document_edits.DATA_CENTRE_EXAMPLES)(
    document_edits.data_centre_in
)
upstream_app.command("drain", epilog=document_edits.UPSTREAM_EXAMPLES)(
    document_edits.upstream_drain
)
upstream_app.command("undrain", epilog=document_edits.UPSTREAM_EXAMPLES)(
    document_edits.upstream_undrain
)

if __name__ == "__main__":
    app()
