"""A TLS context for clients that reloads certificates.

HTTP clients keep the context that they were created with. This one uses the
newest certificates for each new connection nevertheless.
"""

import ssl

from sapphire_net.trust import tls


class ReloadingClientContext(ssl.SSLContext):
    """A context that delegates to the newest one of a `ReloadingTls`.

    Only connections on memory buffers are supported, which asynchronous
    clients use.

    Attributes:
        source: The `ReloadingTls` whose newest context makes connections.
    """

    source: tls.ReloadingTls

    def wrap_bio(
        self,
        incoming: ssl.MemoryBIO,
        outgoing: ssl.MemoryBIO,
        server_side: bool = False,
        server_hostname: str | bytes | None = None,
        session: ssl.SSLSession | None = None,
    ) -> ssl.SSLObject:
        """Returns the TLS state of a new connection.

        Args:
            incoming: The buffer of the bytes received.
            outgoing: The buffer of the bytes to send.
            server_side: Whether this end accepted the connection.
            server_hostname: The name or IP address of the server.
            session: An earlier session to resume.

        Returns:
            The state of the connection.
        """
        return self.source.context.wrap_bio(
            incoming,
            outgoing,
            server_side=server_side,
            server_hostname=server_hostname,
            session=session,
        )


def create_client_context(source: tls.ReloadingTls) -> ReloadingClientContext:
    """Returns a context that uses the newest one of a `ReloadingTls`.

    Args:
        source: The reloading contexts of a client.

    Returns:
        The context.
    """
    context = ReloadingClientContext(ssl.PROTOCOL_TLS_CLIENT)
    context.source = source
    return context
