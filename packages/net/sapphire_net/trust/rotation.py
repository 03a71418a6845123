"""The task that reads keys and certificates again while a process runs."""

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
    """The key file holds other keys.

    Attributes:
        ring: The keys to seal and open with from now on.
    """

    ring: keys.KeyRing


@dataclasses.dataclass(frozen=True, slots=True)
class CertificatesReplaced:
    """The files of a context have changed, and it uses the new ones.

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
    """Reads the files again until it is cancelled.

    The first read sends the keys as `KeysReplaced` as well. A file that cannot
    be used is sent as a failure, once for each content of it, and what was in
    use stays in use.

    Args:
        key_file: The key file.
        contexts: The TLS contexts.
        events: Takes what has changed.
        interval_ms: The time between two reads.
    """
    known_contexts = tuple(contexts)
    last_key_failure: failures.KeyFileFailure | None = None
    while True:
        polled = key_file.poll()
        if polled.is_error():
            # A file that is missing has no content to be reported once for.
            if polled.error != last_key_failure:
                await events.send(polled.error)
            last_key_failure = polled.error
        elif polled.ok is not None:
            last_key_failure = None
            await events.send(KeysReplaced(polled.ok))
        for context in known_contexts:
            await _poll_context(context, events)
        await pauses.sleep_ms(interval_ms)


async def _poll_context(
    context: tls.ReloadingTls,
    events: memory.MemoryObjectSendStream[RotationEvent],
) -> None:
    """Renews one context if its files have changed."""
    renewed = context.poll()
    if renewed.is_error():
        await events.send(renewed.error)
    elif renewed.ok:
        await events.send(CertificatesReplaced(str(context.files.certificate)))
