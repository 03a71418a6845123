import testtools
from testtools import matchers

from sapphire_net import metrics


class MetricsTest(testtools.TestCase):
    def test_counters_are_read_when_metrics_are_collected(self) -> None:
        instruments = metrics.Metrics("sapphirearchd", "h1")
        self.addCleanup(instruments.close)
        attributes = (("error.type", "MalformedPacket"),)
        counts: dict[metrics.Attributes, float] = {attributes: 2.0}
        instruments.register_counter(
            "sapphirearch.packets.dropped", "{packet}", "Drops.", lambda: counts
        )
        counts[attributes] = 5.0
        text = instruments.render().decode()
        self.assertThat(
            text,
            matchers.MatchesRegex(
                r"(?s).*sapphirearch_packets_dropped_total\{.*"
                r'error_type="MalformedPacket".*\} 5\.0'
            ),
        )

    def test_two_meters_in_one_process_do_not_collide(self) -> None:
        for instance_id in ("h1", "h2"):
            instruments = metrics.Metrics("sapphirearchd", instance_id)
            self.addCleanup(instruments.close)
            instruments.register_gauge(
                "sapphirearch.members", "{host}", "Members.", lambda: {(): 1.0}
            )
            self.assertThat(
                instruments.render().decode(),
                matchers.Contains(f'service_instance_id="{instance_id}"'),
            )
