"""Builds the tasks of the daemon and runs them until the host has left."""

from collections.abc import AsyncIterator
import dataclasses
import enum
import logging
import pathlib
import random
import signal
import socket
import uuid

import anyio
from anyio import abc

from sapphire_core.flows import router as flow_router
from sapphire_core.membership import data as membership_data
from sapphire_core.membership import membership
from sapphire_data import clock
from sapphire_data import records
from sapphire_net import event_log
from sapphire_net import http_server
from sapphire_net.trust import keys
from sapphire_node import api
from sapphire_node import control
from sapphire_node import departure
from sapphire_node import forwarder
from sapphire_node import instruments
from sapphire_node import lifecycle
from sapphire_node import messages
from sapphire_node import prober
from sapphire_node import status
from sapphire_node import store_claims
from sapphire_node import subscribers
from sapphire_node.configuration import keeper
from sapphire_node.requests import asgi
from sapphire_node.requests import service as request_service
from sapphire_wire import api as operator_api
from sapphire_wire import settings as settings_lib

_LOGGER = logging.getLogger(__name__)

INBOX_MESSAGES = 4_096
HOST_ID_CHARACTERS = 12
API_GRACE_MS = 500


class Outcome(enum.Enum):
    """How a run of the daemon ended."""

    LEFT = "left"
    UNFINISHED = "unfinished"
    FAILED = "failed"


@dataclasses.dataclass(frozen=True, slots=True)
class LoadedSettings:
    """The settings with what they refer to.

    Attributes:
        settings: The validated settings.
        directory: The directory that file names are relative to.
        ring: The keys of control messages.
    """

    settings: settings_lib.Settings
    directory: pathlib.Path
    ring: keys.KeyRing


@dataclasses.dataclass(frozen=True, slots=True)
class Sockets:
    """The UDP sockets of a host.

    Attributes:
        fabric: Takes packets of the fabric.
        relayed: Sends packets that other hosts handed over.
        control: Takes control messages.
    """

    fabric: abc.UDPSocket
    relayed: abc.UDPSocket
    control: abc.UDPSocket


async def run(loaded: LoadedSettings) -> Outcome:
    """Runs one host until it has left the fleet.

    Args:
        loaded: The settings.

    Returns:
        How it ended.
    """
    settings = loaded.settings
    address = str(settings.address)
    try:
        async with (
            await _open_udp(address, settings.ports.fabric) as fabric,
            await _open_udp(address, 0) as relayed,
            await _open_udp(address, settings.ports.control) as control_udp,
        ):
            daemon = Daemon(loaded, Sockets(fabric, relayed, control_udp))
            return await daemon.run()
    except OSError as error:
        event_log.log(
            _LOGGER, logging.ERROR, "listener_failed", detail=str(error)
        )
        return Outcome.FAILED


async def _open_udp(address: str, port: int) -> abc.UDPSocket:
    """Opens a UDP socket on an address of the host."""
    if ":" in address:
        return await anyio.create_udp_socket(
            family=socket.AF_INET6, local_host=address, local_port=port
        )
    return await anyio.create_udp_socket(
        family=socket.AF_INET, local_host=address, local_port=port
    )


class Daemon:
    """The tasks of one host and the streams between them."""

    def __init__(self, loaded: LoadedSettings, sockets: Sockets) -> None:
        """Builds the tasks.

        Args:
            loaded: The settings.
            sockets: The open sockets.
        """
        settings = loaded.settings
        self._settings = settings
        self._time = clock.MonotonicClock()
        self._state = lifecycle.Lifecycle()
        self._own = _own_address(settings)
        to_control, self._control_inbox = anyio.create_memory_object_stream[
            messages.ToControl
        ](INBOX_MESSAGES)
        self._to_control = to_control
        to_forwarder, self._forwarder_inbox = anyio.create_memory_object_stream[
            messages.ToForwarder
        ](INBOX_MESSAGES)
        self._to_forwarder = to_forwarder
        self._forwarder = forwarder.Forwarder(
            flow_router.Router(self._own.host_id),
            forwarder.Sockets(sockets.fabric, sockets.relayed),
            to_control,
            self._time,
        )
        self._prober = prober.Prober(self._own.host_id, to_forwarder)
        self._configuration = keeper.Keeper(
            self._own, settings.store, to_control, self._time
        )
        self._requests = request_service.RequestService(
            self._own.host_id,
            store_claims.open_claims(settings.store, self._time),
            self._time,
        )
        self._control = control.ControlPlane(
            self._own,
            self._membership(settings),
            sockets.control,
            ring=loaded.ring,
            listeners=self._subscribers(),
            time=self._time,
        )
        self._metrics = instruments.create(
            self._own.host_id, self._forwarder, self._control, self._requests
        )

    async def run(self) -> Outcome:
        """Runs the tasks until the host has left.

        Returns:
            How it ended.
        """
        event_log.log(
            _LOGGER,
            logging.INFO,
            "host_started",
            host=self._own.host_id,
            data_centre=self._own.data_centre,
            address=self._own.address,
        )
        stop_requests = anyio.Event()
        async with anyio.create_task_group() as tasks:
            self._start_tasks(tasks, stop_requests)
            with anyio.open_signal_receiver(
                signal.SIGTERM, signal.SIGINT
            ) as signals:
                result = await self._departure().run(signals)
            stop_requests.set()
            tasks.cancel_scope.cancel()
        self._metrics.close()
        event_log.log(
            _LOGGER, logging.INFO, "host_stopped", result=result.value
        )
        if result is departure.Result.FINISHED:
            return Outcome.LEFT
        return Outcome.UNFINISHED

    def _start_tasks(
        self, tasks: abc.TaskGroup, stop_requests: anyio.Event
    ) -> None:
        """Starts all tasks."""
        tasks.start_soon(self._forwarder.serve_fabric)
        tasks.start_soon(self._forwarder.serve_inbox, self._forwarder_inbox)
        tasks.start_soon(self._forwarder.tick)
        tasks.start_soon(self._control.serve_datagrams)
        tasks.start_soon(self._control.serve_outgoing)
        tasks.start_soon(self._control.serve_inbox, self._control_inbox)
        tasks.start_soon(self._control.tick)
        tasks.start_soon(self._prober.run)
        tasks.start_soon(self._requests.run)
        tasks.start_soon(self._configuration.run)
        tasks.start_soon(self._distribute, self._configuration.accepted())
        tasks.start_soon(self._serve_api)
        tasks.start_soon(self._serve_requests, stop_requests)

    async def _distribute(
        self, accepted: AsyncIterator[records.Configuration]
    ) -> None:
        """Hands each accepted configuration to the tasks that use it."""
        async for configuration in accepted:
            await self._to_forwarder.send(
                messages.ConfigurationAccepted(configuration)
            )
            self._requests.set_configuration(configuration)
            self._prober.take_configuration(configuration)
            self._state.has_configuration = True
            if self._state.phase is lifecycle.Phase.STARTING:
                self._state.phase = lifecycle.Phase.SERVING
            event_log.log(
                _LOGGER,
                logging.INFO,
                "revision_prepared",
                revision=configuration.revision,
            )

    async def _serve_api(self) -> None:
        """Serves the API until cancelled."""
        readers = api.Readers(
            state=self._state,
            metrics=self._metrics.render,
            status=self._read_status,
            slo=self._read_slo,
            configuration=self._configuration.record,
        )
        await http_server.serve(
            api.create_app(readers),
            self._own.address,
            self._own.api_port,
            anyio.sleep_forever,
            grace_ms=API_GRACE_MS,
        )

    async def _serve_requests(self, stop: anyio.Event) -> None:
        """Serves requests of callers until told to stop."""
        await http_server.serve(
            asgi.RequestApp(self._requests),
            self._own.address,
            self._settings.ports.requests,
            stop.wait,
        )

    def _departure(self) -> departure.Departure:
        """Returns the graceful shutdown of this host."""
        return departure.Departure(
            self._state,
            departure.Steps(
                announce=self._announce_leave,
                refuse_requests=self._requests.begin_drain,
                is_handed_over=self._is_handed_over,
                is_idle=self._requests.is_idle,
                last_packet_ms=lambda: self._forwarder.last_packet_ms,
            ),
            self._time,
            notice_ms=self._settings.leave_notice_ms,
            quiet_ms=self._settings.fabric_quiet_ms,
            timeout_ms=self._settings.drain_timeout_ms,
        )

    async def _announce_leave(self) -> None:
        """Tells the other hosts that this one leaves."""
        await self._to_control.send(messages.BeginLeave())

    def _is_handed_over(self) -> bool:
        """Returns whether other keepers hold what this host recorded."""
        return self._forwarder.router.is_released(self._time.now_ms())

    def _read_status(self, service: str | None) -> operator_api.HostStatus:
        """Returns the status for operators."""
        return status.read(
            self._own,
            self._state,
            self._forwarder,
            self._control.membership.view(),
            known=self._configuration.status(),
            service=service,
            now_ms=self._time.now_ms(),
        )

    def _read_slo(self, service: str | None) -> operator_api.SloReport:
        """Returns the counts of service levels for operators."""
        return status.read_slo(self._own, self._forwarder.levels, service)

    def _subscribers(self) -> subscribers.Subscribers:
        """Returns the tasks that take messages of the control plane."""
        return subscribers.Subscribers(
            self._to_forwarder,
            self._configuration.take_notice,
            (
                self._configuration.take_view,
                self._requests.set_view,
                self._prober.take_view,
            ),
        )

    def _membership(
        self, settings: settings_lib.Settings
    ) -> membership.Membership:
        """Returns the membership of this host, with no state yet."""
        seeds = tuple(
            membership_data.Seed(str(peer.address), peer.control_port)
            for peer in settings.seeds
        )
        return membership.Membership(
            self._own,
            clock.wall_time_ms(),
            seeds,
            random.SystemRandom().getrandbits(32),
        )


def _own_address(settings: settings_lib.Settings) -> records.HostAddress:
    """Returns the identity of this process, new at each start."""
    suffix = uuid.uuid4().hex[:HOST_ID_CHARACTERS]
    return records.HostAddress(
        host_id=f"{settings.data_centre}-{suffix}",
        data_centre=settings.data_centre,
        address=str(settings.address),
        control_port=settings.ports.control,
        api_port=settings.ports.api,
    )
