"""The log lines and messages of the runbook, compared with the sources; its structure; links to sections."""

from __future__ import annotations

import ast
import re

import pytest

from tests.support.log_lines import documented_lines, documented_messages, logged_lines, template
from tests.support.pages import DOCS, PAGES, RUNBOOK
from tests.support.sources import SOURCES, source_of_path, strings

ITEM_TITLES = [
    "Seen",
    "Log",
    "File and state",
    "Settings and constants",
    "Not to be confused with",
    "What to do",
]
ALARM_COUNT = 15


def test_runbook_has_each_log_line_and_no_other() -> None:
    documented = documented_lines()
    assert len(documented) == len(set(documented)) > 10
    assert set(documented) == set(logged_lines())


def test_decisions_log_one_kind_of_message() -> None:
    """`failed_watch_message` covers it; a second kind must be added there and to the runbook."""
    calls = [
        node
        for source in SOURCES.values()
        for node in ast.walk(source.tree)
        if isinstance(node, ast.Call) and ast.unparse(node.func) == "LogMessage"
    ]
    assert len(calls) == 1


def test_loggers_have_the_names_of_their_modules() -> None:
    for line in documented_lines():
        assert SOURCES[line.logger].module.log.name == line.logger


@pytest.mark.parametrize(("message", "path"), documented_messages())
def test_messages_are_those_of_their_modules(message: str, path: str) -> None:
    assert template(message) in {template(text) for text in strings(source_of_path(path))}


def test_each_alarm_has_all_parts() -> None:
    _, *sections = re.split(r"^## ", RUNBOOK.partition("\n## What can be seen\n")[2], flags=re.MULTILINE)
    assert len(sections) == ALARM_COUNT
    for section in sections:
        titles = [
            title for title in re.findall(r"^- \*\*(.+?)\*\*:", section, re.MULTILINE) if title in ITEM_TITLES
        ]
        assert titles == ITEM_TITLES, section.splitlines()[0]


@pytest.mark.parametrize("page", PAGES)
def test_links_to_sections_lead_to_headings(page: str) -> None:
    for name, anchor in re.findall(r"\]\(([\w./]*)#([\w-]+)\)", PAGES[page]):
        headings = re.findall(r"^#+ (.+)$", (DOCS / (name or page)).read_text(), re.MULTILINE)
        anchors = {re.sub(r"[^\w\- ]", "", heading.lower()).replace(" ", "-") for heading in headings}
        assert anchor in anchors
