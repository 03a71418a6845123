"""Reads the settings of a host and the files that they name."""

import dataclasses
import pathlib

from sapphire_data import failures
from sapphire_net.trust import keys
from sapphire_net.trust import roles
from sapphire_net.trust import tls
from sapphire_wire import settings as settings_lib
from sapphire_wire import validation


@dataclasses.dataclass(frozen=True, slots=True)
class ApiTls:
    """The TLS contexts of the API, which are reloaded from their files.

    Attributes:
        server: Accepts connections of hosts and operators.
        client: Connects only to hosts.
    """

    server: tls.ReloadingTls
    client: tls.ReloadingTls


@dataclasses.dataclass(frozen=True, slots=True)
class LoadedSettings:
    """The settings with the files that they name.

    Attributes:
        settings: The validated settings.
        key_file: The file with the keys of control messages.
        ring: The keys of control messages.
        api_tls: The contexts of the API; None serves it in the clear.
        host_list_file: The file with the platform's list of hosts; None if the
            settings name none.
    """

    settings: settings_lib.Settings
    key_file: pathlib.Path
    ring: keys.KeyRing
    api_tls: ApiTls | None
    host_list_file: pathlib.Path | None = None


def load(
    path: pathlib.Path,
) -> tuple[LoadedSettings | None, list[failures.Failure]]:
    """Reads the settings with the key file and certificates.

    Args:
        path: The settings file; paths in it are relative to its directory.

    Returns:
        The settings, None if any file cannot be used, and all failures.
    """
    try:
        content = path.read_bytes()
    except OSError as error:
        problem = error.strerror or "unreadable"
        return None, [failures.UnreadableInput(str(path), problem)]
    parsed, errors = validation.parse(settings_lib.Settings, content, str(path))
    if parsed is None:
        return None, errors
    key_file = path.parent / parsed.trust.key_ring_file
    ring = keys.load_key_ring(key_file)
    if ring.is_error():
        errors.append(ring.error)
    api_tls = None
    if parsed.trust.tls is not None:
        api_tls, tls_errors = _create_tls(parsed.trust.tls, path.parent)
        errors.extend(tls_errors)
    if errors:
        return None, errors
    host_list_file = None
    if parsed.host_list_file is not None:
        host_list_file = path.parent / parsed.host_list_file
    loaded = LoadedSettings(parsed, key_file, ring.ok, api_tls, host_list_file)
    return loaded, []


def _create_tls(
    tls_settings: settings_lib.TlsSettings, directory: pathlib.Path
) -> tuple[ApiTls | None, list[failures.Failure]]:
    """Creates the contexts of the API's server and client."""
    files = tls.TlsFiles(
        certificate=directory / tls_settings.certificate_file,
        private_key=directory / tls_settings.key_file,
        authorities=directory / tls_settings.authority_file,
    )
    server = tls.create_reloading_tls(
        files, is_server=True, permitted_roles=roles.ANY_ROLE
    )
    if server.is_error():
        return None, [server.error]
    client = tls.create_reloading_tls(
        files,
        is_server=False,
        permitted_roles=frozenset({roles.Role.HOST}),
    )
    if client.is_error():
        return None, [client.error]
    return ApiTls(server.ok, client.ok), []
