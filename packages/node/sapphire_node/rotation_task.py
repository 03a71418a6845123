"""The task that puts new keys and certificates into use."""

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

EVENTS = 16


async def run(
    loaded: settings_loader.LoadedSettings, messages: control.ControlPlane
) -> None:
    """Follows the files of a host until cancelled.

    Args:
        loaded: Names the files.
        messages: Seals and opens control messages with the keys.
    """
    contexts: tuple[tls.ReloadingTls, ...] = ()
    if loaded.api_tls is not None:
        contexts = (loaded.api_tls.server, loaded.api_tls.client)
    send, receive = anyio.create_memory_object_stream[rotation.RotationEvent](
        EVENTS
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
            _take(event, messages)


def _take(
    event: rotation.RotationEvent, messages: control.ControlPlane
) -> None:
    """Puts what is new into use and logs it."""
    if isinstance(event, failures.Failure):
        event_log.log_failure(_LOGGER, "rotation_failed", event)
        return
    if isinstance(event, rotation.KeysReplaced):
        messages.replace_ring(event.ring)
        event_log.log(
            _LOGGER,
            logging.INFO,
            "keys_in_use",
            signing_key=event.ring.signing_id,
            keys=len(event.ring.secrets_by_id),
        )
        return
    event_log.log(_LOGGER, logging.INFO, "certificate_in_use", path=event.path)
