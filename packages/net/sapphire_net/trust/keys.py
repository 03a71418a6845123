"""The key ring for authenticating control datagrams, read from a file.

The file is JSON with comments::

    {
      "signing_key": 2,  // Seals the datagrams that this host sends.
      "keys": [
        {"id": 1, "secret_hex": "..."},
        {"id": 2, "secret_hex": "..."},
      ],
    }

All keys verify received datagrams, and one signs. A key is replaced without a
restart: the new key is added to the file of each host, then made the signing
key on each host, then the old key is removed.
"""

from collections.abc import Mapping
import dataclasses
import pathlib
from typing import Annotated

import expression
import pydantic

from sapphire_net.trust import failures
from sapphire_wire import validation

MIN_SECRET_BYTES = 32
MAX_SECRET_BYTES = 1_024
MAX_KEYS = 16
MAX_FILE_BYTES = 65_536
_MAX_KEY_ID = 2**31 - 1

_KeyId = Annotated[int, pydantic.Field(ge=1, le=_MAX_KEY_ID)]


@dataclasses.dataclass(frozen=True, slots=True)
class KeyRing:
    """The secrets that the hosts of one environment share.

    Attributes:
        signing_id: The id of the key that seals datagrams.
        secrets_by_id: The secrets that verify datagrams, by the id of the key.
    """

    signing_id: int
    secrets_by_id: Mapping[int, bytes] = dataclasses.field(repr=False)


class _KeyModel(pydantic.BaseModel):
    """One key in the key file."""

    model_config = pydantic.ConfigDict(
        extra="forbid", hide_input_in_errors=True
    )

    id: _KeyId
    secret_hex: str = pydantic.Field(
        min_length=2 * MIN_SECRET_BYTES,
        max_length=2 * MAX_SECRET_BYTES,
        pattern=r"^([0-9a-fA-F]{2})+$",
    )


class _KeyFileModel(pydantic.BaseModel):
    """The whole key file."""

    model_config = pydantic.ConfigDict(
        extra="forbid", hide_input_in_errors=True
    )

    signing_key: _KeyId
    keys: list[_KeyModel] = pydantic.Field(min_length=1, max_length=MAX_KEYS)


def load_key_ring(
    path: pathlib.Path,
) -> expression.Result[KeyRing, failures.KeyFileFailure]:
    """Reads and validates a key file.

    Args:
        path: The path of the file.

    Returns:
        The key ring, or why the file cannot be used.
    """
    try:
        data = path.read_bytes()
    except OSError as error:
        return _unusable(path, error.strerror or "unreadable")
    return _parse(path, data)


def _parse(
    path: pathlib.Path, data: bytes
) -> expression.Result[KeyRing, failures.KeyFileFailure]:
    """Decodes and validates the content of a key file."""
    if len(data) > MAX_FILE_BYTES:
        return _unusable(path, f"longer than {MAX_FILE_BYTES} bytes")
    decoded = validation.decode_json5(data, str(path))
    if decoded.is_error():
        # The error of the decoder quotes the file, which holds secrets.
        return _unusable(path, "not JSON with comments")
    try:
        model = _KeyFileModel.model_validate(decoded.ok)
    except pydantic.ValidationError as error:
        first_error = error.errors(include_input=False, include_url=False)[0]
        location = ".".join(str(part) for part in first_error["loc"])
        return _unusable(path, f"{location}: {first_error['msg']}")
    secrets_by_id = {
        key.id: bytes.fromhex(key.secret_hex) for key in model.keys
    }
    if len(secrets_by_id) != len(model.keys):
        return _unusable(path, "two keys have the same id")
    if model.signing_key not in secrets_by_id:
        return _unusable(path, f"no key {model.signing_key} to sign with")
    return expression.Ok(
        KeyRing(signing_id=model.signing_key, secrets_by_id=secrets_by_id)
    )


def _unusable(
    path: pathlib.Path, problem: str
) -> expression.Result[KeyRing, failures.KeyFileFailure]:
    """Returns the failure for a key file that cannot be used."""
    return expression.Error(
        failures.KeyFileFailure(path=str(path), problem=problem)
    )


class KeyFileWatcher:
    """Detects changes of a key file.

    It runs no task: the daemon calls `poll` every few seconds, and passes a new
    key ring to its `Sealer` and `Opener`.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._last_data: bytes | None = None

    def poll(
        self,
    ) -> expression.Result[KeyRing | None, failures.KeyFileFailure]:
        """Reads the file and compares it with the last read.

        Returns:
            The key ring if the content differs from the last read, None if it
            does not, or why the file cannot be used. Unusable content is
            reported once; a file that cannot be read, each time. The caller
            should keep the previous key ring.
        """
        try:
            data = self._path.read_bytes()
        except OSError as error:
            return expression.Error(
                failures.KeyFileFailure(
                    path=str(self._path),
                    problem=error.strerror or "unreadable",
                )
            )
        if data == self._last_data:
            return expression.Ok(None)
        self._last_data = data
        parsed = _parse(self._path, data)
        if parsed.is_error():
            return expression.Error(parsed.error)
        return expression.Ok(parsed.ok)
