"""The task that replaces keys and certificates when their files change."""

import logging

import anyio

from sapphire_data import failures
from sapphire_net import event_log
from sapphire_net.trust import keys
from sapphire_net.trust import rotation
from sapphire_net.trust import tls
from sapphire_node import control
from sapphire_node import settings_loader

_LOGGER = logging.getLogger(__name__)

MAX_QUEUED_EVENTS = 16


async def run(
    loaded: settings_loader.LoadedSettings, control_plane: control.ControlPlane
) -> None:
    """Reads the key file and the certificates at intervals until cancelled.

    Args:
        loaded: The settings with the files that they name.
        control_plane: Seals and opens control messages with the keys.
    """
    contexts: tuple[tls.ReloadingTls, ...] = ()
    if loaded.api_tls is not None:
        contexts = (loaded.api_tls.server, loaded.api_tls.client)
    send, receive = anyio.create_memory_object_stream[rotation.RotationEvent](
        MAX_QUEUED_EVENTS
    )
    async with send, receive, anyio.create_task_group() as tasks:
        tasks.start_soon(
            rotation.watch_files,
            keys.KeyFileWatcher(loaded.key_file),
            contexts,
            send,
            loaded.settings.trust.reread_ms,
        )
        async for event in receive:
            _apply_event(event, control_plane)


def _apply_event(
    event: rotation.RotationEvent, control_plane: control.ControlPlane
) -> None:
    """Puts new keys into use, and logs the event."""
    if isinstance(event, failures.Failure):
        event_log.log_failure(_LOGGER, "rotation_failed", event)
        return
    if isinstance(event, rotation.KeysReplaced):
        control_plane.replace_ring(event.ring)
        event_log.log(
            _LOGGER,
            logging.INFO,
            "keys_in_use",
            signing_key=event.ring.signing_id,
            keys=len(event.ring.secrets_by_id),
        )
        return
    event_log.log(_LOGGER, logging.INFO, "certificate_in_use", path=event.path)
