from typing import cast

import anyio
from anyio.streams import memory
import testtools

from sapphire_core.flows import data as flow_data
from sapphire_core.flows import router as router_lib
from sapphire_data import clock
from sapphire_lab.flows import builders
from sapphire_node import forwarder as forwarder_lib
from sapphire_node import messages
from sapphire_wire import message_kind

HOSTS = ("h0", "h1")
UPSTREAMS = [builders.upstream(name, warm_up_ms=1) for name in "ab"]
FIRST = builders.service("rota", UPSTREAMS, ["ab"])
SECOND = builders.service("rota", UPSTREAMS, ["ab", "a"])
KEY = builders.service_key(FIRST)
FLOWS = range(100)


class OpenedFlowsTest(testtools.TestCase):
    # Guards against opened flows that the router tells of but the daemon does
    # not send.
    def test_a_host_tells_its_peer_of_flows_that_a_change_moves(self) -> None:
        anyio.run(self.tell)

    async def tell(self) -> None:
        time = clock.ManualClock(10_000)
        forwarders = []
        send, receive = anyio.create_memory_object_stream[messages.ToControl](
            64
        )
        view = messages.ViewChanged(
            builders.view([builders.member(host) for host in HOSTS], 1)
        )
        for host in HOSTS:
            forwarder = forwarder_lib.Forwarder(
                host,
                router_lib.Router(host),
                # The test sends no packet through a socket.
                cast("forwarder_lib.Sockets", _NoSockets()),
                send,
                time=time,
            )
            await forwarder.handle(view)
            await forwarder.handle(
                messages.ConfigurationAccepted(
                    builders.configuration(1, [FIRST])
                )
            )
            await forwarder.handle(view)
            forwarders.append(forwarder)
        opener, peer = forwarders
        at_b = []
        for flow in FLOWS:
            decision = opener.router.route(
                KEY, flow, True, False, time.now_ms()
            )
            if not isinstance(decision, flow_data.Forward):
                continue
            if decision.upstream.name == "b":
                at_b.append(flow)
        self.assertNotEqual([], at_b)
        await opener.handle(
            messages.ConfigurationAccepted(builders.configuration(2, [SECOND]))
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(opener.tick)
            page = await self.receive_page(receive)
            tasks.cancel_scope.cancel()
        await peer.handle(
            messages.ControlMessageReceived("h0", page.kind, page.body)
        )
        flows = peer.router.recorded_flows("rota")
        self.assertEqual(
            dict.fromkeys(at_b, "b"),
            {flow: flows.opened_upstream(flow) for flow in at_b},
        )

    async def receive_page(
        self, receive: memory.MemoryObjectReceiveStream[messages.ToControl]
    ) -> messages.SendControlMessage:
        """Returns the first handover page that the control task has to send."""
        while True:
            message = await receive.receive()
            if not isinstance(message, messages.SendControlMessage):
                continue
            if message.kind is message_kind.MessageKind.HANDOVER_PAGE:
                return message


class _NoSockets:
    fabric = None
    relayed = None
