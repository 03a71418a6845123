"""Runs the tasks of a host until it has left the fleet or a task fails."""

from collections.abc import AsyncIterator
import enum
import errno
import logging
import signal
import traceback

import anyio
from anyio import abc

from sapphire_net import event_log
from sapphire_net import http_server
from sapphire_node import api
from sapphire_node import api_readers
from sapphire_node import components as components_lib
from sapphire_node import graceful_shutdown
from sapphire_node import host_list_task
from sapphire_node import lifecycle
from sapphire_node import messages
from sapphire_node import process_signals
from sapphire_node import request_timing
from sapphire_node import rotation_task
from sapphire_node import settings_loader
from sapphire_node import signal_stream
from sapphire_node import udp_sockets
from sapphire_node.housekeeping import truncation_task
from sapphire_node.requests import asgi

_LOGGER = logging.getLogger(__name__)

_BIND_ERRORS = frozenset((errno.EACCES, errno.EADDRINUSE, errno.EADDRNOTAVAIL))

# A request that arrives at the very end is refused, which needs no upstream;
# only callers that send or receive slowly take longer than this.
REQUESTS_GRACE_MS = 2_000

Signals = AsyncIterator[signal.Signals]


class Outcome(enum.Enum):
    """How a run of the daemon ended.

    Attributes:
        LEFT: The host left the fleet with no work open.
        UNFINISHED: The host stopped with work open.
        FAILED: A port could not be bound, or a task failed.
    """

    LEFT = "left"
    UNFINISHED = "unfinished"
    FAILED = "failed"


async def run(
    loaded: settings_loader.LoadedSettings,
    signals: process_signals.ProcessSignals,
) -> Outcome:
    """Runs one host until a signal and the graceful shutdown that follows.

    Args:
        loaded: The settings with the files that they name.
        signals: The signals of this process.

    Returns:
        How it ended.
    """
    return await run_until(loaded, _iterate_stops(signals))


async def _iterate_stops(
    signals: process_signals.ProcessSignals,
) -> AsyncIterator[signal.Signals]:
    """Yields each signal to stop; SIGHUP is logged only."""
    async for number in signal_stream.iterate(signals):
        if number in process_signals.STOP_NUMBERS:
            yield number
            continue
        event_log.log(
            _LOGGER, logging.INFO, "signal_ignored", signal=int(number)
        )


async def run_until(
    loaded: settings_loader.LoadedSettings, signals: Signals
) -> Outcome:
    """Runs one host until it has left the fleet or a task has failed.

    A host without one of its tasks cannot do its work, so if a task fails, all
    others are cancelled.

    Args:
        loaded: The settings with the files that they name.
        signals: The first one begins the graceful shutdown. After the second
            one, the shutdown no longer waits for the fabric.

    Returns:
        How it ended.
    """
    try:
        async with udp_sockets.open_sockets(loaded.settings) as sockets:
            components = components_lib.build(loaded, sockets)
            return await _run_components(components, signals)
    except OSError as error:
        _log_failed_listener(error)
    except ExceptionGroup as group:
        _log_failed_task(group)
    return Outcome.FAILED


async def _run_components(
    components: components_lib.Components, signals: Signals
) -> Outcome:
    """Runs the tasks until the graceful shutdown has ended."""
    event_log.log(
        _LOGGER,
        logging.INFO,
        "host_started",
        host=components.own_address.host_id,
        data_centre=components.own_address.data_centre,
        address=components.own_address.address,
    )
    stop_serving_requests = anyio.Event()
    requests_ended = anyio.Event()
    try:
        async with anyio.create_task_group() as tasks:
            _start_tasks(
                components, tasks, stop_serving_requests, requests_ended
            )
            result = await _graceful_shutdown(components).run(signals)
            # The other tasks go on until the last request has its answer.
            stop_serving_requests.set()
            await requests_ended.wait()
            tasks.cancel_scope.cancel()
    finally:
        components.metrics.close()
    event_log.log(_LOGGER, logging.INFO, "host_stopped", result=result.value)
    if result is graceful_shutdown.Result.FINISHED:
        return Outcome.LEFT
    return Outcome.UNFINISHED


def _start_tasks(
    components: components_lib.Components,
    tasks: abc.TaskGroup,
    stop_serving_requests: anyio.Event,
    requests_ended: anyio.Event,
) -> None:
    """Starts all tasks."""
    tasks.start_soon(components.forwarder.serve_fabric)
    tasks.start_soon(
        components.forwarder.serve_inbox, components.forwarder_inbox
    )
    tasks.start_soon(components.forwarder.tick)
    tasks.start_soon(components.control_plane.serve_datagrams)
    tasks.start_soon(components.control_plane.serve_outgoing)
    tasks.start_soon(
        components.control_plane.serve_inbox, components.control_inbox
    )
    tasks.start_soon(components.control_plane.tick)
    tasks.start_soon(components.prober.run)
    tasks.start_soon(components.requests.run)
    tasks.start_soon(components.configuration_sync.run)
    tasks.start_soon(
        rotation_task.run, components.loaded, components.control_plane
    )
    tasks.start_soon(truncation_task.run, components)
    if components.loaded.host_list_file is not None:
        host_list = host_list_task.HostListTask(
            components.loaded.host_list_file, components.to_control
        )
        tasks.start_soon(host_list.run)
    tasks.start_soon(_distribute_configurations, components)
    tasks.start_soon(_serve_api, components)
    tasks.start_soon(
        _serve_requests, components, stop_serving_requests, requests_ended
    )


async def _distribute_configurations(
    components: components_lib.Components,
) -> None:
    """Sends each accepted configuration to the tasks that use it."""
    async for configuration in components.configuration_sync.accepted():
        await components.to_forwarder.send(
            messages.ConfigurationAccepted(configuration)
        )
        components.requests.set_configuration(configuration)
        components.prober.set_configuration(configuration)
        components.lifecycle.has_configuration = True
        if components.lifecycle.phase is lifecycle.Phase.STARTING:
            components.lifecycle.phase = lifecycle.Phase.SERVING
        event_log.log(
            _LOGGER,
            logging.INFO,
            "revision_prepared",
            revision=configuration.revision,
        )


async def _serve_api(components: components_lib.Components) -> None:
    """Serves the API until cancelled."""
    api_tls = components.loaded.api_tls
    await http_server.serve(
        api.create_app(
            api_readers.create_readers(components),
            requires_role=api_tls is not None,
        ),
        components.own_address.address,
        components.own_address.api_port,
        anyio.sleep_forever,
        tls_context=api_tls.server.context if api_tls is not None else None,
    )


async def _serve_requests(
    components: components_lib.Components,
    stop: anyio.Event,
    ended: anyio.Event,
) -> None:
    """Serves requests of callers until an event is set, then sets another."""
    await http_server.serve(
        request_timing.RequestTimingMiddleware(
            asgi.RequestApp(components.requests), components.metrics.meter
        ),
        components.own_address.address,
        components.loaded.settings.ports.requests,
        stop.wait,
        grace_ms=REQUESTS_GRACE_MS,
    )
    ended.set()


def _graceful_shutdown(
    components: components_lib.Components,
) -> graceful_shutdown.GracefulShutdown:
    """Creates the graceful shutdown of a host."""

    async def announce_leaving() -> None:
        await components.to_control.send(messages.BeginLeave())

    def is_handover_complete() -> bool:
        return components.forwarder.router.is_handover_complete(
            components.time.now_ms()
        )

    settings = components.loaded.settings
    return graceful_shutdown.GracefulShutdown(
        components.lifecycle,
        graceful_shutdown.Callbacks(
            announce_leaving=announce_leaving,
            refuse_requests=components.requests.begin_drain,
            is_handover_complete=is_handover_complete,
            is_idle=components.requests.is_idle,
            last_packet_ms=lambda: components.forwarder.last_packet_ms,
        ),
        components.time,
        notice_ms=settings.leave_notice_ms,
        quiet_ms=settings.fabric_quiet_ms,
        timeout_ms=settings.drain_timeout_ms,
    )


def _log_failed_listener(error: OSError) -> None:
    """Logs that a port could not be bound."""
    event_log.log(_LOGGER, logging.ERROR, "listener_failed", detail=str(error))


def _log_failed_task(group: ExceptionGroup) -> None:
    """Logs the first error of the tasks in one line.

    A port of an HTTP server that cannot be bound is logged as such.
    """
    error: Exception = group
    while isinstance(error, ExceptionGroup):
        error = error.exceptions[0]
    if isinstance(error, OSError) and error.errno in _BIND_ERRORS:
        _log_failed_listener(error)
        return
    frames = traceback.extract_tb(error.__traceback__)
    place = f"{frames[-1].name}:{frames[-1].lineno}" if frames else ""
    event_log.log(
        _LOGGER,
        logging.ERROR,
        "task_failed",
        failure=type(error).__name__,
        detail=str(error),
        place=place,
    )
