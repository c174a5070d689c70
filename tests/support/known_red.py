"""Tests that fail for a known fault: KNOWN-RED.txt lists them, and a run passes over just these."""

from __future__ import annotations

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parents[2] / "KNOWN-RED.txt"
MAX_KNOWN_RED = 3


def read_known_red(text: str) -> list[str]:
    """The ids of the tests that a list names: one line each, `test id: cause, issue`.

    Raises:
        pytest.UsageError: a line names no test with a cause, or there are more than three.
    """
    lines = [line for line in text.splitlines() if line.strip()]
    if len(lines) > MAX_KNOWN_RED:
        raise pytest.UsageError(f"KNOWN-RED.txt lists {len(lines)} tests, {MAX_KNOWN_RED} at most")
    for line in lines:
        if "::" not in line or not line.partition(": ")[2]:
            raise pytest.UsageError(f"KNOWN-RED.txt: no test with its cause: {line!r}")
    return [line.partition(": ")[0] for line in lines]


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Pass over the listed tests, unless the command line names the file of one."""
    named = {Path(argument.partition("::")[0]).name for argument in config.invocation_params.args}
    listed = read_known_red(KNOWN_RED.read_text()) if KNOWN_RED.exists() else []
    deselected = [item for item in items if _test_id(item) in listed and item.path.name not in named]
    if deselected:
        config.hook.pytest_deselected(items=deselected)
        items[:] = [item for item in items if item not in deselected]


def _test_id(item: pytest.Item) -> str:
    """The id of a test without the parameters of its case."""
    return item.nodeid.partition("[")[0]


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the list, so that no run hides it."""
    if KNOWN_RED.exists() and KNOWN_RED.read_text().strip():
        terminalreporter.section("passed over, KNOWN-RED.txt")
        terminalreporter.write_line(KNOWN_RED.read_text().rstrip())
