"""Mutual TLS between hosts, and between operators and hosts.

Both ends present a certificate that an authority of the environment has
signed. The role in it is checked within the handshake, before any request is
sent or read. Certificate files are reloaded without a restart: established
connections continue, and new ones use the new files.
"""

import dataclasses
import pathlib
import ssl
from typing import Any
from typing import cast

import expression

from sapphire_net.trust import failures
from sapphire_net.trust import roles

_FileContents = tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TlsFiles:
    """The TLS files of one end of connections, all in PEM.

    Attributes:
        certificate: The certificate of this end, then intermediate ones.
        private_key: The private key of the certificate.
        authorities: The certificates of the trusted authorities.
    """

    certificate: pathlib.Path
    private_key: pathlib.Path
    authorities: pathlib.Path


class RoleContext(ssl.SSLContext):
    """A TLS context that accepts only peers with permitted roles.

    Attributes:
        permitted_roles: The permitted roles of the peer.
    """

    permitted_roles: frozenset[roles.Role] = frozenset()


def _check_role(connection: ssl.SSLObject | ssl.SSLSocket) -> roles.Identity:
    """Checks the role of the peer within a handshake.

    Returns:
        The identity of the peer.

    Raises:
        ssl.SSLCertVerificationError: The role is not permitted, so that the
            handshake fails.
    """
    context = cast(RoleContext, connection.context)
    identified = roles.identify(
        connection.getpeercert(), context.permitted_roles
    )
    if identified.is_error():
        refused = identified.error
        raise ssl.SSLCertVerificationError(
            f"{refused.code} subject={refused.subject!r} role={refused.role!r}"
        )
    return identified.ok


class _RoleObject(ssl.SSLObject):
    """The TLS state of an asynchronous connection."""

    def do_handshake(self) -> None:
        """Performs the handshake and checks the role of the peer."""
        super().do_handshake()
        # Asynchronous servers start the task of a connection within the call
        # that completes its handshake, so that the task inherits this context
        # variable.
        roles.TLS_PEER.set(_check_role(self))


class _RoleSocket(ssl.SSLSocket):
    """The TLS state of a blocking connection."""

    def do_handshake(self, block: bool = False) -> None:
        """Performs the handshake and checks the role of the peer."""
        super().do_handshake(block)
        _check_role(self)


def create_context(
    files: TlsFiles,
    *,
    is_server: bool,
    permitted_roles: frozenset[roles.Role],
    checks_address: bool = True,
) -> expression.Result[RoleContext, failures.TlsFileFailure]:
    """Creates the context of one end of connections.

    Args:
        files: The TLS files of this end.
        is_server: Whether this end accepts the connections.
        permitted_roles: The permitted roles of the other end.
        checks_address: Whether a client requires that the alternative names
            of the server's certificate contain the server's IP address.

    Returns:
        The context, or which file cannot be used.
    """
    protocol = ssl.PROTOCOL_TLS_SERVER if is_server else ssl.PROTOCOL_TLS_CLIENT
    context = RoleContext(protocol)
    context.permitted_roles = permitted_roles
    context.sslobject_class = _RoleObject
    context.sslsocket_class = _RoleSocket
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    if is_server:
        # A resumed session would skip the verification of the certificate.
        context.num_tickets = 0
    else:
        context.check_hostname = checks_address
    context.verify_mode = ssl.CERT_REQUIRED
    try:
        context.load_cert_chain(files.certificate, files.private_key)
    except (OSError, ValueError) as error:
        return _unusable(files.certificate, error)
    try:
        context.load_verify_locations(files.authorities)
    except (OSError, ValueError) as error:
        return _unusable(files.authorities, error)
    return expression.Ok(context)


def _unusable(
    path: pathlib.Path, error: Exception
) -> expression.Result[RoleContext, failures.TlsFileFailure]:
    """Returns the failure for a file that cannot be used."""
    return expression.Error(
        failures.TlsFileFailure(path=str(path), problem=str(error))
    )


class ReloadingTls:
    """The TLS context of one end, recreated when its files change.

    It runs no task: the daemon calls `poll` every few seconds.

    Attributes:
        files: The TLS files.
        context: The newest context. A client uses it for each new connection.
            A server may listen with any context that this object has created:
            each handshake switches to the newest one.
    """

    def __init__(
        self,
        files: TlsFiles,
        context: RoleContext,
        *,
        is_server: bool,
        checks_address: bool = True,
    ) -> None:
        """Wraps a context that was created from the same files.

        Args:
            files: The TLS files.
            context: The first context; see `create_context`.
            is_server: Whether this end accepts the connections.
            checks_address: As for `create_context`.
        """
        self.files = files
        self._is_server = is_server
        self._checks_address = checks_address
        self._last_contents = _read_contents(files)
        self.context = context
        self._install_callback(context)

    def poll(self) -> expression.Result[bool, failures.TlsFileFailure]:
        """Reads the files, and creates a new context if one has changed.

        Returns:
            Whether there is a new context; or which file cannot be used, in
            which case the previous context stays in use. A failure is
            reported once for each content of the files.
        """
        contents = _read_contents(self.files)
        if contents == self._last_contents:
            return expression.Ok(False)
        self._last_contents = contents
        created = create_context(
            self.files,
            is_server=self._is_server,
            permitted_roles=self.context.permitted_roles,
            checks_address=self._checks_address,
        )
        if created.is_error():
            return expression.Error(created.error)
        self._install_callback(created.ok)
        self.context = created.ok
        return expression.Ok(True)

    def _install_callback(self, context: RoleContext) -> None:
        """Makes each handshake of a server switch to the newest context."""
        if self._is_server:
            context.sni_callback = self._use_newest

    def _use_newest(
        self, connection: Any, _server_name: str | None, _context: Any
    ) -> None:
        """Switches a handshake to the newest context."""
        connection.context = self.context


def create_reloading_tls(
    files: TlsFiles,
    *,
    is_server: bool,
    permitted_roles: frozenset[roles.Role],
    checks_address: bool = True,
) -> expression.Result[ReloadingTls, failures.TlsFileFailure]:
    """Creates a TLS context that is reloaded when its files change.

    Args:
        files: The TLS files of this end.
        is_server: Whether this end accepts the connections.
        permitted_roles: The permitted roles of the other end.
        checks_address: As for `create_context`.

    Returns:
        The reloading context, or which file cannot be used.
    """
    created = create_context(
        files,
        is_server=is_server,
        permitted_roles=permitted_roles,
        checks_address=checks_address,
    )
    return created.map(
        lambda context: ReloadingTls(
            files,
            context,
            is_server=is_server,
            checks_address=checks_address,
        )
    )


def _read_contents(files: TlsFiles) -> _FileContents:
    """Reads all files; one that cannot be read counts as empty."""
    contents = []
    for path in (files.certificate, files.private_key, files.authorities):
        try:
            contents.append(path.read_bytes())
        except OSError:
            contents.append(b"")
    return tuple(contents)
