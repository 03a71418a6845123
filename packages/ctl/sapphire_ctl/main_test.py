"""What holds for all commands."""

import pathlib
import re
from typing import Any

import testtools
from typer import testing
import typer.main

from sapphire_ctl import exit_statuses
from sapphire_ctl import main

_STATUS_PAGE = (
    pathlib.Path(__file__).parents[3] / "docs/operations/exit-statuses.md"
)


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

    def test_shell_completion_is_offered(self) -> None:
        outcome = testing.CliRunner().invoke(
            main.app,
            [],
            prog_name="sapphirectl",
            env={
                "_SAPPHIRECTL_COMPLETE": "complete_bash",
                "COMP_WORDS": "sapphirectl data-centre ",
                "COMP_CWORD": "2",
            },
        )
        self.assertEqual(["out", "in"], outcome.stdout.split())
