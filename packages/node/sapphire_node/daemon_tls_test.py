"""Tests of two daemons with TLS: who may connect, and rotation of keys."""

import ipaddress
import pathlib
import tempfile

import anyio
import httpx
import testtools

from sapphire_data import clock
from sapphire_lab.daemon import daemon_fixture
from sapphire_lab.stand_ins import store
from sapphire_lab.trust import builders
from sapphire_lab.trust import certificates
from sapphire_net.trust import tls

FIRST = "127.71.1.1"
SECOND = "127.71.1.2"
CONFIGURATION_PATH = "/v1/configuration"
STATUS_PATH = "/v1/status"


async def get_status(url: str, files: tls.TlsFiles | None) -> int | str:
    """Returns the status of the response, or the type of transport error."""
    async with daemon_fixture.open_client(files) as http:
        try:
            return (await http.get(url)).status_code
        except httpx.TransportError as error:
            return type(error).__name__


class DaemonTlsTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.directory = pathlib.Path(temporary.name)
        self.authority = certificates.CertificateAuthority("trial")

    def issue(
        self, authority: certificates.CertificateAuthority, name: str, unit: str
    ) -> tls.TlsFiles:
        return authority.issue(self.directory / name, name, unit)

    def test_only_hosts_may_fetch_the_configuration(self) -> None:
        anyio.run(self._check_access, backend_options={"use_uvloop": True})

    async def _check_access(self) -> None:
        fake_store = store.FakeStoreServer(clock.MonotonicClock())
        operator = self.issue(self.authority, "ann", "operator")
        host = self.issue(self.authority, "entry", "host")
        other = certificates.CertificateAuthority("other")
        foreign = self.issue(other, "foreign", "operator")
        foreign.authorities.write_bytes(self.authority.pem())
        async with (
            store.run_server(fake_store) as url,
            anyio.create_task_group() as tasks,
            daemon_fixture.open_client(operator) as http,
        ):
            await daemon_fixture.publish_configuration(url)
            one = daemon_fixture.create_host_files(
                self.directory, FIRST, url, authority=self.authority
            )
            # The second host cannot reach the store, so that it has to fetch
            # the configuration from the first one.
            two = daemon_fixture.create_host_files(
                self.directory,
                SECOND,
                daemon_fixture.UNREACHABLE_STORE_URL,
                seeds=(one,),
                authority=self.authority,
            )
            for files in (one, two):
                await daemon_fixture.start_daemon(files, tasks)
            await daemon_fixture.poll_until(
                http,
                two.api_url + STATUS_PATH,
                lambda answer: answer.json()["active_revision"] == 1,
            )
            for files in (one, two):
                fetch_url = files.api_url + CONFIGURATION_PATH
                self.assertEqual(200, await get_status(fetch_url, host))
                self.assertEqual(403, await get_status(fetch_url, operator))
                plain_url = fetch_url.replace("https", "http")
                for refused in (
                    await get_status(plain_url, None),
                    await get_status(fetch_url, None),
                    await get_status(fetch_url, foreign),
                ):
                    self.assertIsInstance(refused, str)
            tasks.cancel_scope.cancel()

    def test_keys_and_certificates_change_without_restart(self) -> None:
        anyio.run(self._rotate, backend_options={"use_uvloop": True})

    async def _rotate(self) -> None:
        fake_store = store.FakeStoreServer(clock.MonotonicClock())
        old = self.issue(self.authority, "ann", "operator")
        following = certificates.CertificateAuthority("following")
        new = self.issue(following, "bob", "operator")
        async with (
            store.run_server(fake_store) as url,
            anyio.create_task_group() as tasks,
        ):
            one = daemon_fixture.create_host_files(
                self.directory, FIRST, url, authority=self.authority
            )
            two = daemon_fixture.create_host_files(
                self.directory,
                SECOND,
                daemon_fixture.UNREACHABLE_STORE_URL,
                seeds=(one,),
                authority=self.authority,
            )
            for files in (one, two):
                await daemon_fixture.start_daemon(files, tasks)
            self.assertIsInstance(
                await get_status(two.api_url + STATUS_PATH, new), str
            )
            for files in (one, two):
                following.issue(
                    files.directory / "tls",
                    files.address,
                    "host",
                    address=ipaddress.IPv4Address(files.address),
                )
                builders.write_key_file(
                    files.key_file, {2: builders.secret(2)}, 2
                )
            async with daemon_fixture.open_client(new) as http:
                for files in (one, two):
                    await daemon_fixture.wait_until_certificate_accepted(
                        http, files
                    )
                # The second host gets this revision only through notices sealed
                # with the new key and a fetch under the new authority.
                await daemon_fixture.publish_configuration(url)
                await daemon_fixture.poll_until(
                    http,
                    two.api_url + STATUS_PATH,
                    lambda answer: answer.json()["active_revision"] == 1,
                )
            self.assertIsInstance(
                await get_status(two.api_url + STATUS_PATH, old), str
            )
            tasks.cancel_scope.cancel()
