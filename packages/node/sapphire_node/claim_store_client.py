"""Opens the claim store in which a daemon claims requests."""

import ssl

from sapphire_data import clock
from sapphire_net.store import claim_store
from sapphire_net.store import client as store_client
from sapphire_net.store import environment as environments
from sapphire_wire import settings as settings_lib


def open_claim_store(
    settings: settings_lib.StoreSettings,
    time: clock.Clock,
    context: ssl.SSLContext | None = None,
) -> claim_store.KeyValueClaimStore:
    """Opens the claim store; its connections end with the process.

    Args:
        settings: How to reach the store.
        time: The clock.
        context: The TLS context for the store; None for the default of the
            HTTP library.

    Returns:
        The claim store.
    """
    http = store_client.open_http_client(
        str(settings.endpoints[0]), ssl_context=context
    )
    environment = environments.Environment(
        store_client.EtcdStore(http), settings.prefix
    )
    return claim_store.KeyValueClaimStore(environment, time)
