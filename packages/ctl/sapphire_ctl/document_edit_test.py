import testtools

from sapphire_ctl import document_edit
from sapphire_data import records
from sapphire_wire.documents import decode

_COMMENTED = b"""
// The rota board.
{
  data_centres: {tacoma: {}, salem: {state: 'out'}},
  services: {
    rota: {pool: {'rota-1': {data_centre: 'tacoma', slots: 3}}},
  },
}
"""


class DocumentEditTest(testtools.TestCase):
    def test_edits_keep_everything_but_comments(self) -> None:
        edited = document_edit.set_data_centre_state(
            _COMMENTED, "tacoma", records.DataCentreState.OUT
        ).ok
        edited = document_edit.set_upstream_intent(
            edited, "rota-1", records.UpstreamIntent.DRAIN
        ).ok
        document, errors = decode.decode_document(edited)
        self.assertEqual([], errors)
        assert document is not None
        self.assertEqual(
            {"tacoma": "out", "salem": "out"},
            {
                name: data_centre.state.value
                for name, data_centre in document.data_centres_by_name.items()
            },
        )
        upstream = document.services_by_name["rota"].pool_by_name["rota-1"]
        self.assertEqual(
            (3, records.UpstreamIntent.DRAIN),
            (upstream.slots, upstream.intent),
        )

    def test_failure_for_an_unknown_name_lists_existing_names(self) -> None:
        failure = document_edit.set_upstream_intent(
            _COMMENTED, "rota-2", records.UpstreamIntent.DRAIN
        ).error
        self.assertEqual(("rota-1",), failure.known)
