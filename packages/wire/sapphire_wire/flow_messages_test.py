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
            decoded_request = flow_messages.decode_handover_request(
                flow_messages.encode_handover_request(request)
            )
            self.expectThat(decoded_request.ok, matchers.Equals(request))

    def test_page_with_an_upstream_index_out_of_range_is_rejected(self) -> None:
        page = data.HandoverPage(
            service="rota",
            buckets=(),
            kept_buckets=(),
            complete_buckets=(),
            upstreams=("a",),
            flow_hashes=(5,),
            upstream_indices=(1,),
            is_last=True,
        )
        decoded = flow_messages.decode_handover_page(
            flow_messages.encode_handover_page(page)
        )
        self.assertThat(decoded.is_error(), matchers.Equals(True))

    def test_relay_without_visited_hosts_or_fabric_is_rejected(self) -> None:
        for visited, fabric in (
            ((), ("127.0.0.1", 1)),
            (("h",), ("localhost", 1)),
            (("h",), ("127.0.0.1", 0)),
        ):
            relay = data.Relay("h2", visited, None, 1)
            body = flow_messages.encode_relay(relay, b"x", fabric)
            decoded = flow_messages.decode_relay(body)
            self.expectThat(decoded.is_error(), matchers.Equals(True))

    def test_relay_keeps_the_fabric_address_and_the_header(self) -> None:
        relay = data.Relay("h2", ("h1",), "u", 3)
        body = flow_messages.encode_relay(relay, b"x", ("127.0.0.1", 6080))
        decoded = flow_messages.decode_relay(body).ok
        self.assertEqual(("127.0.0.1", 6080), decoded.fabric)
        self.assertEqual(data.RelayHeader(("h1",), "u", 3), decoded.header)

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(strategies.binary(max_size=200))
    def test_arbitrary_bytes_never_raise(self, body: bytes) -> None:
        flow_messages.decode_relay(body)
        flow_messages.decode_handover_request(body)
        flow_messages.decode_handover_page(body)
        flow_messages.decode_observation(body)
