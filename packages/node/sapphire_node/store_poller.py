"""The task that reads the configuration from the store at intervals."""

from collections.abc import AsyncIterator
import logging

import anyio
import expression

from sapphire_core.requests import data as request_data
from sapphire_core.requests import failures as request_failures
from sapphire_data import clock
from sapphire_data import records
from sapphire_net import event_log
from sapphire_net.store import client as store_client
from sapphire_net.store import environment as environments
from sapphire_net.store import reading
from sapphire_node import messages
from sapphire_node import status
from sapphire_wire import settings as settings_lib

_LOGGER = logging.getLogger(__name__)

POLL_MS = 1_000


class StorePoller:
    """Reads the head of the store and yields each newer configuration."""

    def __init__(self, settings: settings_lib.StoreSettings) -> None:
        """Creates the task.

        Args:
            settings: How to reach the store.
        """
        self._settings = settings
        self._configuration: records.Configuration | None = None
        self._is_reachable: bool | None = None
        self._send, self._receive = anyio.create_memory_object_stream[
            records.Configuration
        ](16)

    async def run(self) -> None:
        """Polls until cancelled."""
        url = str(self._settings.endpoints[0])
        async with store_client.open_client(url) as http:
            environment = environments.Environment(
                store_client.GatewayStore(http), self._settings.prefix
            )
            while True:
                await self._poll(environment)
                await anyio.sleep(POLL_MS / clock.MS_PER_SECOND)

    async def accepted(self) -> AsyncIterator[records.Configuration]:
        """Yields each configuration that is newer than the one before."""
        async for configuration in self._receive:
            yield configuration

    def take_fact(self, fact: messages.ConfigurationFact) -> None:
        """Takes what a host published about the configuration."""

    def take_view(self, view: records.MemberView) -> None:
        """Takes the membership."""

    def record(self) -> bytes | None:
        """Returns the configuration as one record for peers."""
        return None

    def status(self) -> status.ConfigurationStatus:
        """Returns what operators may know."""
        configuration = self._configuration
        revision = configuration.revision if configuration is not None else 0
        return status.ConfigurationStatus(
            revision, self._is_reachable, configuration
        )

    async def _poll(self, environment: environments.Environment) -> None:
        """Reads the store once."""
        snapshot = await reading.read_snapshot(environment)
        self._is_reachable = snapshot.is_ok()
        if snapshot.is_error():
            event_log.log_failure(_LOGGER, "store_read_failed", snapshot.error)
            return
        configuration = snapshot.ok.configuration
        known = self._configuration
        if known is not None and configuration.revision <= known.revision:
            return
        if configuration.revision == 0:
            return
        self._configuration = configuration
        await self._send.send(configuration)


class UnclaimableStore:
    """Claims nothing, so that requests that need a claim are refused."""

    async def apply(
        self, batch: request_data.ClaimBatch
    ) -> expression.Result[
        request_data.ClaimsApplied, request_failures.ClaimFailure
    ]:
        """Refuses the batch."""
        del batch
        return expression.Error(request_failures.ClaimFailure("no store"))
