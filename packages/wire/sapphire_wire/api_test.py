import pydantic
import testtools
from testtools import matchers

from sapphire_wire import api


class HostStatusTest(testtools.TestCase):
    def test_status_survives_the_round_trip_through_json(self) -> None:
        status = api.HostStatus(
            host_id="h1",
            data_centre="tacoma",
            address="10.0.0.1",
            api_port=7001,
            state=api.HostState.SERVING,
            upstreams=(
                api.UpstreamStatus(
                    service="rota",
                    upstream="rota-1",
                    data_centre="tacoma",
                    flows=12,
                ),
            ),
        )
        decoded = api.HostStatus.model_validate_json(status.model_dump_json())
        self.assertThat(decoded, matchers.Equals(status))

    def test_field_of_a_newer_host_is_ignored(self) -> None:
        report = api.SloReport.model_validate_json(
            '{"host_id": "h1", "data_centre": "tacoma", "since_ms": 1,'
            ' "now_ms": 2, "colour": "blue"}'
        )
        self.assertEqual((), report.series)

    def test_negative_count_is_rejected(self) -> None:
        with testtools.ExpectedException(pydantic.ValidationError):
            api.SloBucket(index=0, good=-1, total=0)
