import hypothesis
from hypothesis import strategies
import testtools
from testtools import matchers

from sapphire_core.flows import data
from sapphire_wire import flow_messages

HIGHEST_HASH = (1 << 64) - 1


class FlowMessagesTest(testtools.TestCase):
    def test_records_survive_the_round_trip(self) -> None:
        page = data.HandoverPage(
            service="rota",
            buckets=(1, 2),
            kept_buckets=(1, 2),
            complete_buckets=(2,),
            former_buckets=(1,),
            upstreams=("a", "b"),
            flow_hashes=(0, HIGHEST_HASH),
            upstream_indices=(1, 0),
            is_last=True,
        )
        decoded = flow_messages.decode_handover_page(
            flow_messages.encode_handover_page(page)
        )
        self.assertThat(decoded.ok, matchers.Equals(page))
        for after in (-1, 0, HIGHEST_HASH):
            request = data.HandoverRequest("rota", (3,), after)
            answer = flow_messages.decode_handover_request(
                flow_messages.encode_handover_request(request)
            )
            self.expectThat(answer.ok, matchers.Equals(request))

    def test_a_page_that_names_no_upstream_is_refused(self) -> None:
        page = data.HandoverPage(
            service="rota",
            buckets=(),
            kept_buckets=(),
            complete_buckets=(),
            former_buckets=(),
            upstreams=("a",),
            flow_hashes=(5,),
            upstream_indices=(1,),
            is_last=True,
        )
        decoded = flow_messages.decode_handover_page(
            flow_messages.encode_handover_page(page)
        )
        self.assertThat(decoded.is_error(), matchers.Equals(True))

    def test_a_relay_without_an_entry_host_is_refused(self) -> None:
        body = flow_messages.encode_relay(data.Relay("h", (), None, 1), b"x")
        decoded = flow_messages.decode_relay(body)
        self.assertThat(decoded.is_error(), matchers.Equals(True))

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(strategies.binary(max_size=200))
    def test_arbitrary_bytes_never_raise(self, body: bytes) -> None:
        flow_messages.decode_relay(body)
        flow_messages.decode_handover_request(body)
        flow_messages.decode_handover_page(body)
        flow_messages.decode_overlay(body)
