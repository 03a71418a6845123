"""The invocation of a command, and its clients of the store and the hosts."""

from collections.abc import AsyncIterator
import contextlib
import dataclasses
import getpass
import pathlib
import ssl

import expression

from sapphire_ctl import output
from sapphire_ctl import settings
from sapphire_ctl.fleet import client as fleet_client
from sapphire_data import failures
from sapphire_net.store import client as store_client
from sapphire_net.store import environment as environments
from sapphire_net.store import failures as store_failures
from sapphire_net.trust import failures as trust_failures
from sapphire_net.trust import roles
from sapphire_net.trust import tls

_HOST_ROLE = frozenset({roles.Role.HOST})


@dataclasses.dataclass(frozen=True, slots=True)
class Invocation:
    """The command that runs, with its settings, environment and output.

    Attributes:
        command: The name of the command.
        all_settings: The settings.
        directory: The directory to which paths in the settings are relative.
        environment: The name of the environment.
        output: The output to write the outcome to.
    """

    command: str
    all_settings: settings.SettingsModel
    directory: pathlib.Path
    environment: str
    output: output.Output

    @property
    def environment_settings(self) -> settings.EnvironmentModel:
        """The settings of the environment."""
        return self.all_settings.environments[self.environment]

    @property
    def author(self) -> str:
        """The operator's name for the history."""
        return self.all_settings.author or getpass.getuser()


def open_fleet(
    invocation: Invocation, environment: str
) -> expression.Result[fleet_client.FleetClient, failures.Failure]:
    """Creates the client of the hosts of an environment.

    Args:
        invocation: The command's invocation.
        environment: The name of the environment.

    Returns:
        The client, or the failure of a TLS file.
    """
    environment_settings = invocation.all_settings.environments[environment]
    context: ssl.SSLContext | None = None
    if environment_settings.tls is not None:
        created = tls.create_context(
            environment_settings.tls.files(invocation.directory),
            is_server=False,
            permitted_roles=_HOST_ROLE,
            checks_address=environment_settings.tls.checks_address,
        )
        if created.is_error():
            return expression.Error(created.error)
        context = created.ok
    return expression.Ok(
        fleet_client.FleetClient(
            environment_settings.hosts,
            environment_settings.host_timeout_ms,
            context,
        )
    )


@contextlib.asynccontextmanager
async def open_store(
    invocation: Invocation, environment: str
) -> AsyncIterator[
    expression.Result[environments.Environment, failures.Failure]
]:
    """Opens the store of an environment at the first endpoint that answers.

    The last endpoint is used without a probe if none before it answers.

    Args:
        invocation: The command's invocation.
        environment: The name of the environment.

    Yields:
        The environment in the store, or why the store cannot be opened.
    """
    environment_settings = invocation.all_settings.environments[environment]
    context = _create_store_tls_context(
        environment_settings.store, invocation.directory
    )
    if context.is_error():
        yield expression.Error(context.error)
        return
    failure: store_failures.StoreFailure | None = None
    for endpoint in environment_settings.store.endpoints:
        async with store_client.open_http_client(
            endpoint, environment_settings.store.timeout_ms, context.ok
        ) as http:
            opened = environments.Environment(
                store_client.EtcdStore(http), environment_settings.prefix
            )
            if endpoint != environment_settings.store.endpoints[-1]:
                probe = await opened.store.get(opened.head_key)
                if probe.is_error():
                    failure = probe.error
                    continue
            yield expression.Ok(opened)
            return
    yield expression.Error(
        failure or store_failures.StoreUnavailable("no endpoint")
    )


def _create_store_tls_context(
    store_settings: settings.StoreModel, directory: pathlib.Path
) -> expression.Result[ssl.SSLContext | None, failures.Failure]:
    """Creates the TLS context for the store; None for the default context."""
    if all(
        endpoint.startswith("http://") for endpoint in store_settings.endpoints
    ):
        # Without TLS the default context is not needed. It would read
        # certificates, which takes longer than a call; this context trusts
        # none.
        return expression.Ok(ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT))
    if (
        store_settings.authorities is None
        and store_settings.certificate is None
    ):
        return expression.Ok(None)
    context = ssl.create_default_context()
    path = directory
    try:
        if store_settings.authorities is not None:
            path = directory / store_settings.authorities
            context.load_verify_locations(path)
        if store_settings.certificate is not None:
            path = directory / store_settings.certificate
            key = None
            if store_settings.private_key is not None:
                key = directory / store_settings.private_key
            context.load_cert_chain(path, key)
    except (OSError, ValueError) as error:
        return expression.Error(
            trust_failures.TlsFileFailure(str(path), str(error))
        )
    return expression.Ok(context)
