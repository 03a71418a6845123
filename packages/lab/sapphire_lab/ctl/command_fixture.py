"""A stand-in store, fake hosts and settings for runs of the command line."""

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
    """Runs commands against servers on loopback.

    Attributes:
        directory: Holds the settings and the inputs.
        stand_in: The store.
        trial_host: The only host of the environment `trial`.
        production_host: The only host of the environment `production`.
    """

    def __init__(
        self,
        directory: pathlib.Path,
        stand_in: store.FakeStoreServer,
        portal: from_thread.BlockingPortal,
    ) -> None:
        self.directory = directory
        self.store = stand_in
        self.trial_host = host_api.FakeHost("t1", stand_in, TRIAL_PREFIX)
        self.production_host = host_api.FakeHost(
            "p1", stand_in, PRODUCTION_PREFIX
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
        """Switches faults of the store."""
        self._portal.call(self.store.set_faults, store_faults.Faults(**faults))

    def lose_head_answer(self, prefix: str, *, then_down: bool) -> None:
        """Loses the answer of the next write of a head, after its effect.

        Args:
            prefix: The prefix of the environment.
            then_down: Whether the store is down from then on.
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
        """Writes the head again as the next revision, as a host would.

        Args:
            prefix: The prefix of the environment.
            age_ms: How old the earlier revision becomes.
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
        self, *arguments: str, typed: bytes | None = None
    ) -> testing.Result:
        """Runs a command with the settings of the bench.

        Args:
            *arguments: The arguments of the command.
            typed: The standard input.

        Returns:
            The exit status and the outputs.
        """
        return testing.CliRunner().invoke(
            main.app,
            list(arguments),
            input=typed,
            env={
                "SAPPHIRECTL_SETTINGS": str(self.directory / "settings.json5")
            },
        )

    def run_without_capture(self, *arguments: str) -> int:
        """Runs a command outside the runner, so that several run at a time.

        The runner captures the streams of the whole process.

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
        """Runs a command with `--json` and returns its object."""
        return json.loads(self.run(*arguments, "--json").stdout)

    def write_settings(self, store_url: str, hosts: dict[str, str]) -> None:
        """Writes the settings of both environments.

        Args:
            store_url: The base URL of the store.
            hosts: The API address of a host, by environment.
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
    """Starts the servers in a thread of their own.

    Yields:
        The bench.
    """
    with (
        tempfile.TemporaryDirectory() as directory,
        from_thread.start_blocking_portal() as portal,
        contextlib.ExitStack() as stack,
    ):
        stand_in = store.FakeStoreServer(clock.MonotonicClock())
        bench = CommandFixture(pathlib.Path(directory), stand_in, portal)
        store_url = stack.enter_context(
            portal.wrap_async_context_manager(store.run_server(stand_in))
        )
        addresses = {}
        for name, host in (
            ("trial", bench.trial_host),
            ("production", bench.production_host),
        ):
            addresses[name] = stack.enter_context(
                portal.wrap_async_context_manager(host_api.run_server(host))
            )
        bench.write_settings(store_url, addresses)
        yield bench
