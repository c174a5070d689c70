"""A bound on the log: each statement that logs may write only so many lines in a time."""

from __future__ import annotations

import logging
import time
from dataclasses import dataclass

MAX_LINES = 100  # lines of one statement in an interval
INTERVAL = 10.0  # seconds


@dataclass(slots=True)
class StatementLines:
    """The lines of one statement in the present interval."""

    interval_start: float  # seconds of the monotonic clock
    written: int = 0
    omitted: int = 0


class LogLimit(logging.Filter):
    """Omits lines beyond the limit; the next line of their statement tells how many there were.

    Attributes:
        omitted_lines: Number of lines omitted since the start.
    """

    def __init__(self) -> None:
        """Create a filter that has seen no line."""
        super().__init__()
        self.omitted_lines = 0
        self._lines: dict[tuple[str, int], StatementLines] = {}  # by file and line number of the statement

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether a line is written; mention the lines that were omitted before it."""
        now = time.monotonic()
        lines = self._lines.setdefault((record.pathname, record.lineno), StatementLines(now))
        if now - lines.interval_start >= INTERVAL:
            if lines.omitted:
                record.msg = f"{record.getMessage()} ({lines.omitted} such lines omitted)"
                record.args = ()
            lines.interval_start, lines.written, lines.omitted = now, 0, 0
        if lines.written < MAX_LINES:
            lines.written += 1
            return True
        lines.omitted += 1
        self.omitted_lines += 1
        return False
