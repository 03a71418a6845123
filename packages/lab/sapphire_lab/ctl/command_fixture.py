"""A fixture for tests of commands: a fake store, fake hosts and settings."""

from collections.abc import Iterator
import contextlib
import json
import pathlib
import tempfile
from typing import Any

from anyio import from_thread
import typer
from typer import testing

from sapphire_ctl import main
from sapphire_data import clock
from sapphire_lab.config import builders
from sapphire_lab.stand_ins import host_api
from sapphire_lab.stand_ins import store
from sapphire_lab.stand_ins import store_faults
from sapphire_net.store import data
from sapphire_net.store import environment as environments
from sapphire_wire import codec
from sapphire_wire.gen.configuration import ttypes

TRIAL_PREFIX = "/sapphirearch/trial/"
PRODUCTION_PREFIX = "/sapphirearch/production/"


class CommandFixture:
    """Runs commands against a fake store and fake hosts on loopback.

    Attributes:
        directory: Holds the settings and the input files.
        store: The fake store of both environments.
        trial_host: The only host of the environment `trial`.
        production_host: The only host of the environment `production`.
    """

    def __init__(
        self,
        directory: pathlib.Path,
        fake_store: store.FakeStoreServer,
        portal: from_thread.BlockingPortal,
    ) -> None:
        self.directory = directory
        self.store = fake_store
        self.trial_host = host_api.FakeHost("t1", fake_store, TRIAL_PREFIX)
        self.production_host = host_api.FakeHost(
            "p1", fake_store, PRODUCTION_PREFIX
        )
        self._portal = portal

    def write_file(self, name: str, content: bytes) -> str:
        """Writes an input file and returns its path."""
        path = self.directory / name
        path.write_bytes(content)
        return str(path)

    def write_document(self, **changes: Any) -> str:
        """Writes a document; see `builders.document_bytes`."""
        return self.write_file("site.json5", builders.document_bytes(**changes))

    def write_bindings(self, **changes: Any) -> str:
        """Writes bindings; see `builders.bindings_bytes`."""
        return self.write_file("bind.json5", builders.bindings_bytes(**changes))

    def set_faults(self, **faults: Any) -> None:
        """Replaces the faults of the store.

        Args:
            **faults: The fields of `store_faults.Faults`; the others are off.
        """
        self._portal.call(self.store.set_faults, store_faults.Faults(**faults))

    def lose_head_answer(self, prefix: str, *, then_down: bool) -> None:
        """Applies the next write of a head, but loses the answer to it.

        Args:
            prefix: The prefix of the environment.
            then_down: Whether the store is unreachable afterwards.
        """
        apply = self.store.state.apply
        head_key = f"{prefix}head"

        def apply_and_lose(writes: list[data.Put | data.Delete]) -> None:
            apply(writes)
            if any(write.key == head_key for write in writes):
                self.store.state.apply = apply  # type: ignore[method-assign]
                self.store.faults = store_faults.Faults(
                    lost_answers=1, is_down=then_down
                )

        self.store.state.apply = apply_and_lose  # type: ignore[method-assign]

    def republish_head(self, prefix: str, *, age_ms: int) -> None:
        """Writes the configuration of the head again as the next revision.

        Args:
            prefix: The prefix of the environment.
            age_ms: By how much the earlier revision is backdated.
        """
        keys = environments.Environment(
            None,  # type: ignore[arg-type]
            prefix,
        )
        item = self.store.state.items_by_key[keys.head_key]
        record = codec.decode(ttypes.Head, item.value).ok
        record.written_ms -= age_ms
        earlier = codec.encode(record)
        record.written_ms += age_ms
        record.revision += 1
        newest = codec.encode(record)
        writes: list[data.Put | data.Delete] = [
            data.Put(keys.history_key(record.revision - 1), earlier),
            data.Put(keys.history_key(record.revision), newest),
            data.Put(keys.head_key, newest),
        ]
        self._portal.call(self.store.state.apply, writes)

    def run(
        self, *arguments: str, standard_input: bytes | None = None
    ) -> testing.Result:
        """Runs a command and captures its output.

        Args:
            *arguments: The arguments of the command.
            standard_input: What the command reads from standard input.

        Returns:
            The exit status and the outputs.
        """
        return testing.CliRunner().invoke(
            main.app,
            list(arguments),
            input=standard_input,
            env={
                "SAPPHIRECTL_SETTINGS": str(self.directory / "settings.json5")
            },
        )

    def run_without_capture(self, *arguments: str) -> int:
        """Runs a command without capturing its output.

        Several commands can run at a time this way. `run` cannot do that, since
        it captures the streams of the whole process.

        Args:
            *arguments: The arguments of the command.

        Returns:
            The exit status.
        """
        path = str(self.directory / "settings.json5")
        status = typer.main.get_command(main.app).main(
            [*arguments, "--settings", path, "--json"], standalone_mode=False
        )
        return int(status)

    def run_json(self, *arguments: str) -> Any:
        """Runs a command with `--json` and returns the printed object."""
        return json.loads(self.run(*arguments, "--json").stdout)

    def write_settings(self, store_url: str, hosts: dict[str, str]) -> None:
        """Writes the settings file with both environments.

        Args:
            store_url: The base URL of the store.
            hosts: The API address of the host of each environment.
        """
        environments: dict[str, dict[str, Any]] = {
            "trial": {"prefix": TRIAL_PREFIX},
            "production": {
                "prefix": PRODUCTION_PREFIX,
                "promotes_from": "trial",
                "min_proof_ms": 0,
                "min_proof_events": 10,
            },
        }
        for name, environment in environments.items():
            environment["store"] = {
                "endpoints": [store_url],
                "timeout_ms": 500,
            }
            environment["hosts"] = [hosts[name]]
        content = {
            "author": "ann",
            "default_environment": "trial",
            "environments": environments,
        }
        text = "// Both environments.\n" + json.dumps(content)
        self.write_file("settings.json5", text.encode())


@contextlib.contextmanager
def open_fixture() -> Iterator[CommandFixture]:
    """Runs the servers in a thread of their own until the context ends.

    Yields:
        The fixture.
    """
    with (
        tempfile.TemporaryDirectory() as directory,
        from_thread.start_blocking_portal() as portal,
        contextlib.ExitStack() as stack,
    ):
        fake_store = store.FakeStoreServer(clock.MonotonicClock())
        fixture = CommandFixture(pathlib.Path(directory), fake_store, portal)
        store_url = stack.enter_context(
            portal.wrap_async_context_manager(store.run_server(fake_store))
        )
        addresses = {}
        for name, host in (
            ("trial", fixture.trial_host),
            ("production", fixture.production_host),
        ):
            addresses[name] = stack.enter_context(
                portal.wrap_async_context_manager(host_api.run_server(host))
            )
        fixture.write_settings(store_url, addresses)
        yield fixture
