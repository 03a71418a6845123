import testtools

from sapphire_core.flows import data
from sapphire_core.flows import history_cut
from sapphire_lab.flows import builders

IDLE_MS = 1_000
SERVICE = builders.service(
    "rota",
    [builders.upstream(name) for name in "abcd"],
    ["abc", "abd", "abcd"],
)
MEMBERS = {host: builders.member(host) for host in ("h1", "h2")}


def report(
    host: str,
    oldest: int | None = None,
    spilled: bool = False,
    ramping: str = "",
    observed_ms: int = IDLE_MS,
) -> history_cut.NeedReport:
    return history_cut.NeedReport(
        host, "rota", oldest, spilled, frozenset(ramping), observed_ms
    )


# Each line: the moment, the reports, the generation to keep from.
CASES = (
    ("nobody needs any", [report("h1"), report("h2")], 3),
    ("one needs the second", [report("h1", 2), report("h2")], 2),
    ("one needs the first", [report("h1", 2), report("h2", 1)], None),
    ("one host is silent", [report("h1")], None),
    ("one host is new", [report("h1"), report("h2", observed_ms=5)], None),
    ("a flow spilled", [report("h1"), report("h2", spilled=True)], None),
)


class ProposeTest(testtools.TestCase):
    def test_cuts(self) -> None:
        for moment, reports, expected in CASES:
            proposal = history_cut.propose(SERVICE, reports, MEMBERS, IDLE_MS)
            kept = proposal.keep_from if proposal is not None else None
            self.assertEqual(expected, kept, moment)

    def test_overlays_settle_after_their_ramp(self) -> None:
        overlays = [
            data.Overlay("a", data.OverlayState.COLD, "x", 4),
            data.Overlay("b", data.OverlayState.COLD, "x", 4),
            data.Overlay("c", data.OverlayState.FAILED, "x", 4),
        ]
        settled = history_cut.propose_settled(
            SERVICE,
            overlays,
            [report("h1"), report("h2", ramping="b")],
            MEMBERS,
            IDLE_MS,
        )
        expected = data.Overlay("a", data.OverlayState.SETTLED, "x", 5)
        self.assertEqual([expected], settled)
