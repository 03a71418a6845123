import testtools

from sapphire_core.flows import data
from sapphire_core.flows import upstream_health

FAILED = data.ObservedState.FAILED
COLD = data.ObservedState.COLD

# Each entry: the fault, the events as (kind, value, time in ms), and the last
# state that is proposed. The kinds are a "new" connection, a check of the
# health "endpoint" and a "boot" identity.
FAULTS = (
    ("one lost connection", [("new", False, 0)], None),
    (
        "two lost connections, then an answer, then a lost one",
        [
            ("new", False, 0),
            ("new", False, 900),
            ("new", True, 1_000),
            ("new", False, 2_500),
        ],
        None,
    ),
    (
        "three lost connections over one second",
        [("new", False, 0), ("new", False, 500), ("new", False, 1_000)],
        FAILED,
    ),
    (
        "three lost connections at the same time",
        [("new", False, 5), ("new", False, 5), ("new", False, 6)],
        None,
    ),
    (
        "unhealthy check while new connections are answered",
        [("new", True, 0), ("endpoint", False, 100)],
        None,
    ),
    ("unhealthy check, no connections", [("endpoint", False, 0)], FAILED),
    (
        "healthy checks while new connections fail",
        [
            ("new", False, 0),
            ("endpoint", True, 100),
            ("new", False, 600),
            ("endpoint", True, 700),
            ("new", False, 1_200),
        ],
        FAILED,
    ),
    (
        "healthy check after a failure",
        [
            ("new", False, 0),
            ("new", False, 600),
            ("new", False, 1_200),
            ("endpoint", True, 1_300),
        ],
        FAILED,
    ),
    (
        "a failed upstream recovers as cold",
        [
            ("new", False, 0),
            ("new", False, 600),
            ("new", False, 1_200),
            ("new", True, 2_000),
            ("new", True, 2_100),
        ],
        COLD,
    ),
    ("first boot identity", [("boot", "a", 0)], None),
    (
        "another boot identity without a failure",
        [("boot", "a", 0), ("boot", "b", 9)],
        COLD,
    ),
)


class UpstreamHealthTest(testtools.TestCase):
    def test_each_fault_gets_the_expected_proposal(self) -> None:
        for fault, events, expected in FAULTS:
            health = upstream_health.UpstreamHealth()
            state = None
            version = 0
            for kind, value, now_ms in events:
                proposal = self.apply_event(
                    health, kind, value, version, now_ms
                )
                if proposal is not None:
                    self.assertEqual(version + 1, proposal.version, fault)
                    version = proposal.version
                    state = proposal.state
            self.assertEqual(expected, state, fault)

    def apply_event(
        self,
        health: upstream_health.UpstreamHealth,
        kind: str,
        value: object,
        version: int,
        now_ms: int,
    ) -> data.UpstreamObservation | None:
        if kind == "new":
            return health.record_connection("u", bool(value), version, now_ms)
        if kind == "endpoint":
            return health.record_health_check("u", bool(value), version, now_ms)
        return health.record_boot_id("u", str(value), version)
