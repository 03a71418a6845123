import collections
import dataclasses

import anyio
import testtools
from testtools import matchers

from sapphire_data import records
from sapphire_lab.flows import builders as flow_builders
from sapphire_node import messages
from sapphire_node import prober


def member(host_id: str, data_centre: str) -> records.Member:
    host = records.HostAddress(host_id, data_centre, "127.0.0.1", 1, 2)
    return records.Member(host, 0, records.MemberState.ALIVE, 0, 0)


class AssignedUpstreamsTest(testtools.TestCase):
    def test_each_upstream_is_assigned_to_two_hosts_of_its_data_centre(
        self,
    ) -> None:
        members_by_id = {
            f"{data_centre}-{number}": member(
                f"{data_centre}-{number}", data_centre
            )
            for data_centre in ("salem", "tacoma")
            for number in range(4)
        }
        upstreams = [
            records.Upstream(f"u{n}", data_centre, "127.0.0.1", 1, 2)
            for n, data_centre in enumerate(("salem", "tacoma", "spokane") * 5)
        ]
        probers: collections.Counter[str] = collections.Counter()
        for host_id, host_member in members_by_id.items():
            for upstream in prober.assigned_upstreams(
                host_id, upstreams, members_by_id
            ):
                probers[upstream.name] += 1
                if upstream.data_centre != "spokane":
                    self.expectThat(
                        host_member.host.data_centre,
                        matchers.Equals(upstream.data_centre),
                    )
        self.assertThat(set(probers.values()), matchers.Equals({2}))
        self.assertThat(len(probers), matchers.Equals(15))


class ProbeTest(testtools.TestCase):
    def test_upstream_of_either_ip_version_is_probed(self) -> None:
        anyio.run(self._probe)

    async def _probe(self) -> None:
        send, receive = anyio.create_memory_object_stream[messages.ToForwarder](
            4
        )
        task = prober.Prober("salem-1", send)
        # Nothing listens on the port, so that both connections are refused.
        upstreams = [
            flow_builders.upstream("a", "salem", address="127.0.0.1"),
            flow_builders.upstream("b", "salem", address="::1"),
        ]
        upstreams = [
            dataclasses.replace(upstream, request_port=9)
            for upstream in upstreams
        ]
        service = flow_builders.service("rota", upstreams, ["ab"])
        task.set_configuration(flow_builders.configuration(1, [service]))
        task.set_view(
            flow_builders.view([flow_builders.member("salem-1", "salem")])
        )
        async with send, receive, anyio.create_task_group() as tasks:
            tasks.start_soon(task.run)
            results = [await receive.receive(), await receive.receive()]
            tasks.cancel_scope.cancel()
        self.assertEqual(
            {
                messages.UpstreamProbed("a", False, ""),
                messages.UpstreamProbed("b", False, ""),
            },
            set(results),
        )
