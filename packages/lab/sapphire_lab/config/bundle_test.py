"""Tests of the bundles that hosts serve to peers and fetch from them."""

from collections.abc import Callable
import dataclasses
from typing import Any

import anyio
import httpx
import hypothesis
from hypothesis import strategies
import testtools
from testtools import matchers

from sapphire_core.configuration import data
from sapphire_data import records
from sapphire_lab.config import builders
from sapphire_node.configuration import configuration_fetch
from sapphire_wire import codec
from sapphire_wire.documents import bundle
from sapphire_wire.documents import packing
from sapphire_wire.gen.configuration import ttypes

FIRST = builders.configuration()
SECOND = builders.configuration(previous=FIRST, drained=("plans-1",))
PEER = records.HostAddress("h1", "tacoma", "10.0.0.1", 7_000, 7_001)


def decoded_configuration(
    configuration: records.Configuration,
) -> bundle.DecodedConfiguration:
    """Returns a configuration with its encoded form."""
    packed = packing.pack(configuration, builders.change(), 4)
    built: bundle.DecodedConfiguration = bundle.assemble(
        packed.head, packed.parts_by_digest, None
    ).ok
    return built


def bundle_encoder(
    *configurations: records.Configuration,
) -> bundle.BundleEncoder:
    """Returns an encoder updated with configurations in order."""
    encoder = bundle.BundleEncoder()
    for configuration in configurations:
        encoder.update(decoded_configuration(configuration))
    return encoder


class BundleEncoderTest(testtools.TestCase):
    def test_peer_gets_only_the_parts_that_it_lacks(self) -> None:
        encoder = bundle_encoder(FIRST, SECOND)
        for known in (decoded_configuration(FIRST), None):
            known_revision = known.version.revision if known is not None else 0
            encoded = encoder.encode(known_revision) or b""
            decoded = bundle.decode_bundle(encoded, known).ok
            expected = dataclasses.replace(SECOND, digest="d")
            self.assertThat(decoded.configuration, matchers.Equals(expected))
        whole_bytes = len(encoder.encode(0) or b"")
        changed_bytes = len(encoder.encode(1) or b"")
        self.assertThat(changed_bytes, matchers.LessThan(whole_bytes))

    def test_peer_with_an_unknown_revision_gets_all_parts(self) -> None:
        encoder = bundle_encoder(SECOND)
        self.assertThat(encoder.encode(77), matchers.Equals(encoder.encode(0)))

    def test_empty_encoder_returns_no_bundle(self) -> None:
        self.assertIsNone(bundle.BundleEncoder().encode(0))


class NoticeTest(testtools.TestCase):
    def test_decoded_notice_equals_the_encoded_one(self) -> None:
        for version in (data.NO_VERSION, decoded_configuration(FIRST).version):
            body = bundle.encode_notice(version, wants_answer=True)
            self.assertThat(
                bundle.decode_notice(body).ok, matchers.Equals((version, True))
            )

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=100)
    @hypothesis.given(strategies.binary(max_size=100))
    def test_arbitrary_bytes_never_raise(self, body: bytes) -> None:
        for decoded in (
            bundle.decode_notice(body),
            bundle.decode_bundle(body, None),
            bundle.decode_bundle(body, decoded_configuration(FIRST)),
        ):
            self.assertThat(
                decoded.is_ok() != decoded.is_error(), matchers.Equals(True)
            )


def altered_bundle() -> bytes:
    """Returns a bundle whose parts do not match their digests."""
    held = decoded_configuration(FIRST)
    parts = dict.fromkeys(held.parts_by_digest, b"altered")
    return codec.encode(
        ttypes.Bundle(head=held.head_bytes, parts_by_digest=parts)
    )


def refuse(_: httpx.Request) -> httpx.Response:
    """Fails as if the peer's port was closed."""
    raise httpx.ConnectError("refused")


def respond(status: int, body: bytes) -> Callable[[Any], httpx.Response]:
    """Returns a handler that gives the same response to each request."""
    return lambda _: httpx.Response(status, content=body)


BAD_PEERS = {
    "unreachable": refuse,
    "without configuration": respond(404, b""),
    "failing": respond(500, b""),
    "sends no bundle": respond(200, b"\x00\x01garbage"),
    "sends altered parts": respond(200, altered_bundle()),
    "sends too much": respond(
        200, bytes(configuration_fetch.MAX_BUNDLE_BYTES + 1)
    ),
}


class FetchTest(testtools.TestCase):
    def fetch(self, handle_request: Any) -> Any:
        """Fetches from a peer, as a host without a configuration.

        Args:
            handle_request: Returns the peer's response to a request.
        """

        async def run_fetch() -> Any:
            transport = httpx.MockTransport(handle_request)
            async with httpx.AsyncClient(transport=transport) as http:
                return await configuration_fetch.fetch_from_peer(
                    http, PEER, None, is_encrypted=False
                )

        return anyio.run(run_fetch)

    def test_each_bad_response_is_a_typed_failure(self) -> None:
        for name, handle_request in BAD_PEERS.items():
            fetched = self.fetch(handle_request)
            self.assertThat(fetched.is_error(), matchers.Equals(True), name)

    def test_valid_response_is_decoded(self) -> None:
        fetched = self.fetch(
            respond(200, bundle_encoder(FIRST).encode(0) or b"")
        )
        self.assertThat(fetched.ok.version.revision, matchers.Equals(1))
