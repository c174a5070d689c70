"""The exit statuses of the command line."""

from __future__ import annotations

from enum import IntEnum


class ExitStatus(IntEnum):
    """The exit status of a command."""

    SUCCESS = 0
    CHECK_FAILED = 1  # a budget is exceeded, a result is incomplete, or the page differs from the results
    BAD_INPUT = 2
    MEASUREMENT_FAILED = 3
    INTERRUPTED = 130  # 128 + SIGINT, as shells report it
