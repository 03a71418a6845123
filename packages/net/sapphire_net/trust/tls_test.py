import pathlib
import ssl
import tempfile

import anyio
from anyio.streams import tls as anyio_tls
from cryptography.x509 import oid
import testtools

from sapphire_lab.trust import certificates
from sapphire_net.trust import roles
from sapphire_net.trust import tls

_HOST_ONLY = frozenset({roles.Role.HOST})
_REFUSED = (ssl.SSLError, anyio.BrokenResourceError, anyio.EndOfStream)


def _server(files: tls.TlsFiles) -> tls.ReloadingTls:
    return tls.create_reloading_tls(
        files, is_server=True, permitted_roles=roles.ANY_ROLE
    ).ok


def _client_context(
    files: tls.TlsFiles, permitted: frozenset[roles.Role] = _HOST_ONLY
) -> ssl.SSLContext:
    return tls.create_context(
        files, is_server=False, permitted_roles=permitted
    ).ok


async def _exchange(server: ssl.SSLContext, client: ssl.SSLContext) -> bool:
    """Returns whether the server echoed a byte that the client sent."""

    async def echo(stream: anyio_tls.TLSStream) -> None:
        async with stream:
            await stream.send(await stream.receive())

    tcp = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = tcp.extra(anyio.abc.SocketAttribute.local_port)
    listener = anyio_tls.TLSListener(tcp, server)
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, echo)
        try:
            with anyio.fail_after(5):
                stream = await anyio.connect_tcp(
                    "127.0.0.1", port, ssl_context=client, tls_hostname=None
                )
                async with stream:
                    await stream.send(b"x")
                    return await stream.receive() == b"x"
        except _REFUSED:
            return False
        finally:
            tasks.cancel_scope.cancel()
    raise AssertionError("the exchange neither ended nor failed")


class TlsTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.directory = pathlib.Path(temporary.name)
        self.authority = certificates.CertificateAuthority("trial")
        self.host = self._issue("entry-1", "host")

    def _issue(self, name: str, unit: str | None) -> tls.TlsFiles:
        return self.authority.issue(self.directory / name, name, unit)

    def _can_connect(
        self, server: ssl.SSLContext, client: ssl.SSLContext
    ) -> bool:
        return anyio.run(_exchange, server, client)

    def test_hosts_and_operators_are_accepted(self) -> None:
        server = _server(self.host).context
        for unit in ("host", "operator"):
            client = _client_context(self._issue("peer", unit))
            self.assertTrue(self._can_connect(server, client))

    def test_peers_without_a_valid_role_or_authority_are_refused(self) -> None:
        server = _server(self.host).context
        foreign = certificates.CertificateAuthority("foreign").issue(
            self.directory / "foreign", "operator-1", "operator"
        )
        foreign.authorities.write_bytes(self.authority.pem())
        anonymous = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        anonymous.load_verify_locations(self.host.authorities)
        for client in (
            _client_context(foreign),
            _client_context(self._issue("guest", None)),
            _client_context(self._issue("guest", "guest")),
            anonymous,
        ):
            self.assertFalse(self._can_connect(server, client))

    def test_client_refuses_server_without_a_host_server_certificate(
        self,
    ) -> None:
        operator = self.authority.issue(
            self.directory / "operator", "operator-1", "operator"
        )
        client = _client_context(self._issue("peer", "operator"))
        self.assertFalse(self._can_connect(_server(operator).context, client))
        client_only = self.authority.issue(
            self.directory / "client-only",
            "entry-9",
            "host",
            usages=(oid.ExtendedKeyUsageOID.CLIENT_AUTH,),
        )
        self.assertFalse(
            self._can_connect(_server(client_only).context, client)
        )

    def test_listener_uses_a_new_authority_without_restart(self) -> None:
        server = _server(self.host)
        listening = server.context
        old_client = _client_context(self._issue("old", "operator"))
        self.assertTrue(self._can_connect(listening, old_client))
        self.authority = certificates.CertificateAuthority("next")
        self.assertFalse(server.poll().ok)
        self._issue("entry-1", "host")
        self.assertTrue(server.poll().ok)
        new_client = _client_context(self._issue("new", "operator"))
        self.assertTrue(self._can_connect(listening, new_client))
        self.assertFalse(self._can_connect(listening, old_client))

    def test_certificate_that_does_not_match_the_key_keeps_the_context(
        self,
    ) -> None:
        server = _server(self.host)
        before = server.context
        old_key = self.host.private_key.read_bytes()
        self._issue("entry-1", "host")
        new_key = self.host.private_key.read_bytes()
        self.host.private_key.write_bytes(old_key)
        self.assertTrue(server.poll().is_error())
        self.assertIs(before, server.context)
        self.host.private_key.write_bytes(new_key)
        self.assertTrue(server.poll().ok)

    def test_missing_file_is_a_typed_failure(self) -> None:
        self.host.authorities.unlink()
        created = tls.create_context(
            self.host, is_server=True, permitted_roles=roles.ANY_ROLE
        )
        self.assertEqual(str(self.host.authorities), created.error.path)
