import testtools
from testtools import matchers

from sapphire_data import records
from sapphire_node import revision_tracker


def configuration(
    revision: int, state: records.DataCentreState
) -> records.Configuration:
    data_centre = records.DataCentre("tacoma", state)
    return records.Configuration(
        revision, f"digest-{revision}", {}, {"tacoma": data_centre}
    )


class RevisionTrackerTest(testtools.TestCase):
    def test_lag_ends_when_the_newest_known_revision_is_active(
        self,
    ) -> None:
        tracker = revision_tracker.RevisionTracker()
        tracker.record_newer_revision(2, now_ms=100)
        tracker.record_prepared(
            configuration(1, records.DataCentreState.IN), now_ms=200
        )
        tracker.record_activated(1)
        self.assertThat(tracker.lag_ms(400), matchers.Equals(300))
        tracker.record_prepared(
            configuration(2, records.DataCentreState.IN), now_ms=450
        )
        tracker.record_activated(2)
        self.assertThat(tracker.lag_ms(900), matchers.Equals(0))
        self.assertThat(tracker.active_digest, matchers.Equals("digest-2"))

    def test_activation_reports_a_data_centre_that_goes_out_or_in(
        self,
    ) -> None:
        tracker = revision_tracker.RevisionTracker()
        moves = []
        for revision, state in (
            (1, records.DataCentreState.IN),
            (2, records.DataCentreState.OUT),
            (3, records.DataCentreState.OUT),
            (4, records.DataCentreState.IN),
        ):
            tracker.record_prepared(configuration(revision, state), now_ms=0)
            moves.append(tracker.record_activated(revision))
        self.assertThat(moves, matchers.Equals([False, True, False, True]))
