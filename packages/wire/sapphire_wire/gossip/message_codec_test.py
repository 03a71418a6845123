import hypothesis
from hypothesis import strategies
import testtools
from testtools import matchers

from sapphire_core.membership import data
from sapphire_core.membership import message_size
from sapphire_data import records
from sapphire_wire import codec
from sapphire_wire.gen.membership import ttypes
from sapphire_wire.gossip import message_codec

_names = strategies.text(min_size=1, max_size=16)
_numbers = strategies.integers(0, 2**63 - 1)
_digests = strategies.integers(0, 2**64 - 1)
_hosts = strategies.builds(
    records.HostAddress,
    host_id=_names,
    data_centre=_names,
    address=strategies.ip_addresses().map(str),
    control_port=strategies.integers(1, 65_535),
    api_port=strategies.integers(1, 65_535),
)
_members = strategies.builds(
    data.MemberEntry,
    host=_hosts,
    incarnation=_numbers,
    state=strategies.sampled_from(records.MemberState),
)
_facts = strategies.builds(
    data.FactEntry,
    key=_names,
    version=_numbers,
    value=strategies.binary(max_size=64),
    ttl_ms=_numbers,
)
_prepared = strategies.builds(
    data.PreparedEntry,
    revision=_numbers,
    roster_digest=_digests,
    bits=strategies.binary(max_size=90),
)
_messages = strategies.builds(
    data.GossipMessage,
    kind=strategies.sampled_from(data.MessageKind),
    number=_numbers,
    origin=_members,
    subject=strategies.text(max_size=16),
    digest=_digests,
    members=strategies.lists(_members, max_size=3).map(tuple),
    facts=strategies.lists(_facts, max_size=3).map(tuple),
    prepared=strategies.lists(_prepared, max_size=3).map(tuple),
    bucket_digests=strategies.lists(_digests, max_size=32).map(tuple),
    cursor=strategies.integers(-1, 2**31),
)
_FEW = hypothesis.settings(derandomize=True, deadline=None, max_examples=60)


def _member(**changes: object) -> ttypes.MemberEntry:
    fields: dict[str, object] = {
        "host_id": "h1",
        "data_centre": "tacoma",
        "address": b"\x0a\x00\x00\x01",
        "control_port": 7_000,
        "api_port": 7_001,
        "incarnation": 1,
        "state": 1,
    }
    fields.update(changes)
    return ttypes.MemberEntry(**fields)


class RoundTripTest(testtools.TestCase):
    @_FEW
    @hypothesis.given(_messages)
    def test_message_survives_the_round_trip_within_the_computed_size(
        self, message: data.GossipMessage
    ) -> None:
        body = message_codec.encode(message)
        self.assertThat(message_codec.decode(body).ok, matchers.Equals(message))
        largest_size = message_size.message_bytes(message)
        self.assertThat(len(body), matchers.LessThan(largest_size + 1))


class ValidationTest(testtools.TestCase):
    @_FEW
    @hypothesis.given(strategies.binary(max_size=200))
    def test_arbitrary_bytes_never_raise(self, body: bytes) -> None:
        decoded = message_codec.decode(body)
        self.assertThat(
            decoded.is_ok() != decoded.is_error(), matchers.Equals(True)
        )

    def test_invalid_fields_are_typed_failures(self) -> None:
        table = (
            ({"kind": 99}, "kind"),
            ({"number": -1}, "number"),
            ({"origin": _member(state=9)}, "origin.state"),
            ({"origin": _member(address=b"abc")}, "origin.address"),
            ({"origin": _member(host_id="")}, "origin.host_id"),
            ({"origin": _member(control_port=0)}, "origin.control_port"),
            ({"members": [_member(incarnation=-1)]}, "members[0].incarnation"),
            (
                {"facts": [ttypes.FactEntry("k", 1, b"x" * 2_000)]},
                "facts[0].value",
            ),
            (
                {"prepared": [ttypes.PreparedEntry(-1, 0, b"")]},
                "prepared[0].revision",
            ),
            ({"bucket_digests": [0] * 300}, "bucket_digests"),
        )
        for changes, path in table:
            fields: dict[str, object] = {
                "kind": 1,
                "number": 1,
                "origin": _member(),
            }
            fields.update(changes)
            body = codec.encode(ttypes.GossipMessage(**fields))
            failure = message_codec.decode(body).error
            self.assertThat(
                getattr(failure, "path", repr(failure)), matchers.Equals(path)
            )
