import testtools

from sapphire_core.tagged_flows import data
from sapphire_ctl import flow_verdicts

_REFUSALS = (
    data.Verdict.NO_ROUTE,
    data.Verdict.NO_UPSTREAM,
    data.Verdict.SHED,
)


class FlowVerdictsTest(testtools.TestCase):
    def test_each_verdict_says_whether_the_request_may_have_run(self) -> None:
        for verdict in data.Verdict:
            text = flow_verdicts.explain([verdict.value])
            self.assertNotEqual(flow_verdicts.UNKNOWN, text, verdict)
            self.assertRegex(text, "not run|may have run", verdict)

    def test_only_refusals_say_not_run_without_condition(self) -> None:
        for verdict in data.Verdict:
            text = flow_verdicts.explain([verdict.value])
            is_not_run = text.endswith("not run")
            self.assertEqual(verdict in _REFUSALS, is_not_run, verdict)

    def test_a_refusal_decides_over_an_opening(self) -> None:
        text = flow_verdicts.explain(["opened", "shed"])
        self.assertTrue(text.endswith("not run"))

    def test_a_refusal_says_nothing_of_a_flow_that_was_answered(self) -> None:
        text = flow_verdicts.explain(["shed", "opened", "answered", "closed"])
        self.assertIn("may have run", text)

    def test_a_flow_without_a_verdict_may_have_run(self) -> None:
        self.assertIn("may have run", flow_verdicts.explain(["carried"]))
