import json
from typing import Any

import hypothesis
from hypothesis import strategies
import testtools
from testtools import matchers

from sapphire_data import failures
from sapphire_data import records
from sapphire_wire.documents import decode

COMMENTED = b"""
// The rota board.
{
  data_centres: {tacoma: {}, salem: {state: 'out'}},
  services: {
    rota: {
      buckets: 13,
      pool: {
        'rota-1': {data_centre: 'tacoma', slots: 3, intent: 'drain'},
      },
      limits: {max_queue: 5},
    },
  },
}
"""


class DocumentTest(testtools.TestCase):
    def test_document_with_comments_is_decoded(self) -> None:
        document, errors = decode.decode_document(COMMENTED)
        self.assertEqual([], errors)
        assert document is not None
        service = document.services_by_name["rota"]
        member = service.pool_by_name["rota-1"]
        self.assertThat(service.bucket_count, matchers.Equals(13))
        self.assertThat(service.limits.max_queue, matchers.Equals(5))
        self.assertThat(member.slots, matchers.Equals(3))
        self.assertIs(member.intent, records.UpstreamIntent.DRAIN)
        salem = document.data_centres_by_name["salem"]
        self.assertIs(salem.state, records.DataCentreState.OUT)

    def test_all_errors_are_reported_with_path_and_expected_value(self) -> None:
        pool: dict[str, Any] = {
            "UPPER": {"data_centre": "tacoma"},
            "a-1": {"data_centre": "tacoma", "slots": 0, "weight": 2},
            "a-2": {},
        }
        service = {
            "buckets": 12,
            "pool": pool,
            "objectives": {"flows_kept": 1.0},
        }
        content = json.dumps(
            {
                "data_centres": {"tacoma": {"state": "maybe"}},
                "services": {"rota": service},
                "extra": 1,
            }
        )
        document, errors = decode.decode_document(content.encode())
        self.assertIsNone(document)
        paths = sorted(
            error.path
            for error in errors
            if isinstance(error, failures.InvalidField) and error.expected
        )
        self.assertThat(
            paths,
            matchers.Equals(
                [
                    "data_centres.tacoma.state",
                    "extra",
                    "services.rota.buckets",
                    "services.rota.objectives.flows_kept",
                    "services.rota.pool.UPPER",
                    "services.rota.pool.a-1.slots",
                    "services.rota.pool.a-1.weight",
                    "services.rota.pool.a-2.data_centre",
                ]
            ),
        )

    def test_unknown_data_centre_and_duplicate_upstream_are_errors(
        self,
    ) -> None:
        pool = {"a-1": {"data_centre": "riga"}}
        content = json.dumps(
            {
                "data_centres": {"tacoma": {}},
                "services": {"rota": {"pool": pool}, "plans": {"pool": pool}},
            }
        )
        _, errors = decode.decode_document(content.encode())
        self.assertThat(errors, matchers.HasLength(3))

    def test_duplicate_key_is_an_error(self) -> None:
        for content in (
            b'{"data_centres": {}, "services": {}, "services": {}}',
            b"{data_centres: {}, services: {}, services: {}}",
        ):
            _, errors = decode.decode_document(content)
            self.assertIsInstance(errors[0], failures.UnreadableInput)

    def test_deeply_nested_non_finite_or_malformed_input_is_an_error(
        self,
    ) -> None:
        for content in (
            b"[" * 100_000,
            b'{"data_centres": {}, "services": {"a": {"pool": {},'
            b' "limits": {"retry_share": NaN}}}}',
            b"\xff",
            b"",
        ):
            document, errors = decode.decode_document(content)
            self.assertIsNone(document)
            self.assertThat(errors, matchers.HasLength(1))

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
    @hypothesis.given(strategies.binary(max_size=60))
    def test_arbitrary_bytes_never_raise(self, content: bytes) -> None:
        for decoder in (decode.decode_document, decode.decode_bindings):
            decoded, errors = decoder(content)
            self.assertThat(decoded is None, matchers.Equals(bool(errors)))

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
    @hypothesis.given(
        strategies.integers(min_value=0, max_value=len(COMMENTED) - 1),
        strategies.binary(max_size=4),
    )
    def test_altered_documents_never_raise(
        self, position: int, inserted: bytes
    ) -> None:
        content = COMMENTED[:position] + inserted + COMMENTED[position + 1 :]
        document, errors = decode.decode_document(content)
        self.assertThat(document is None, matchers.Equals(bool(errors)))


class BindingsTest(testtools.TestCase):
    def test_addresses_are_converted_to_canonical_form(self) -> None:
        bindings, errors = decode.decode_bindings(
            b"{services: {rota: {address: '2001:DB8::1', port: 443}},"
            b" upstreams: {}}"
        )
        self.assertEqual([], errors)
        assert bindings is not None
        rota = bindings.services_by_name["rota"]
        self.assertThat(rota.address, matchers.Equals("2001:db8::1"))

    def test_dns_names_and_invalid_ports_are_errors(self) -> None:
        _, errors = decode.decode_bindings(
            b"{services: {rota: {address: 'example', port: 0}},"
            b" upstreams: {u: {address: '::1', packet_port: true}}}"
        )
        self.assertThat(errors, matchers.HasLength(4))
