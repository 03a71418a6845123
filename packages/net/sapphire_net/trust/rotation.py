"""Reloads keys and certificates while a process runs."""

from collections.abc import Iterable
import dataclasses

from anyio.streams import memory

from sapphire_net import pauses
from sapphire_net.trust import failures
from sapphire_net.trust import keys
from sapphire_net.trust import tls

DEFAULT_INTERVAL_MS = 2_000


@dataclasses.dataclass(frozen=True, slots=True)
class KeysReplaced:
    """The key file has new content.

    Attributes:
        ring: The key ring to seal and open datagrams with from now on.
    """

    ring: keys.KeyRing


@dataclasses.dataclass(frozen=True, slots=True)
class CertificatesReplaced:
    """The certificate files of a context have changed and were reloaded.

    Attributes:
        path: The path of the certificate.
    """

    path: str


RotationEvent = (
    KeysReplaced
    | CertificatesReplaced
    | failures.KeyFileFailure
    | failures.TlsFileFailure
)


async def watch_files(
    key_file: keys.KeyFileWatcher,
    contexts: Iterable[tls.ReloadingTls],
    events: memory.MemoryObjectSendStream[RotationEvent],
    interval_ms: int = DEFAULT_INTERVAL_MS,
) -> None:
    """Reads the files at intervals until cancelled, and sends changes.

    The first read also sends the keys, as `KeysReplaced`. Unusable content of
    a file is sent as a failure once, and the keys or certificates read before
    stay in use.

    Args:
        key_file: The key file.
        contexts: The TLS contexts.
        events: Receives the changes and failures.
        interval_ms: The time between two reads.
    """
    known_contexts = tuple(contexts)
    last_key_failure: failures.KeyFileFailure | None = None
    while True:
        polled = key_file.poll()
        if polled.is_error():
            # `poll` reports a file that can't be read each time.
            if polled.error != last_key_failure:
                await events.send(polled.error)
            last_key_failure = polled.error
        elif polled.ok is not None:
            last_key_failure = None
            await events.send(KeysReplaced(polled.ok))
        for context in known_contexts:
            await _reload_context(context, events)
        await pauses.sleep_ms(interval_ms)


async def _reload_context(
    context: tls.ReloadingTls,
    events: memory.MemoryObjectSendStream[RotationEvent],
) -> None:
    """Reloads one context if its files have changed."""
    reloaded = context.poll()
    if reloaded.is_error():
        await events.send(reloaded.error)
    elif reloaded.ok:
        await events.send(CertificatesReplaced(str(context.files.certificate)))
