from typing import Any

import anyio
import testtools

from sapphire_core.membership import membership
from sapphire_data import clock
from sapphire_lab.flows import builders
from sapphire_lab.trust import builders as trust_builders
from sapphire_node import control
from sapphire_node import messages


class ControlPlaneTest(testtools.TestCase):
    def test_a_fact_is_discarded_after_its_ttl(self) -> None:
        time = clock.ManualClock(1_000)
        own = builders.member("h1").host
        hosts = membership.Membership(own, 1, (), 1)
        unused: Any = None
        plane = control.ControlPlane(
            own,
            hosts,
            unused,
            ring=trust_builders.key_ring(1),
            dispatcher=unused,
            time=time,
        )

        async def publish() -> None:
            send, receive = anyio.create_memory_object_stream[
                messages.ToControl
            ](2)
            for key, ttl_ms in (("short", 500), ("lasting", 0)):
                await send.send(messages.PublishFact(key, 1, b"x", ttl_ms))
            send.close()
            await plane.serve_inbox(receive)

        anyio.run(publish)
        self.assertEqual({"short", "lasting"}, set(hosts.facts(1_499)))
        self.assertEqual({"lasting"}, set(hosts.facts(1_500)))
