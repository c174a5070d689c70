"""A bound on the log: the number of lines that each logging statement may write in an interval."""

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

    def has_room(self) -> bool:
        """Count a line, and return whether it may be written."""
        if self.written < MAX_LINES:
            self.written += 1
            return True
        self.omitted += 1
        return False

    def start_interval(self, now: float) -> int:
        """Start the next interval, and return the number of lines omitted in the last one."""
        omitted = self.omitted
        self.interval_start, self.written, self.omitted = now, 0, 0
        return omitted


class LogLimit(logging.Filter):
    """Omits lines beyond the limit; the next line of their statement contains their number.

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
            omitted = lines.start_interval(now)
            if omitted:
                record.msg = f"{record.getMessage()} ({omitted} such lines omitted)"
                record.args = ()
        is_written = lines.has_room()
        self.omitted_lines += not is_written
        return is_written
