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


class ChangeLogTest(testtools.TestCase):
    def test_lag_lasts_until_the_newest_known_revision_is_in_force(
        self,
    ) -> None:
        log = revision_tracker.RevisionTracker()
        log.record_newer_revision(2, now_ms=100)
        log.record_prepared(
            configuration(1, records.DataCentreState.IN), now_ms=200
        )
        log.record_activated(1)
        self.assertThat(log.lag_ms(400), matchers.Equals(300))
        log.record_prepared(
            configuration(2, records.DataCentreState.IN), now_ms=450
        )
        log.record_activated(2)
        self.assertThat(log.lag_ms(900), matchers.Equals(0))
        self.assertThat(log.active_digest, matchers.Equals("digest-2"))

    def test_a_move_of_a_data_centre_is_recognised(self) -> None:
        log = revision_tracker.RevisionTracker()
        moves = []
        for revision, state in (
            (1, records.DataCentreState.IN),
            (2, records.DataCentreState.OUT),
            (3, records.DataCentreState.OUT),
            (4, records.DataCentreState.IN),
        ):
            log.record_prepared(configuration(revision, state), now_ms=0)
            moves.append(log.record_activated(revision))
        self.assertThat(moves, matchers.Equals([False, True, False, True]))
