"""The entry host: starts its tasks, reloads its settings and stops it."""

from collections.abc import AsyncIterator
from collections.abc import Callable
import logging
import math
import signal
import sys

import anyio
import anyio.abc

from sapphire_core.peers import data as peer_data
from sapphire_core.peers import graceful_shutdown
from sapphire_core.replication import data as replication_data
from sapphire_data import clock as clock_lib
from sapphire_data import failures
from sapphire_net import bounded_log_handler
from sapphire_net import event_log
from sapphire_net import pauses
from sapphire_node import process_signals
from sapphire_node import signal_stream
from sapphire_node.entry import announcer
from sapphire_node.entry import era_question
from sapphire_node.entry import host_state
from sapphire_node.entry import messages
from sapphire_node.entry import metrics_task
from sapphire_node.entry import packet_task
from sapphire_node.entry import peer_task
from sapphire_node.entry import platform_interface
from sapphire_node.entry import readiness
from sapphire_node.entry import replica_task
from sapphire_node.entry import startup_reader
from sapphire_node.entry import stop_deadline
from sapphire_node.entry import store_follower

_LOG = logging.getLogger(__name__)

EXIT_OK = 0
EXIT_INVALID_SETTINGS = 2
SHUTDOWN_POLL_MS = 100
# The settings file may change without a SIGHUP.
SETTINGS_POLL_INTERVAL_MS = 2_000

PlatformFactory = Callable[
    [platform_interface.HostSettings], platform_interface.Platform
]


def run(
    settings: platform_interface.HostSettings | failures.Failure,
    make_platform: PlatformFactory,
    signals: process_signals.ProcessSignals,
) -> int:
    """Runs the host until a signal asks it to stop.

    Args:
        settings: The settings at the start, or why they are invalid.
        make_platform: Creates the adapter for the platform.
        signals: The signals of this process.

    Returns:
        The exit status of the process.
    """
    handler = bounded_log_handler.BoundedLogHandler(sys.stdout.fileno())
    event_log.configure_handler("info", handler)
    if isinstance(settings, failures.Failure):
        event_log.log_failure(_LOG, "settings_invalid", settings)
        handler.write_buffered()
        return EXIT_INVALID_SETTINGS
    if signals.is_stop_requested():
        event_log.log(_LOG, logging.INFO, "stopped_before_start")
        handler.write_buffered()
        return EXIT_OK
    deadline = stop_deadline.StopDeadline(handler.write_buffered)
    anyio.run(_main, settings, make_platform, handler, signals, deadline)
    deadline.cancel()
    return EXIT_OK


async def _main(
    settings: platform_interface.HostSettings,
    make_platform: PlatformFactory,
    handler: bounded_log_handler.BoundedLogHandler,
    signals: process_signals.ProcessSignals,
    deadline: stop_deadline.StopDeadline,
) -> None:
    """Runs all tasks until the host has stopped."""
    clock = clock_lib.MonotonicClock()
    state = host_state.HostState(settings)
    platform = make_platform(settings)
    event_log.log(
        _LOG,
        logging.INFO,
        "started",
        host=settings.host_name,
        data_centre=settings.data_centre,
        store=f"{settings.store_address[0]}:{settings.store_address[1]}",
        link_bytes_per_ms=settings.limits.link_bytes_per_ms,
    )
    _log_problems(settings, "start")
    batches, received_batches = anyio.create_memory_object_stream[
        messages.ReplicaMessage
    ](math.inf)
    changes, received_changes = anyio.create_memory_object_stream[
        messages.PacketTaskMessage
    ](math.inf)
    to_peers, inbox = anyio.create_memory_object_stream[
        messages.HostListChanged
        | messages.ScopeUpdated
        | messages.OwnUpstreamReports
    ](math.inf)
    contact = peer_data.Contact(
        settings.host_name, settings.data_centre, *settings.peer_address
    )
    forwarder = packet_task.PacketTask(
        platform, state, clock, received_changes, to_peers
    )
    replicator = replica_task.ReplicaTask(
        platform.items,
        state=state,
        clock=clock,
        batches=received_batches,
        changes=changes,
        peers=to_peers,
    )
    peer_exchange = peer_task.PeerTask(
        contact,
        state,
        clock,
        inbox=inbox,
        batches=batches,
        peer_reports=changes,
    )
    host_announcer = announcer.Announcer(contact, platform, state, clock)
    asker = era_question.EraQuestion(platform, state, clock)
    reader = startup_reader.StartupReader(platform, state, clock, batches)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(handler.run)
        tasks.start_soon(forwarder.run)
        tasks.start_soon(replicator.run)
        tasks.start_soon(peer_exchange.run)
        tasks.start_soon(host_announcer.run)
        tasks.start_soon(asker.run)
        tasks.start_soon(reader.run)
        for scope in replication_data.Scope:
            follower = store_follower.StoreFollower(
                scope, platform, state, clock, batches
            )
            tasks.start_soon(follower.run)
        tasks.start_soon(readiness.ReadinessServer(state).run)
        tasks.start_soon(metrics_task.MetricsTask(state, clock).run)
        tasks.start_soon(_poll_settings, platform, state)
        await _wait_for_stop(signal_stream.iterate(signals), platform, state)
        deadline.start(
            stop_deadline.longest_stop_ms(state.settings.limits.shutdown_ms)
        )
        # Further signals are caught and not read: the host already stops as
        # soon as the fabric allows.
        await _shut_down_gracefully(state, clock)
        event_log.log(_LOG, logging.INFO, "stopped", **state.counts)
        tasks.cancel_scope.cancel()


async def _wait_for_stop(
    signals: AsyncIterator[signal.Signals],
    platform: platform_interface.Platform,
    state: host_state.HostState,
) -> None:
    """Waits for a signal to stop; reloads the settings on each SIGHUP."""
    async for received in signals:
        if received is signal.SIGHUP:
            _reload_settings(platform, state, "signal")
            continue
        event_log.log(_LOG, logging.INFO, "stopping", signal=int(received))
        return


async def _shut_down_gracefully(
    state: host_state.HostState, clock: clock_lib.Clock
) -> None:
    """Withdraws from rotation; returns when the process may end.

    That is once the fabric sends no more packets, or when the shutdown timeout
    is near. All tasks keep running meanwhile, so packets are still forwarded.
    """
    shutdown = graceful_shutdown.GracefulShutdown(
        clock.now_ms(), state.settings.limits.shutdown_ms
    )
    while True:
        now_ms = clock.now_ms()
        stage = shutdown.step(
            now_ms,
            state.last_packet_ms,
            is_near_host_away=state.is_near_host_away,
        )
        if stage is graceful_shutdown.Stage.LEFT:
            return
        if stage is graceful_shutdown.Stage.LEAVING and not state.is_leaving:
            state.leaving.set()
            event_log.log(
                _LOG,
                logging.INFO,
                "leaving",
                waited_ms=now_ms - shutdown.requested_ms,
                is_near_host_away=state.is_near_host_away,
            )
        await pauses.sleep_ms(SHUTDOWN_POLL_MS)


async def _poll_settings(
    platform: platform_interface.Platform, state: host_state.HostState
) -> None:
    """Reloads the settings at intervals, for changes without a SIGHUP."""
    while True:
        await pauses.sleep_ms(SETTINGS_POLL_INTERVAL_MS)
        _reload_settings(platform, state, "poll")


def _reload_settings(
    platform: platform_interface.Platform,
    state: host_state.HostState,
    cause: str,
) -> None:
    """Applies changed settings; invalid ones leave the former in force."""
    try:
        settings = platform.read_settings()
    except Exception as error:
        event_log.log_unexpected(_LOG, "settings_invalid", error, cause=cause)
        return
    if isinstance(settings, failures.Failure):
        event_log.log_failure(_LOG, "settings_invalid", settings, cause=cause)
        return
    if settings == state.settings:
        return
    state.settings = settings
    event_log.log(_LOG, logging.INFO, "settings_reloaded", cause=cause)
    _log_problems(settings, cause)


def _log_problems(
    settings: platform_interface.HostSettings, cause: str
) -> None:
    """Logs which values of the settings the host does without."""
    for problem in settings.problems:
        event_log.log_failure(_LOG, "setting_ignored", problem, cause=cause)
