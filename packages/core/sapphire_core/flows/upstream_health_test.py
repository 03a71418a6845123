import testtools

from sapphire_core.flows import data
from sapphire_core.flows import upstream_health

FAILED = data.ObservedState.FAILED
COLD = data.ObservedState.COLD

# Each line: the fault, the events as (kind, value, time), the last proposal.
FAULTS = (
    ("one lost connection", [("new", False, 0)], None),
    (
        "two losses, then an answer, then a loss",
        [
            ("new", False, 0),
            ("new", False, 900),
            ("new", True, 1_000),
            ("new", False, 2_500),
        ],
        None,
    ),
    (
        "three losses over a second",
        [("new", False, 0), ("new", False, 500), ("new", False, 1_000)],
        FAILED,
    ),
    (
        "three losses at one moment",
        [("new", False, 5), ("new", False, 5), ("new", False, 6)],
        None,
    ),
    (
        "endpoint says unhealthy while new connections are answered",
        [("new", True, 0), ("endpoint", False, 100)],
        None,
    ),
    ("endpoint says unhealthy, nothing else", [("endpoint", False, 0)], FAILED),
    (
        "endpoint says healthy while new connections fail",
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
        "endpoint says healthy after a failure",
        [
            ("new", False, 0),
            ("new", False, 600),
            ("new", False, 1_200),
            ("endpoint", True, 1_300),
        ],
        FAILED,
    ),
    (
        "recovery comes back cold",
        [
            ("new", False, 0),
            ("new", False, 600),
            ("new", False, 1_200),
            ("new", True, 2_000),
            ("new", True, 2_100),
        ],
        COLD,
    ),
    ("first identity", [("boot", "a", 0)], None),
    ("restart without notice", [("boot", "a", 0), ("boot", "b", 9)], COLD),
)


class UpstreamHealthTest(testtools.TestCase):
    def test_faults(self) -> None:
        for fault, events, expected in FAULTS:
            health = upstream_health.UpstreamHealth()
            state = None
            version = 0
            for kind, value, now_ms in events:
                proposal = self.apply(health, kind, value, version, now_ms)
                if proposal is not None:
                    self.assertEqual(version + 1, proposal.version, fault)
                    version = proposal.version
                    state = proposal.state
            self.assertEqual(expected, state, fault)

    def apply(
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
