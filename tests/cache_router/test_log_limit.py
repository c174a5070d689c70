"""The bound on the lines of the log."""

from __future__ import annotations

import logging

import pytest

from cache_router import log_limit
from cache_router.log_limit import MAX_LINES, LogLimit


def record(line: int, message: str = "a fault of %s", *arguments: object) -> logging.LogRecord:
    """Return a line of the log that a statement at a line of this file writes."""
    return logging.LogRecord("test", logging.WARNING, __file__, line, message, arguments or ("x",), None)


def test_one_statement_cannot_flood_the_log() -> None:
    """Guards against as many lines of the log as a client causes (issue 37)."""
    limit = LogLimit()
    assert sum(limit.filter(record(1)) for _ in range(1000)) == MAX_LINES
    assert limit.filter(record(2))
    assert limit.omitted_lines == 1000 - MAX_LINES


def test_next_line_tells_how_many_were_omitted(monkeypatch: pytest.MonkeyPatch) -> None:
    limit = LogLimit()
    for _ in range(MAX_LINES + 7):
        limit.filter(record(1))
    monkeypatch.setattr(log_limit, "INTERVAL", 0.0)
    following = record(1, "a fault of %s", "a%b")
    assert limit.filter(following)
    assert following.getMessage() == "a fault of a%b (7 such lines omitted)"
    following = record(1)
    assert limit.filter(following)
    assert following.getMessage() == "a fault of x"
