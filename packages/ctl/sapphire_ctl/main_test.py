"""What holds for all commands."""

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
    """Returns the words of each command."""
    found = []
    group: Any = typer.main.get_command(main.app)
    for name, command in group.commands.items():
        inner = getattr(command, "commands", None)
        if inner is None:
            found.append([name])
            continue
        found += [[name, inner_name] for inner_name in inner]
    return found


class CommandsTest(testtools.TestCase):
    def test_all_commands_of_the_letter_are_there(self) -> None:
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

    def test_each_command_has_examples_and_json(self) -> None:
        for words in _commands():
            outcome = testing.CliRunner().invoke(main.app, [*words, "--help"])
            self.assertEqual(0, outcome.exit_code)
            self.assertIn("Examples", outcome.stdout)
            self.assertIn(f"sapphirectl {words[0]}", outcome.stdout)
            self.assertIn("--json", outcome.stdout)

    def test_each_exit_status_is_on_its_page(self) -> None:
        listed = re.findall(r"^\| (\d+) \|", _STATUS_PAGE.read_text(), re.M)
        self.assertEqual(
            [int(status) for status in exit_statuses.ExitStatus],
            [int(status) for status in listed],
        )

    def _complete(self, typed: str, word: int) -> list[str]:
        """Returns what a shell would offer."""
        outcome = testing.CliRunner().invoke(
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
        return list(outcome.stdout.split())

    def test_shell_completes_commands_and_environments(self) -> None:
        self.assertEqual(
            ["out", "in"], self._complete("sapphirectl data-centre ", 2)
        )
        self.assertEqual(
            ["production"], self._complete("sapphirectl status --env p", 3)
        )
