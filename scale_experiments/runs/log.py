"""The log of runs, written as lines of JSON to standard error, and the display of their progress."""

from __future__ import annotations

import sys
import time

import structlog

SECONDS_BETWEEN_LOG_LINES = 5.0
SECONDS_BETWEEN_REDRAWS = 0.1
MAX_PROGRESS_LINE_LENGTH = 118  # length in characters; a longer line would wrap
ERASE_LINE = "\r\033[K"  # carriage return, and the ANSI sequence that clears to the end of the line


def configure() -> None:
    """Configure structlog to write one JSON object per line, with time and level."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )


class Progress:
    """Progress display of a run: a line that is redrawn on a terminal, periodic log lines otherwise."""

    def __init__(self, steps: int, time_limit_s: float) -> None:
        """Start the clock of a run with `steps` measurements."""
        self.steps = steps
        self.time_limit_s = time_limit_s
        self._step = 0
        self._description = ""
        self._started_at = time.monotonic()
        self._shown_at = -float("inf")
        self._is_terminal = sys.stderr.isatty()
        self._interval_s = SECONDS_BETWEEN_REDRAWS if self._is_terminal else SECONDS_BETWEEN_LOG_LINES
        self._log = structlog.get_logger()

    def start_step(self, step: int, description: str) -> None:
        """Show the start of a measurement; `step` counts from 1."""
        self._step, self._description = step, description
        self.update("")

    def update(self, activity: str) -> None:
        """Show the current activity, unless another update was shown within the interval."""
        now = time.monotonic()
        if now - self._shown_at < self._interval_s:
            return
        self._shown_at = now
        elapsed_s, limit_s = round(now - self._started_at), round(self.time_limit_s)
        if self._is_terminal:
            line = (
                f"{self._step}/{self.steps}  {self._description}  {activity}"
                f"  {elapsed_s} s of {limit_s} s at most"
            )
            print(f"{ERASE_LINE}{line[:MAX_PROGRESS_LINE_LENGTH]}", end="", file=sys.stderr, flush=True)
            return
        self._log.info(
            "progress",
            step=self._step,
            steps=self.steps,
            at=self._description,
            doing=activity,
            spent_s=elapsed_s,
            most_s=limit_s,
        )

    def clear(self) -> None:
        """Erase the progress line from the terminal."""
        if self._is_terminal:
            print(ERASE_LINE, end="", file=sys.stderr, flush=True)
