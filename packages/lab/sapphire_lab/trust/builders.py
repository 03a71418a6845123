"""Builders of keys for tests of sealed datagrams."""

from collections.abc import Mapping
import json
import pathlib

from sapphire_net.trust import keys

# Names of two recipients of datagrams; see `sealing.recipient_name`.
OWN_NAME = "10.0.0.1|7000"
OTHER_NAME = "10.0.0.2|7000"
WALL_CLOCK_MS = 1_800_000_000_000


def secret(key_id: int) -> bytes:
    """Returns the secret of a key; each key has a different one."""
    return bytes([key_id]) * keys.MIN_SECRET_BYTES


def key_ring(*key_ids: int, signing_id: int | None = None) -> keys.KeyRing:
    """Builds a key ring.

    Args:
        *key_ids: The IDs of the keys.
        signing_id: The ID of the signing key; None for the last one.

    Returns:
        The key ring.
    """
    return keys.KeyRing(
        signing_id=key_ids[-1] if signing_id is None else signing_id,
        secrets_by_id={key_id: secret(key_id) for key_id in key_ids},
    )


def write_key_file(
    path: pathlib.Path, secrets_by_id: Mapping[int, bytes], signing_id: int
) -> None:
    """Writes a key file in the format that the daemon reads.

    Args:
        path: The path of the file.
        secrets_by_id: The secret of each key.
        signing_id: The ID of the signing key.
    """
    content = {
        "signing_key": signing_id,
        "keys": [
            {"id": key_id, "secret_hex": value.hex()}
            for key_id, value in secrets_by_id.items()
        ],
    }
    path.write_text("// Keys of the trial.\n" + json.dumps(content))
