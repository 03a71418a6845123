"""Mutual TLS between hosts, and between operators and hosts.

Both ends show a certificate of the environment's authority, and the role in it
is checked within the handshake, so before a request is sent or read. Files are
read again without a restart: connections that are open go on, new ones use the
new files.
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
    """The files of one end, all in PEM.

    Attributes:
        certificate: Its certificate, then the intermediate ones.
        private_key: The key of the certificate.
        authorities: The certificates of the authorities that it trusts.
    """

    certificate: pathlib.Path
    private_key: pathlib.Path
    authorities: pathlib.Path


class RoleContext(ssl.SSLContext):
    """A TLS context that admits peers of certain roles only.

    Attributes:
        permitted_roles: The roles of which the peer needs one.
    """

    permitted_roles: frozenset[roles.Role] = frozenset()


def _admit(connection: ssl.SSLObject | ssl.SSLSocket) -> roles.Identity:
    """Ends a handshake whose peer has no permitted role.

    Returns:
        The identity of the peer.

    Raises:
        ssl.SSLCertVerificationError: When the role is not permitted.
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
        """Shakes hands, then checks the role of the peer."""
        super().do_handshake()
        # Asynchronous servers start the task of a connection within the call
        # that ends its handshake, so that the task inherits the identity.
        roles.TLS_PEER.set(_admit(self))


class _RoleSocket(ssl.SSLSocket):
    """The TLS state of a blocking connection."""

    def do_handshake(self, block: bool = False) -> None:
        """Shakes hands, then checks the role of the peer."""
        super().do_handshake(block)
        _admit(self)


def create_context(
    files: TlsFiles,
    *,
    is_server: bool,
    permitted_roles: frozenset[roles.Role],
    checks_address: bool = True,
) -> expression.Result[RoleContext, failures.TlsFileFailure]:
    """Creates the context of one end of connections.

    Args:
        files: The files of this end.
        is_server: Whether this end accepts the connections.
        permitted_roles: The roles of which the other end needs one.
        checks_address: Whether a client requires the server's IP number
            among the alternative names of its certificate.

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
        # A resumed session would skip the check of the certificate.
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
    """The contexts of one end, renewed when its files change.

    It owns no task: the daemon calls `poll` every few seconds.

    Attributes:
        files: The files.
        context: The newest context. A client takes it for each new
            connection. A server may keep listening with any that this object
            gave it: each handshake moves on to the newest.
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
            files: The files.
            context: The first context; see `create_context`.
            is_server: Whether this end accepts the connections.
            checks_address: As for `create_context`.
        """
        self.files = files
        self._is_server = is_server
        self._checks_address = checks_address
        self._last_contents = _read_contents(files)
        self.context = context
        self._follow_newest(context)

    def poll(self) -> expression.Result[bool, failures.TlsFileFailure]:
        """Reads the files, and renews the context if one has changed.

        Returns:
            Whether the context is new, or which file cannot be used; the
            context in use stays then. A failure is reported once for each
            content of the files.
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
        self._follow_newest(created.ok)
        self.context = created.ok
        return expression.Ok(True)

    def _follow_newest(self, context: RoleContext) -> None:
        """Lets each handshake of a listener use the newest context."""
        if self._is_server:
            context.sni_callback = self._choose_newest

    def _choose_newest(
        self, connection: Any, _server_name: str | None, _context: Any
    ) -> None:
        """Moves a handshake to the newest context."""
        connection.context = self.context


def create_reloading_tls(
    files: TlsFiles,
    *,
    is_server: bool,
    permitted_roles: frozenset[roles.Role],
    checks_address: bool = True,
) -> expression.Result[ReloadingTls, failures.TlsFileFailure]:
    """Creates a context that follows its files.

    Args:
        files: The files of this end.
        is_server: Whether this end accepts the connections.
        permitted_roles: The roles of which the other end needs one.
        checks_address: As for `create_context`.

    Returns:
        The contexts, or which file cannot be used.
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
    """Reads all files; one that is missing counts as empty."""
    contents = []
    for path in (files.certificate, files.private_key, files.authorities):
        try:
            contents.append(path.read_bytes())
        except OSError:
            contents.append(b"")
    return tuple(contents)
