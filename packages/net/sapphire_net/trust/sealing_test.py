import hypothesis
from hypothesis import strategies
import testtools

from sapphire_data import failures as data_failures
from sapphire_lab.trust import builders
from sapphire_net.trust import failures
from sapphire_net.trust import sealing
from sapphire_wire import codec
from sapphire_wire import message_kind
from sapphire_wire.gen.envelope import ttypes as envelope_types

_INT64 = strategies.integers(min_value=-(2**63), max_value=2**63 - 1)
_INT16 = strategies.integers(min_value=-(2**15), max_value=2**15 - 1)
_GOSSIP = message_kind.MessageKind.GOSSIP


def _sealer() -> sealing.Sealer:
    return sealing.Sealer("h1", builders.key_ring(1))


def _opener(max_senders: int = 100) -> sealing.Opener:
    return sealing.Opener(
        builders.OWN_NAME, builders.key_ring(1), max_senders=max_senders
    )


def _seal(
    sealer: sealing.Sealer, wall_ms: int = builders.WALL_CLOCK_MS
) -> bytes:
    return sealer.seal(builders.OWN_NAME, _GOSSIP, b"body", wall_ms)


class SealingTest(testtools.TestCase):
    def _assert_refused(
        self,
        opener: sealing.Opener,
        data: bytes,
        failure_type: type,
        wall_ms: int = builders.WALL_CLOCK_MS,
    ) -> None:
        self.assertIsInstance(opener.open(data, wall_ms), failure_type)

    def test_opened_datagram_equals_the_sealed_one(self) -> None:
        opened = _opener().open(_seal(_sealer()), builders.WALL_CLOCK_MS + 5)
        self.assertEqual(
            sealing.OpenedDatagram(
                "h1", _GOSSIP, builders.WALL_CLOCK_MS, b"body"
            ),
            opened,
        )

    def test_replay_is_refused(self) -> None:
        opener = _opener()
        data = _seal(_sealer())
        opener.open(data, builders.WALL_CLOCK_MS)
        self._assert_refused(opener, data, failures.ReplayedDatagram)

    def test_datagram_for_another_host_is_refused(self) -> None:
        other = sealing.Opener(builders.OTHER_NAME, builders.key_ring(1))
        self._assert_refused(other, _seal(_sealer()), failures.BadTag)

    def test_reordered_datagrams_are_accepted_once_each(self) -> None:
        opener = _opener()
        sealer = _sealer()
        datagrams = [_seal(sealer) for _ in range(50)]
        for data in reversed(datagrams):
            opened = opener.open(data, builders.WALL_CLOCK_MS)
            self.assertIsInstance(opened, sealing.OpenedDatagram)
        for data in datagrams:
            self._assert_refused(opener, data, failures.ReplayedDatagram)

    def test_datagram_outside_the_time_window_is_refused(self) -> None:
        for skew_ms in (-30_001, 30_001):
            self._assert_refused(
                _opener(),
                _seal(_sealer()),
                failures.OutsideTimeWindow,
                builders.WALL_CLOCK_MS + skew_ms,
            )

    def test_alteration_of_any_field_is_refused(self) -> None:
        changes: list[tuple[str, object]] = [
            ("sender", "h2"),
            ("sequence", 9),
            ("sent_ms", builders.WALL_CLOCK_MS + 1),
            ("kind", 1),
            ("body", b"bodY"),
            ("tag", b""),
        ]
        for field, value in changes:
            sealed = codec.decode(envelope_types.Sealed, _seal(_sealer())).ok
            setattr(sealed, field, value)
            self._assert_refused(
                _opener(), codec.encode(sealed), failures.BadTag
            )

    def test_key_rotation_refuses_no_datagram(self) -> None:
        sealer = _sealer()
        opener = _opener()
        for ring in (
            builders.key_ring(1, 2, signing_id=1),
            builders.key_ring(1, 2),
            builders.key_ring(2),
        ):
            opener.replace_ring(ring)
            sealer.replace_ring(ring)
            opened = opener.open(_seal(sealer), builders.WALL_CLOCK_MS)
            self.assertIsInstance(opened, sealing.OpenedDatagram)
        self._assert_refused(opener, _seal(_sealer()), failures.UnknownKey)

    def test_unknown_kind_is_refused(self) -> None:
        data = _sealer().seal(
            builders.OWN_NAME,
            30_000,  # type: ignore[arg-type]
            b"",
            builders.WALL_CLOCK_MS,
        )
        self._assert_refused(_opener(), data, failures.UnknownKind)

    def test_replay_window_is_bounded_and_evicts_old_senders(self) -> None:
        opener = _opener(max_senders=2)
        for host_id in ("h1", "h2"):
            sealer = sealing.Sealer(host_id, builders.key_ring(1))
            opener.open(_seal(sealer), builders.WALL_CLOCK_MS)
        late = sealing.Sealer("h3", builders.key_ring(1))
        self._assert_refused(opener, _seal(late), failures.TooManySenders)
        later_ms = builders.WALL_CLOCK_MS + sealing.DEFAULT_TIME_WINDOW_MS + 1
        opened = opener.open(_seal(late, later_ms), later_ms)
        self.assertIsInstance(opened, sealing.OpenedDatagram)

    def test_replay_from_evicted_sender_is_refused_after_clock_step_back(
        self,
    ) -> None:
        opener = _opener(max_senders=1)
        data = _seal(_sealer())
        opener.open(data, builders.WALL_CLOCK_MS)
        later_ms = builders.WALL_CLOCK_MS + sealing.DEFAULT_TIME_WINDOW_MS + 1
        second = sealing.Sealer("h2", builders.key_ring(1))
        opener.open(_seal(second, later_ms), later_ms)
        self._assert_refused(opener, data, failures.ReplayedDatagram)

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
    @hypothesis.given(strategies.binary(max_size=300))
    def test_arbitrary_bytes_are_refused_and_never_raise(
        self, data: bytes
    ) -> None:
        opened = _opener().open(data, builders.WALL_CLOCK_MS)
        self.assertIsInstance(opened, data_failures.Failure)

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
    @hypothesis.given(
        strategies.integers(min_value=0),
        strategies.integers(min_value=1, max_value=255),
    )
    def test_altered_byte_is_refused_and_never_raises(
        self, position: int, change: int
    ) -> None:
        data = bytearray(_seal(_sealer()))
        data[position % len(data)] ^= change
        opened = _opener().open(bytes(data), builders.WALL_CLOCK_MS)
        self.assertIsInstance(opened, data_failures.Failure)

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
    @hypothesis.given(_INT64, _INT64, _INT16, strategies.text(max_size=9))
    def test_arbitrary_fields_with_a_valid_tag_never_raise(
        self, sequence: int, sent_ms: int, kind: int, sender: str
    ) -> None:
        sealed = envelope_types.Sealed(
            key_id=1,
            sender=sender,
            sequence=sequence,
            sent_ms=sent_ms,
            kind=kind,
            body=b"",
        )
        sealed.tag = sealing._tag(
            builders.secret(1), builders.OWN_NAME.encode(), sealed
        )
        opener = _opener()
        opener.open(_seal(_sealer()), builders.WALL_CLOCK_MS)
        opened = opener.open(codec.encode(sealed), builders.WALL_CLOCK_MS)
        self.assertIsInstance(
            opened, (sealing.OpenedDatagram, data_failures.Failure)
        )
