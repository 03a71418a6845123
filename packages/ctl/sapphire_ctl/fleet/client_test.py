"""Tests the client of the hosts with fake hosts, with and without TLS."""

import contextlib
import pathlib
import ssl
import tempfile

import anyio
import testtools

from sapphire_ctl import failures
from sapphire_ctl.fleet import aggregation
from sapphire_ctl.fleet import client
from sapphire_ctl.fleet import data
from sapphire_ctl.fleet import discovery
from sapphire_data import clock
from sapphire_lab.stand_ins import host_api
from sapphire_lab.stand_ins import store
from sapphire_lab.trust import certificates
from sapphire_net.trust import roles
from sapphire_net.trust import tls
from sapphire_wire import api

_TIMEOUT_MS = 2_000


def _hosts(count: int) -> list[host_api.FakeHost]:
    fake_store = store.FakeStoreServer(clock.ManualClock())
    return [
        host_api.FakeHost(f"h{number}", fake_store, "sapphire/")
        for number in range(count)
    ]


def _set_members(host: host_api.FakeHost, *others: host_api.FakeHost) -> None:
    host.members = tuple(
        api.MemberStatus(
            host_id=other.host_id,
            data_centre="tacoma",
            address="127.0.0.1",
            api_port=other.port,
            state="alive",
        )
        for other in others
    )


class FleetClientTest(testtools.TestCase):
    def test_hosts_are_discovered_from_others_and_queried_once(self) -> None:
        async def body() -> None:
            hosts = _hosts(4)
            async with contextlib.AsyncExitStack() as stack:
                seed = ""
                for host in hosts:
                    seed = await stack.enter_async_context(
                        host_api.run_server(host)
                    )
                # Each host lists the one before it; the first lists the last.
                for number, host in enumerate(hosts):
                    _set_members(host, hosts[number - 1])
                fleet = client.FleetClient([seed], _TIMEOUT_MS, None)
                fleet_status = await fleet.fetch_statuses()
            self.assertEqual(
                ["h0", "h1", "h2", "h3"],
                [status.host_id for status in fleet_status.statuses],
            )
            self.assertEqual((), fleet_status.unanswered)

        anyio.run(body)

    def test_large_fleet_is_sampled_or_queried_without_upstreams(self) -> None:
        self.patch(discovery, "MAX_SAMPLED_HOSTS", 2)

        async def body() -> None:
            hosts = _hosts(4)
            async with contextlib.AsyncExitStack() as stack:
                for host in hosts:
                    host.upstreams = (
                        api.UpstreamStatus(
                            service="rota",
                            upstream="rota-1",
                            data_centre="tacoma",
                            flows=1,
                        ),
                    )
                    await stack.enter_async_context(host_api.run_server(host))
                _set_members(hosts[0], *hosts)
                seed = data.url_address("127.0.0.1", hosts[0].port)
                fleet = client.FleetClient([seed], _TIMEOUT_MS, None)
                sample = await fleet.fetch_statuses()
                all_hosts = await fleet.fetch_statuses(queries_all=True)
                one_service = await fleet.fetch_statuses(
                    "rota", queries_all=True
                )
            self.assertEqual(
                (2, 2, False),
                (len(sample.statuses), len(sample.told), sample.is_complete),
            )
            self.assertEqual(
                [1, 0, 0, 0],
                [len(item.upstreams) for item in all_hosts.statuses],
            )
            self.assertIsNone(aggregation.sum_flows_by_upstream(all_hosts))
            self.assertEqual(
                {("rota", "rota-1"): 4},
                aggregation.sum_flows_by_upstream(one_service),
            )

        anyio.run(body)

    def test_member_with_an_invalid_address_is_unanswered(self) -> None:
        async def body() -> None:
            (host,) = _hosts(1)
            member = api.MemberStatus(
                host_id="h1",
                data_centre="tacoma",
                address="not an address",
                api_port=1,
                state="alive",
            )
            host.members = (member, member.model_copy(update={"address": ""}))
            async with host_api.run_server(host) as address:
                fleet = client.FleetClient([address], _TIMEOUT_MS, None)
                fleet_status = await fleet.fetch_statuses()
            self.assertEqual(1, len(fleet_status.statuses))
            self.assertEqual(2, len(fleet_status.unanswered))

        anyio.run(body)

    def test_query_of_a_host_that_hangs_ends_by_its_timeout(self) -> None:
        async def body() -> None:
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            async with listener:
                fleet = client.FleetClient([f"127.0.0.1:{port}"], 100, None)
                fleet_status = await fleet.fetch_statuses()
            self.assertEqual((), fleet_status.statuses)
            self.assertIsInstance(
                fleet_status.unanswered[0].failure, failures.HostUnreachable
            )

        anyio.run(body)


class FleetClientTlsTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.directory = pathlib.Path(temporary.name)
        self.authority = certificates.CertificateAuthority("trial")

    def _context(self, name: str, unit: str, is_server: bool) -> ssl.SSLContext:
        permitted = roles.ANY_ROLE if is_server else {roles.Role.HOST}
        return tls.create_context(
            self.authority.issue(self.directory / name, name, unit),
            is_server=is_server,
            permitted_roles=frozenset(permitted),
        ).ok

    def _is_answered(
        self, server_context: ssl.SSLContext, client_context: ssl.SSLContext
    ) -> bool:
        async def body() -> bool:
            (host,) = _hosts(1)
            async with host_api.run_server(host, server_context) as address:
                fleet = client.FleetClient(
                    [address], _TIMEOUT_MS, client_context
                )
                fleet_status = await fleet.fetch_statuses()
            return bool(fleet_status.statuses)

        return anyio.run(body)

    def test_operator_and_host_authenticate_each_other(self) -> None:
        host = self._context("h0", "host", True)
        operator = self._context("ann", "operator", False)
        self.assertTrue(self._is_answered(host, operator))

    def test_peer_of_another_role_or_authority_is_refused(self) -> None:
        host = self._context("h0", "host", True)
        guest = self._context("guest", "guest", False)
        self.assertFalse(self._is_answered(host, guest))
        impostor = self._context("posing", "operator", True)
        operator = self._context("ann", "operator", False)
        self.assertFalse(self._is_answered(impostor, operator))
        self.authority = certificates.CertificateAuthority("foreign")
        foreign = self._context("eve", "operator", False)
        self.assertFalse(self._is_answered(host, foreign))
