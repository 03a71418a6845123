"""A pytest plugin that passes over the tests listed in `KNOWN-RED.txt`.

A listed test runs and is expected to fail. The run fails if it passes, because
its entry must go then, and if it does not exist. `--runxfail` runs listed tests
like all others and so shows their failures.
"""

import pathlib

import pytest

LIST_NAME = "KNOWN-RED.txt"
_ENTRY_START = "test: "
_REASON = f"listed in {LIST_NAME}; if it passes, its entry must go"
# Each of these options leaves out tests before the plugin can see them.
_NARROWING_OPTIONS = ("ignore", "ignore_glob")


def read_listed_ids(text: str) -> list[str]:
    """Returns the IDs of the listed tests.

    Args:
        text: The text of `KNOWN-RED.txt`.

    Returns:
        The IDs in the order of their lines, which begin with `test: `.
    """
    listed_ids: list[str] = []
    for line in text.splitlines():
        if line.startswith(_ENTRY_START):
            listed_ids.append(line.removeprefix(_ENTRY_START).strip())
    return listed_ids


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Expects the listed tests to fail.

    Args:
        config: The configuration of the run.
        items: The collected tests, before `-k` and the like deselect some.

    Raises:
        pytest.UsageError: An ID is listed twice, or no test has it.
    """
    path = config.rootpath / LIST_NAME
    if not path.exists():
        return
    listed_ids = read_listed_ids(path.read_text("utf-8"))
    repeated_ids = [id_ for id_ in listed_ids if listed_ids.count(id_) > 1]
    if repeated_ids:
        raise pytest.UsageError(f"{LIST_NAME}: twice: {repeated_ids[0]}")
    items_by_id = {item.nodeid: item for item in items}
    for listed_id in listed_ids:
        item = items_by_id.get(listed_id)
        if item is not None:
            item.add_marker(pytest.mark.xfail(reason=_REASON, strict=True))
            continue
        if _is_collected_whole(config, listed_id.partition("::")[0]):
            raise pytest.UsageError(f"{LIST_NAME}: no such test: {listed_id}")


def _is_collected_whole(config: pytest.Config, file_name: str) -> bool:
    """Returns whether the run collects all tests of a file.

    Args:
        config: The configuration of the run.
        file_name: The path of the file from the root of the repository. A file
            that is not there counts as collected.
    """
    file_path = config.rootpath / file_name
    if not file_path.is_file():
        return True
    for option in _NARROWING_OPTIONS:
        if config.getoption(option):
            return False
    for argument in config.args:
        if "::" in argument:
            continue
        argument_path = pathlib.Path(config.invocation_params.dir, argument)
        if file_path.resolve().is_relative_to(argument_path.resolve()):
            return True
    return False


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Prints the listed tests that failed, as expected.

    Args:
        terminalreporter: Has the reports of the run.
    """
    reports = terminalreporter.getreports("xfailed")
    failed_ids = [
        report.nodeid
        for report in reports
        if _REASON in getattr(report, "wasxfail", "")
    ]
    if not failed_ids:
        return
    terminalreporter.section(f"known red, passed over: {len(failed_ids)}")
    for failed_id in failed_ids:
        terminalreporter.line(failed_id)
