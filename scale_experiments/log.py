"""The log of runs: structured lines, JSON, on standard error; and progress."""

from __future__ import annotations

import sys
import time

import structlog

BETWEEN_LINES_S = 5.0
BETWEEN_DRAWS_S = 0.1


def configure() -> None:
    """One JSON object a line, with time and level."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )


class Progress:
    """How far a run is: one line drawn over on a terminal, else a log line every few seconds."""

    def __init__(self, steps: int, time_limit_s: float) -> None:
        self.steps = steps
        self.step = 0
        self.what = ""
        self.began = time.monotonic()
        self.time_limit_s = time_limit_s
        self.told_at = -float("inf")
        self.terminal = sys.stderr.isatty()
        self.log = structlog.get_logger()

    def begin(self, step: int, what: str) -> None:
        """The next measurement, counted from 1."""
        self.step, self.what = step, what
        self.tell("")

    def tell(self, text: str) -> None:
        """What it is at."""
        now = time.monotonic()
        if now - self.told_at < (BETWEEN_DRAWS_S if self.terminal else BETWEEN_LINES_S):
            return
        self.told_at = now
        spent, most = round(now - self.began), round(self.time_limit_s)
        if self.terminal:
            line = f"{self.step}/{self.steps}  {self.what}  {text}  {spent} s of {most} s at most"
            print(f"\r\033[K{line[:118]}", end="", file=sys.stderr, flush=True)
        else:
            self.log.info(
                "progress",
                step=self.step,
                steps=self.steps,
                at=self.what,
                doing=text,
                spent_s=spent,
                most_s=most,
            )

    def clear(self) -> None:
        """Leave the terminal's line empty."""
        if self.terminal:
            print("\r\033[K", end="", file=sys.stderr, flush=True)
