"""The entry host: its tasks, its start, reload and stop."""

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
from sapphire_net import bounded_output
from sapphire_net import event_log
from sapphire_net import pauses
from sapphire_node.entry import announcer
from sapphire_node.entry import host_state
from sapphire_node.entry import messages
from sapphire_node.entry import metrics_task
from sapphire_node.entry import packet_task
from sapphire_node.entry import peer_task
from sapphire_node.entry import platform_interface
from sapphire_node.entry import readiness
from sapphire_node.entry import replica_task
from sapphire_node.entry import store_follower

_LOG = logging.getLogger(__name__)

EXIT_OK = 0
EXIT_SETTINGS = 2
POLL_MS = 100
# Settings may change without a signal.
SETTINGS_POLL_MS = 2_000

MakePlatform = Callable[
    [platform_interface.HostSettings], platform_interface.Platform
]


def run(
    settings: platform_interface.HostSettings | failures.Failure,
    make_platform: MakePlatform,
) -> int:
    """Runs the host until it is told to stop.

    Args:
        settings: The settings at the start, or what is wrong with them.
        make_platform: Returns the adapter.

    Returns:
        The exit status of the process.
    """
    handler = bounded_output.BoundedHandler(sys.stdout.fileno())
    event_log.configure_handler("info", handler)
    if isinstance(settings, failures.Failure):
        event_log.log_failure(_LOG, "settings_invalid", settings)
        handler.write_waiting()
        return EXIT_SETTINGS
    anyio.run(_main, settings, make_platform, handler)
    return EXIT_OK


async def _main(
    settings: platform_interface.HostSettings,
    make_platform: MakePlatform,
    handler: bounded_output.BoundedHandler,
) -> None:
    """Starts all tasks and waits for the request to stop."""
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
    )
    batches, received_batches = anyio.create_memory_object_stream[
        messages.BatchReceived | messages.RemovedItemsReceived
    ](math.inf)
    changes, received_changes = anyio.create_memory_object_stream[
        messages.NewChanges | messages.PeerReports
    ](math.inf)
    to_peers, inbox = anyio.create_memory_object_stream[
        messages.HostListChanged
        | messages.ScopeUpdated
        | messages.LocalUpstreamReports
    ](math.inf)
    contact = peer_data.Contact(
        settings.host_name, settings.data_centre, *settings.peer_address
    )
    packets = packet_task.PacketTask(
        platform, state, clock, received_changes, to_peers
    )
    merged = replica_task.ReplicaTask(
        platform.items,
        state=state,
        clock=clock,
        batches=received_batches,
        changes=changes,
        peers=to_peers,
    )
    peers = peer_task.PeerTask(
        contact, state, clock, inbox=inbox, batches=batches, seen=changes
    )
    announced = announcer.Announcer(contact, platform, state)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(handler.run)
        tasks.start_soon(packets.run)
        tasks.start_soon(merged.run)
        tasks.start_soon(peers.run)
        tasks.start_soon(announced.run)
        for scope in replication_data.Scope:
            task = store_follower.StoreFollower(
                scope, platform, state, clock, batches
            )
            tasks.start_soon(task.run)
        tasks.start_soon(readiness.ReadinessServer(state).run)
        tasks.start_soon(metrics_task.MetricsTask(state, clock).run)
        tasks.start_soon(_follow_settings, platform, state)
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as signals:
            await _wait_for_stop(signals, platform, state)
            # Signals that follow change nothing: the host leaves as soon as
            # the fabric lets it.
            await _leave(state, clock)
        event_log.log(_LOG, logging.INFO, "stopped", **state.counts)
        tasks.cancel_scope.cancel()


async def _wait_for_stop(
    signals: AsyncIterator[signal.Signals],
    platform: platform_interface.Platform,
    state: host_state.HostState,
) -> None:
    """Returns when the process is told to stop; reloads when told so."""
    async for number in signals:
        if number is signal.SIGHUP:
            _reload(platform, state, "signal")
            continue
        event_log.log(_LOG, logging.INFO, "stopping", signal=int(number))
        return


async def _leave(state: host_state.HostState, clock: clock_lib.Clock) -> None:
    """Carries packets until the fabric has left this host."""
    way_out = graceful_shutdown.GracefulShutdown(
        clock.now_ms(), state.settings.limits.shutdown_ms
    )
    while True:
        now_ms = clock.now_ms()
        stage = way_out.step(
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
                waited_ms=now_ms - way_out.requested_ms,
                is_near_host_away=state.is_near_host_away,
            )
        await pauses.sleep_ms(POLL_MS)


async def _follow_settings(
    platform: platform_interface.Platform, state: host_state.HostState
) -> None:
    """Reloads settings that changed without a signal."""
    while True:
        await pauses.sleep_ms(SETTINGS_POLL_MS)
        _reload(platform, state, "poll")


def _reload(
    platform: platform_interface.Platform,
    state: host_state.HostState,
    cause: str,
) -> None:
    """Takes the settings again; wrong ones leave the former in force."""
    settings = platform.read_settings()
    if isinstance(settings, failures.Failure):
        event_log.log_failure(_LOG, "settings_invalid", settings, cause=cause)
        return
    if settings == state.settings:
        return
    state.settings = settings
    event_log.log(_LOG, logging.INFO, "settings_reloaded", cause=cause)
