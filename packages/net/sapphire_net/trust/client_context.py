"""A client's TLS context that uses the newest files for each connection."""

import ssl

from sapphire_net.trust import tls


class ReloadingClientContext(ssl.SSLContext):
    """A context for a client that keeps the first one it was given.

    Connections are made with the newest context of a `ReloadingTls`. Only
    memory-based connections are made, as asynchronous clients do.

    Attributes:
        source: The contexts that it follows.
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
            incoming: What the other end sent.
            outgoing: What is to be sent to it.
            server_side: Whether this end accepted the connection.
            server_hostname: The IP number of the other end.
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
    """Returns a context that follows others.

    Args:
        source: The contexts of a client.

    Returns:
        The context.
    """
    context = ReloadingClientContext(ssl.PROTOCOL_TLS_CLIENT)
    context.source = source
    return context
