"""Runs the tasks of a host until it has left the fleet."""

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
from sapphire_node import answers
from sapphire_node import api
from sapphire_node import departure
from sapphire_node import host_list_task
from sapphire_node import lifecycle
from sapphire_node import listeners
from sapphire_node import loading
from sapphire_node import messages
from sapphire_node import parts as parts_lib
from sapphire_node import request_meter
from sapphire_node import rotation_task
from sapphire_node.housekeeping import task as housekeeping_task
from sapphire_node.requests import asgi

_LOGGER = logging.getLogger(__name__)

_BIND_ERRORS = frozenset((errno.EACCES, errno.EADDRINUSE, errno.EADDRNOTAVAIL))

Signals = AsyncIterator[signal.Signals]


class Outcome(enum.Enum):
    """How a run of the daemon ended."""

    LEFT = "left"
    UNFINISHED = "unfinished"
    FAILED = "failed"


async def run(loaded: loading.LoadedSettings) -> Outcome:
    """Runs one host until a signal and its departure.

    Args:
        loaded: The settings.

    Returns:
        How it ended.
    """
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        return await run_until(loaded, signals)


async def run_until(
    loaded: loading.LoadedSettings, signals: Signals
) -> Outcome:
    """Runs one host until it has left the fleet or a task has failed.

    A host of which one task has ended cannot keep its promises, so all others
    end with it.

    Args:
        loaded: The settings.
        signals: The first one begins the departure, the second hastens it.

    Returns:
        How it ended.
    """
    try:
        async with listeners.opened(loaded.settings) as sockets:
            parts = parts_lib.build(loaded, sockets)
            return await _run_parts(parts, signals)
    except OSError as error:
        _log_failed_listener(error)
    except ExceptionGroup as group:
        _log_failed_task(group)
    return Outcome.FAILED


async def _run_parts(parts: parts_lib.Parts, signals: Signals) -> Outcome:
    """Runs the tasks until the host has left."""
    event_log.log(
        _LOGGER,
        logging.INFO,
        "host_started",
        host=parts.own.host_id,
        data_centre=parts.own.data_centre,
        address=parts.own.address,
    )
    stop_requests = anyio.Event()
    try:
        async with anyio.create_task_group() as tasks:
            _start_tasks(parts, tasks, stop_requests)
            result = await _departure(parts).run(signals)
            stop_requests.set()
            tasks.cancel_scope.cancel()
    finally:
        parts.meters.close()
    event_log.log(_LOGGER, logging.INFO, "host_stopped", result=result.value)
    if result is departure.Result.FINISHED:
        return Outcome.LEFT
    return Outcome.UNFINISHED


def _start_tasks(
    parts: parts_lib.Parts, tasks: abc.TaskGroup, stop_requests: anyio.Event
) -> None:
    """Starts all tasks."""
    tasks.start_soon(parts.packets.serve_fabric)
    tasks.start_soon(parts.packets.serve_inbox, parts.forwarder_inbox)
    tasks.start_soon(parts.packets.tick)
    tasks.start_soon(parts.control.serve_datagrams)
    tasks.start_soon(parts.control.serve_outgoing)
    tasks.start_soon(parts.control.serve_inbox, parts.control_inbox)
    tasks.start_soon(parts.control.tick)
    tasks.start_soon(parts.probes.run)
    tasks.start_soon(parts.requests.run)
    tasks.start_soon(parts.configuration.run)
    tasks.start_soon(rotation_task.run, parts.loaded, parts.control)
    tasks.start_soon(housekeeping_task.run, parts)
    if parts.loaded.host_list_file is not None:
        listed = host_list_task.HostListTask(
            parts.loaded.host_list_file, parts.to_control
        )
        tasks.start_soon(listed.run)
    tasks.start_soon(_distribute, parts)
    tasks.start_soon(_serve_api, parts)
    tasks.start_soon(_serve_requests, parts, stop_requests)


async def _distribute(parts: parts_lib.Parts) -> None:
    """Hands each accepted configuration to the tasks that use it."""
    async for configuration in parts.configuration.accepted():
        await parts.to_forwarder.send(
            messages.ConfigurationAccepted(configuration)
        )
        parts.requests.set_configuration(configuration)
        parts.probes.take_configuration(configuration)
        parts.state.has_configuration = True
        if parts.state.phase is lifecycle.Phase.STARTING:
            parts.state.phase = lifecycle.Phase.SERVING
        event_log.log(
            _LOGGER,
            logging.INFO,
            "revision_prepared",
            revision=configuration.revision,
        )


async def _serve_api(parts: parts_lib.Parts) -> None:
    """Serves the API until cancelled."""
    api_tls = parts.loaded.api_tls
    await http_server.serve(
        api.create_app(
            answers.readers(parts), requires_role=api_tls is not None
        ),
        parts.own.address,
        parts.own.api_port,
        anyio.sleep_forever,
        tls_context=api_tls.server.context if api_tls is not None else None,
    )


async def _serve_requests(parts: parts_lib.Parts, stop: anyio.Event) -> None:
    """Serves requests of callers until told to stop."""
    await http_server.serve(
        request_meter.RequestMeter(
            asgi.RequestApp(parts.requests), parts.meters.meter
        ),
        parts.own.address,
        parts.loaded.settings.ports.requests,
        stop.wait,
    )


def _departure(parts: parts_lib.Parts) -> departure.Departure:
    """Returns the graceful shutdown of a host."""

    async def announce() -> None:
        await parts.to_control.send(messages.BeginLeave())

    def is_handed_over() -> bool:
        return parts.packets.router.is_handover_complete(parts.time.now_ms())

    settings = parts.loaded.settings
    return departure.Departure(
        parts.state,
        departure.Steps(
            announce=announce,
            refuse_requests=parts.requests.begin_drain,
            is_handed_over=is_handed_over,
            is_idle=parts.requests.is_idle,
            last_packet_ms=lambda: parts.packets.last_packet_ms,
        ),
        parts.time,
        notice_ms=settings.leave_notice_ms,
        quiet_ms=settings.fabric_quiet_ms,
        timeout_ms=settings.drain_timeout_ms,
    )


def _log_failed_listener(error: OSError) -> None:
    """Logs that a port could not be bound."""
    event_log.log(_LOGGER, logging.ERROR, "listener_failed", detail=str(error))


def _log_failed_task(group: ExceptionGroup) -> None:
    """Logs the first error of the tasks as one line."""
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
