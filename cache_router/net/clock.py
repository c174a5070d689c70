"""The clock of a running router, which supplies the times that the decision module receives."""

from __future__ import annotations

import time


class Clock:
    """Unix time in seconds.

    The system time is read once, when the clock is created. After that the clock follows the monotonic
    clock, so that a correction of the system time does not make it jump.
    """

    def __init__(self) -> None:
        """Read the system time."""
        self._offset = time.time() - time.monotonic()

    def now(self) -> float:
        """Return the current time, in seconds."""
        return self._offset + time.monotonic()
