"""Plugin that deselects the tests listed in KNOWN-RED.txt, which fail because of a known fault."""

from __future__ import annotations

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parents[2] / "KNOWN-RED.txt"
MAX_KNOWN_RED = 3


def read_known_red(text: str) -> list[str]:
    """Return the ids of the listed tests; each line has the form `test id: cause, issue`.

    Raises:
        pytest.UsageError: a line lacks a test id or a cause, or there are more than `MAX_KNOWN_RED` lines.
    """
    lines = [line for line in text.splitlines() if line.strip()]
    if len(lines) > MAX_KNOWN_RED:
        raise pytest.UsageError(
            f"KNOWN-RED.txt lists {len(lines)} tests; at most {MAX_KNOWN_RED} are allowed"
        )
    for line in lines:
        if "::" not in line or not line.partition(": ")[2]:
            raise pytest.UsageError(f"KNOWN-RED.txt: line without a test id or a cause: {line!r}")
    return [line.partition(": ")[0] for line in lines]


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Deselect the listed tests, except those whose file is named on the command line."""
    named = {Path(argument.partition("::")[0]).name for argument in config.invocation_params.args}
    listed = read_known_red(KNOWN_RED.read_text()) if KNOWN_RED.exists() else []
    deselected = [item for item in items if _test_id(item) in listed and item.path.name not in named]
    if deselected:
        config.hook.pytest_deselected(items=deselected)
        items[:] = [item for item in items if item not in deselected]


def _test_id(item: pytest.Item) -> str:
    """Return the id of a test without its parameters."""
    return item.nodeid.partition("[")[0]


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the list at the end of every run, so that the deselected tests stay visible."""
    if KNOWN_RED.exists() and KNOWN_RED.read_text().strip():
        terminalreporter.section("deselected tests, listed in KNOWN-RED.txt")
        terminalreporter.write_line(KNOWN_RED.read_text().rstrip())
