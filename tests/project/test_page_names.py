"""Names on the runbook and the architecture page: each must refer to something that exists."""

from __future__ import annotations

import re
import tomllib
from collections.abc import Callable

import pytest

from tests.support.log_lines import PLACEHOLDER, documented_lines, documented_messages, template
from tests.support.pages import (
    ARCHITECTURE,
    CONFIGURATION,
    DOCS,
    PACKAGE,
    PAGES,
    ROOT,
    code_spans,
    configuration_row,
    normalize,
    table_rows,
)
from tests.support.sources import SOURCES, definitions, is_defined_in, strings

# Pages with the words of the configuration and of the protocols; other tests compare them with the program
WORD_PAGES = CONFIGURATION + (DOCS / "GLOSSARY.md").read_text()
COMMAND_PREFIXES = ("curl ", "ss -", "ulimit ", "python -m scale_experiments", "python -B -m cache_router")
# Names that Python or the platform defines
PLATFORM_NAMES = {
    "asyncio",
    "ConnectionRefusedError",
    "JSONDecodeError",
    "OverflowError",
    "TimeoutError",
    "Too many open files",
}
FILE_AND_NAME = re.compile(r"`([\w/]+\.py)`, `([A-Za-z][\w.]*)`(?!\.py)")


def is_path(span: str) -> bool:
    """Return whether a text is an existing path, relative to the package or to the repository."""
    return " " not in span and any((folder / span).exists() for folder in (PACKAGE, ROOT))


def is_name(span: str) -> bool:
    """Return whether a text is the name of a definition in the code, of a logger or of a module."""
    return bool(re.fullmatch(r"[A-Za-z_][\w.]*", span)) and (bool(definitions(span)) or span in SOURCES)


def is_documented_line(span: str) -> bool:
    """Return whether a text is a documented line or message, or the start of one."""
    lines = [line.text for line in documented_lines()] + [template(text) for text, _ in documented_messages()]
    if PLACEHOLDER.search(span):
        return template(span) in lines or span == "PATH: "
    return " " in span and any(line.startswith(span) for line in lines)


def is_listed_word(span: str) -> bool:
    """Return whether a text is a key of the configuration or the deploy file, or a word of the glossary."""
    deploy_keys = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text()).keys()
    return f"`{span}`" in WORD_PAGES or configuration_row(span) is not None or span in deploy_keys


def is_source_string(span: str) -> bool:
    """Return whether a text is a string of the sources or, unless it is an identifier, the start of one."""
    texts = {text for source in SOURCES.values() for text in strings(source)}
    return span in texts or (not span.isidentifier() and any(text.startswith(span) for text in texts))


CHECKS: tuple[Callable[[str], bool], ...] = (
    is_path,
    is_name,
    is_documented_line,
    is_listed_word,
    is_source_string,
)


def is_known(span: str) -> bool:
    """Return whether a code span of a page refers to something that exists."""
    if span in PLATFORM_NAMES or span.startswith(COMMAND_PREFIXES):
        return True
    return any(check(span) for check in CHECKS)


@pytest.mark.parametrize("page", PAGES)
def test_code_spans_refer_to_something_that_exists(page: str) -> None:
    spans = set(code_spans(PAGES[page]))
    assert len(spans) > 100
    assert sorted(span for span in spans if not is_known(span)) == []


@pytest.mark.parametrize(
    "span",
    [
        "RetryBudget.token",
        "retry_budget.RetryBudget",
        "NO_SUCH_CONSTANT",
        "decisions/retry_budget.py",
        "cache_router.net.discoverer",
        "rules.rampDuration",
        "discovery ADDRESS: watch failed",
        "listening at",
        "-ERR unheard of",
    ],
)
def test_unknown_code_span_is_found(span: str) -> None:
    assert not is_known(span)


@pytest.mark.parametrize("page", PAGES)
def test_names_after_a_file_are_defined_there(page: str) -> None:
    """The form on a page is: `decisions/open_requests.py`, `OpenRequests.reject_or_fail`."""
    pairs = FILE_AND_NAME.findall(normalize(PAGES[page]))
    assert page != "RUNBOOK.md" or len(pairs) >= 30
    assert [pair for pair in pairs if not is_defined_in(*pair)] == []


def test_owners_of_state_are_defined_in_their_files() -> None:
    rows = table_rows(ARCHITECTURE, "| state | owner | file | changed by | lifetime |")
    assert len(rows) >= 20
    assert [row for row in rows if not is_defined_in(row[2].strip("`"), row[1].strip("`"))] == []
