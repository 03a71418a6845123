"""Tests of all commands: help, exit statuses and shell completion."""

import pathlib
import re
from typing import Any

import testtools
from typer import testing
import typer.main

from sapphire_ctl import exit_statuses
from sapphire_ctl import main

_PAGES = pathlib.Path(__file__).parents[3] / "docs/operations"
_STATUS_PAGE = _PAGES / "exit-statuses.md"
_EXAMPLE = _PAGES / "sapphirectl-example.json5"


def _commands() -> list[list[str]]:
    """Returns each command as its words, such as `data-centre`, `out`."""
    found = []
    group: Any = typer.main.get_command(main.app)
    for name, command in group.commands.items():
        subcommands = getattr(command, "commands", None)
        if subcommands is None:
            found.append([name])
            continue
        found += [[name, subcommand] for subcommand in subcommands]
    return found


class CommandsTest(testtools.TestCase):
    def test_all_commands_exist(self) -> None:
        self.assertEqual(
            {
                "apply",
                "check",
                "data-centre in",
                "data-centre out",
                "explain",
                "history",
                "plan",
                "promote",
                "report",
                "rollback",
                "status",
                "upstream drain",
                "upstream undrain",
            },
            {" ".join(words) for words in _commands()},
        )

    def test_help_of_each_command_has_examples_and_json(self) -> None:
        for words in _commands():
            result = testing.CliRunner().invoke(main.app, [*words, "--help"])
            self.assertEqual(0, result.exit_code)
            self.assertIn("Examples", result.stdout)
            self.assertIn(f"sapphirectl {words[0]}", result.stdout)
            self.assertIn("--json", result.stdout)

    def test_each_exit_status_is_documented(self) -> None:
        listed = re.findall(r"^\| (\d+) \|", _STATUS_PAGE.read_text(), re.M)
        self.assertEqual(
            [int(status) for status in exit_statuses.ExitStatus],
            [int(status) for status in listed],
        )

    def _complete(self, typed: str, word: int) -> list[str]:
        """Returns the completions that a shell would offer for a word."""
        result = testing.CliRunner().invoke(
            main.app,
            [],
            prog_name="sapphirectl",
            env={
                "_SAPPHIRECTL_COMPLETE": "complete_bash",
                "COMP_WORDS": typed,
                "COMP_CWORD": str(word),
                "SAPPHIRECTL_SETTINGS": str(_EXAMPLE),
            },
        )
        return list(result.stdout.split())

    def test_shell_completes_commands_and_environments(self) -> None:
        self.assertEqual(
            ["out", "in"], self._complete("sapphirectl data-centre ", 2)
        )
        self.assertEqual(
            ["production"], self._complete("sapphirectl status --env p", 3)
        )
