"""The task that keeps the configuration of this host up to date.

It feeds notices of peers, events of the store and results of fetches to the
state machine `propagation.Propagation` and carries out its actions.
"""

from collections.abc import AsyncIterator
from collections.abc import Callable
import dataclasses
import logging
import random
import ssl

import anyio
from anyio import abc
from anyio.streams import memory
import expression
import httpx

from sapphire_core.configuration import propagation
from sapphire_core.configuration import propagation_data
from sapphire_data import clock
from sapphire_data import failures
from sapphire_data import records
from sapphire_net import event_log
from sapphire_net.store import client as store_client
from sapphire_net.store import environment as environments
from sapphire_node import messages
from sapphire_node import status
from sapphire_node.configuration import configuration_fetch
from sapphire_node.configuration import store_adapter
from sapphire_wire import message_kind
from sapphire_wire import settings as settings_lib
from sapphire_wire.documents import bundle

_LOGGER = logging.getLogger(__name__)

TICK_INTERVAL_MS = 50
MAX_QUEUED_EVENTS = 1_024
MAX_QUEUED_CONFIGURATIONS = 16
MAX_CONCURRENT_FETCHES = 4


@dataclasses.dataclass(frozen=True, slots=True)
class _QueuedEvent:
    """An event in the inbox of the task.

    Attributes:
        event: The event.
        content: The configuration that was fetched, with `FetchDone`.
    """

    event: propagation_data.Event
    content: bundle.DecodedConfiguration | None = None


class ConfigurationSync:
    """Carries out the actions of `propagation.Propagation` for one host.

    Attributes:
        dropped_events: The events and notices dropped because the inbox of
            this task or of the control task was full.
    """

    def __init__(
        self,
        own_address: records.HostAddress,
        settings: settings_lib.StoreSettings,
        to_control: memory.MemoryObjectSendStream[messages.ToControl],
        time: clock.Clock,
        *,
        peer_context: ssl.SSLContext | None = None,
        store_context: ssl.SSLContext | None = None,
        record_newer_revision: Callable[[int], None] | None = None,
    ) -> None:
        """Creates the task.

        Args:
            own_address: The identity and addresses of this host.
            settings: How to reach the store.
            to_control: The inbox of the control task, which seals and sends
                datagrams.
            time: The clock.
            peer_context: The TLS context for peers; none for clear text.
            store_context: The TLS context for the store; none for the
                library's default.
            record_newer_revision: Called with the newest revision that this
                host knows to exist, before it is fetched.
        """
        self._record_newer_revision = record_newer_revision
        self._recorded_revision = 0
        self.dropped_events = 0
        self._own = own_address
        self._settings = settings
        self._to_control = to_control
        self._time = time
        self._peer_context = peer_context
        self._store_context = store_context
        self._bundle_encoder = bundle.BundleEncoder()
        self._propagation = propagation.Propagation(
            own_address.host_id,
            own_address.data_centre,
            random.Random(),
            time.now_ms(),
        )
        self._hosts_by_id: dict[str, records.HostAddress] = {}
        # Whether the state machine has got, or will get, the live hosts.
        self._is_view_queued = True
        self._store_adapter: store_adapter.StoreAdapter | None = None
        self._running_fetches = 0
        self._inbox, self._events = anyio.create_memory_object_stream[
            _QueuedEvent
        ](MAX_QUEUED_EVENTS)
        self._to_accepted, self._accepted = anyio.create_memory_object_stream[
            records.Configuration
        ](MAX_QUEUED_CONFIGURATIONS)

    async def run(self) -> None:
        """Keeps the configuration up to date until cancelled."""
        url = str(self._settings.endpoints[0])
        async with (
            store_client.open_http_client(
                url, ssl_context=self._store_context
            ) as store_http,
            configuration_fetch.open_peer_client(
                self._peer_context
            ) as peer_http,
            anyio.create_task_group() as tasks,
        ):
            alternatives = [str(url) for url in self._settings.endpoints[1:]]
            store = store_client.EtcdStore(store_http, alternatives)
            adapter = store_adapter.StoreAdapter(
                environments.Environment(store, self._settings.prefix),
                self.put,
                self._time,
            )
            self._store_adapter = adapter
            tasks.start_soon(self._tick)
            tasks.start_soon(
                adapter.collect_garbage_periodically,
                lambda: self._propagation.is_store_follower,
            )
            async for queued in self._events:
                await self._handle_event(queued, tasks, adapter, peer_http)

    async def accepted(self) -> AsyncIterator[records.Configuration]:
        """Yields each accepted configuration; each is newer than the last."""
        async for configuration in self._accepted:
            yield configuration

    def set_view(self, view: records.MemberView) -> None:
        """Updates the peers from the membership.

        Args:
            view: The membership.
        """
        live = {
            host_id: member.host
            for host_id, member in view.members_by_id.items()
            if member.state is not records.MemberState.DEAD
        }
        if live == self._hosts_by_id:
            return
        self._hosts_by_id = live
        self._queue_view()

    def _queue_view(self) -> None:
        """Queues the live hosts; `_tick` tries again if the inbox is full."""
        data_centre_by_host = {
            name: host.data_centre for name, host in self._hosts_by_id.items()
        }
        self._is_view_queued = self._try_put(
            propagation_data.ViewChanged(data_centre_by_host)
        )

    def handle_notice(self, received: messages.ControlMessageReceived) -> None:
        """Handles the notice of a peer, and answers it if asked to.

        Args:
            received: The message, of kind `CONFIGURATION_NOTICE`.
        """
        notice = bundle.decode_notice(received.body)
        if notice.is_error():
            event_log.log_failure(_LOGGER, "notice_dropped", notice.error)
            return
        version, wants_answer = notice.ok
        self.put(propagation_data.PeerVersionReceived(received.sender, version))
        if wants_answer:
            self._send_notice(received.sender, wants_answer=False)

    def encode_bundle(self, known_revision: int = 0) -> bytes | None:
        """Returns the newest configuration as an encoded bundle for a peer.

        Args:
            known_revision: The revision that the peer has; 0 for none.

        Returns:
            The head and the parts that the peer lacks; None if this host has
            no configuration yet.
        """
        return self._bundle_encoder.encode(known_revision)

    def status(self) -> status.ConfigurationStatus:
        """Returns the state of this task for the status API."""
        content = self._bundle_encoder.newest
        return status.ConfigurationStatus(
            self._propagation.newest_offered.revision,
            self._store_adapter.is_reachable
            if self._store_adapter is not None
            else None,
            content.configuration if content is not None else None,
        )

    def put(
        self,
        event: propagation_data.Event,
        content: bundle.DecodedConfiguration | None = None,
    ) -> None:
        """Queues an event, or drops it if the inbox is full.

        Later ticks, notices, reads and fetches make up for dropped events.

        Args:
            event: The event.
            content: The configuration that was fetched, with `FetchDone`.
        """
        self._try_put(event, content)

    def _try_put(
        self,
        event: propagation_data.Event,
        content: bundle.DecodedConfiguration | None = None,
    ) -> bool:
        """Queues an event; returns whether it was not dropped."""
        try:
            self._inbox.send_nowait(_QueuedEvent(event, content))
        except anyio.WouldBlock:
            self.dropped_events += 1
            return False
        return True

    async def _tick(self) -> None:
        """Queues a tick at regular intervals."""
        while True:
            if not self._is_view_queued:
                self._queue_view()
            self.put(propagation_data.Tick())
            await anyio.sleep(TICK_INTERVAL_MS / clock.MS_PER_SECOND)

    def _record_newest_offered(self) -> None:
        """Calls `record_newer_revision` when a newer revision is offered."""
        newest = self._propagation.newest_offered.revision
        if (
            self._record_newer_revision is None
            or newest <= self._recorded_revision
        ):
            return
        self._recorded_revision = newest
        self._record_newer_revision(newest)

    async def _handle_event(
        self,
        queued: _QueuedEvent,
        tasks: abc.TaskGroup,
        adapter: store_adapter.StoreAdapter,
        peer_http: httpx.AsyncClient,
    ) -> None:
        """Applies an event to the state machine and carries out its actions."""
        fork_count = len(self._propagation.forks)
        actions = self._propagation.handle(queued.event, self._time.now_ms())
        self._record_newest_offered()
        for fork in self._propagation.forks[fork_count:]:
            event_log.log_failure(_LOGGER, "revision_forked", fork)
        for action in actions:
            match action:
                case propagation_data.StartWatch():
                    tasks.start_soon(adapter.watch)
                case propagation_data.StopWatch():
                    adapter.stop_watch()
                case propagation_data.ReadStoreHead():
                    tasks.start_soon(adapter.read_head)
                case propagation_data.QueryPeer():
                    self._send_notice(action.host_id, wants_answer=True)
                case propagation_data.Notify():
                    for host_id in action.host_ids:
                        self._send_notice(host_id, wants_answer=False)
                case propagation_data.Fetch():
                    tasks.start_soon(self._fetch, action, adapter, peer_http)
                case propagation_data.Prepare():
                    await self._accept_configuration(queued.content)

    async def _accept_configuration(
        self, content: bundle.DecodedConfiguration | None
    ) -> None:
        """Stores a fetched configuration and passes it to the other tasks."""
        if content is None:
            return
        self._bundle_encoder.update(content)
        await self._to_accepted.send(content.configuration)

    def _send_notice(self, host_id: str, *, wants_answer: bool) -> None:
        """Sends a peer the version that this host has."""
        host = self._hosts_by_id.get(host_id)
        if host is None:
            return
        notice = messages.SendControlMessage(
            host.address,
            host.control_port,
            message_kind.MessageKind.CONFIGURATION_NOTICE,
            bundle.encode_notice(self._propagation.version, wants_answer),
        )
        try:
            self._to_control.send_nowait(notice)
        except anyio.WouldBlock:
            # Later notices replace this one, as after the loss of a datagram.
            self.dropped_events += 1

    async def _fetch(
        self,
        action: propagation_data.Fetch,
        adapter: store_adapter.StoreAdapter,
        peer_http: httpx.AsyncClient,
    ) -> None:
        """Fetches a configuration and queues the result.

        Fails at once if the peer has left or too many fetches are running.
        """
        host = self._hosts_by_id.get(action.host_id or "")
        has_left = action.host_id is not None and host is None
        if has_left or self._running_fetches >= MAX_CONCURRENT_FETCHES:
            self.put(propagation_data.FetchFailed(action))
            return
        self._running_fetches += 1
        try:
            fetched = await self._fetch_from(host, adapter, peer_http)
        except Exception as error:
            # A peer or the store may send anything.
            event_log.log_unexpected(
                _LOGGER, "fetch_failed", error, source=action.host_id or "store"
            )
            self.put(propagation_data.FetchFailed(action))
            return
        finally:
            self._running_fetches -= 1
        if fetched.is_error():
            event_log.log_failure(
                _LOGGER,
                "fetch_failed",
                fetched.error,
                source=action.host_id or "store",
                revision=action.version.revision,
            )
            self.put(propagation_data.FetchFailed(action))
            return
        version = fetched.ok.version
        self.put(propagation_data.FetchDone(version, action), fetched.ok)

    async def _fetch_from(
        self,
        host: records.HostAddress | None,
        adapter: store_adapter.StoreAdapter,
        peer_http: httpx.AsyncClient,
    ) -> expression.Result[bundle.DecodedConfiguration, failures.Failure]:
        """Fetches a configuration from a peer, or from the store if None."""
        known = self._bundle_encoder.newest
        if host is None:
            fetched = await configuration_fetch.fetch_from_store(
                adapter.environment, known
            )
            adapter.is_reachable = fetched.is_ok()
            return fetched
        return await configuration_fetch.fetch_from_peer(
            peer_http,
            host,
            known,
            is_encrypted=self._peer_context is not None,
        )
