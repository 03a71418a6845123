"""Pattern: an error over one message ends no task of the daemon."""

from typing import Any
from typing import cast
from unittest import mock

import anyio
import httpx
import testtools

from sapphire_core.configuration import data
from sapphire_core.configuration import propagation_data
from sapphire_core.flows import router as router_lib
from sapphire_data import clock
from sapphire_lab.flows import builders
from sapphire_lab.trust import builders as trust_builders
from sapphire_net.trust import sealing
from sapphire_node import control
from sapphire_node import forwarder as forwarder_lib
from sapphire_node import messages
from sapphire_node import prober
from sapphire_node.configuration import configuration_fetch
from sapphire_node.configuration import configuration_sync
from sapphire_wire import message_kind
from sapphire_wire import packet_builders
from sapphire_wire import settings

ERROR = KeyError("unforeseen")
SYN = packet_builders.tcp_packet(
    ("127.0.0.9", 5_000), ("198.51.100.1", 443), packet_builders.SYN
)


class FakeSocket:
    """Receives the given datagrams, then ends."""

    def __init__(self, *datagrams: bytes) -> None:
        self._datagrams = list(datagrams)

    def __aiter__(self) -> "FakeSocket":
        return self

    async def __anext__(self) -> tuple[bytes, tuple[str, int]]:
        if not self._datagrams:
            raise StopAsyncIteration
        return self._datagrams.pop(0), ("127.0.0.1", 1)

    async def sendto(self, *_: object) -> None:
        """Sends nothing."""


class UnforeseenErrorTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.time = clock.ManualClock(10_000)

    def _patch(self, owner: object, name: str) -> None:
        patch = mock.patch.object(owner, name, side_effect=ERROR)
        patch.start()
        self.addCleanup(patch.stop)

    def _forwarder(self, *packets: bytes) -> forwarder_lib.Forwarder:
        sockets = forwarder_lib.Sockets(
            cast("Any", FakeSocket(*packets)), cast("Any", FakeSocket())
        )
        unused: Any = None
        return forwarder_lib.Forwarder(
            "h1", router_lib.Router("h1"), sockets, unused, time=self.time
        )

    def test_packet_of_the_fabric(self) -> None:
        self._patch(router_lib.Router, "route")
        forwarder = self._forwarder(SYN, SYN)
        anyio.run(forwarder.serve_fabric)
        self.assertEqual(
            {"MessageFailed": 2}, forwarder.counters.dropped_by_type
        )

    def test_message_of_a_peer_to_the_forwarder(self) -> None:
        self._patch(forwarder_lib.Forwarder, "_handle_control_message")
        forwarder = self._forwarder()
        kind = message_kind.MessageKind.HANDOVER_PAGE
        anyio.run(
            forwarder.handle,
            messages.ControlMessageReceived("h2", kind, b""),
        )
        self.assertEqual(
            {"MessageFailed": 1}, forwarder.counters.dropped_by_type
        )

    def test_control_message(self) -> None:
        self._patch(control.ControlPlane, "_receive_gossip")
        own = builders.member("h1").host
        ring = trust_builders.key_ring(1)
        recipient = sealing.recipient_name(own.address, own.control_port)
        sealer = sealing.Sealer("h2", ring)
        datagrams = [
            sealer.seal(
                recipient,
                message_kind.MessageKind.GOSSIP,
                b"x",
                clock.wall_time_ms(),
            )
            for _ in range(2)
        ]
        unused: Any = None
        plane = control.ControlPlane(
            own,
            unused,
            cast("Any", FakeSocket(*datagrams)),
            ring=ring,
            dispatcher=unused,
            time=self.time,
        )
        anyio.run(plane.serve_datagrams)
        self.assertEqual({"MessageFailed": 2}, plane.counters.dropped_by_type)

    def test_probe_of_an_upstream(self) -> None:
        self._patch(httpx.AsyncClient, "get")

        async def probe() -> messages.ToForwarder:
            send, receive = anyio.create_memory_object_stream[
                messages.ToForwarder
            ](1)
            task = prober.Prober("h1", send)
            async with send, receive, httpx.AsyncClient() as client:
                await task._probe(
                    client, builders.upstream("a"), anyio.CapacityLimiter(1)
                )
                return await receive.receive()

        self.assertEqual(
            messages.UpstreamProbed("a", False, ""), anyio.run(probe)
        )

    def test_fetch_of_a_configuration(self) -> None:
        name = "fetch_from_store"
        self._patch(configuration_fetch, name)
        unused: Any = mock.Mock()
        sync = configuration_sync.ConfigurationSync(
            builders.member("h1").host,
            settings.StoreSettings.model_construct(endpoints=[]),
            unused,
            self.time,
        )
        fetch = propagation_data.Fetch(data.NO_VERSION, None)
        anyio.run(sync._fetch, fetch, unused, unused)
        queued = sync._events.receive_nowait()
        self.assertEqual(propagation_data.FetchFailed(fetch), queued.event)
