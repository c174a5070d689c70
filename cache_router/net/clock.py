"""The clock of a running router, which supplies the times that the decision module receives."""

from __future__ import annotations

import time


class Clock:
    """Seconds that pass evenly.

    It shows Unix time if the system clock was right when it was created. After that it follows the monotonic
    clock, so that a correction of the system time does not make it jump.
    """

    resolution = 0.001  # seconds; start times of one server differ by at least as much

    def __init__(self) -> None:
        """Read the system time."""
        self._offset = time.time() - time.monotonic()

    def now(self) -> float:
        """Return the current time, in seconds."""
        return self._offset + time.monotonic()

    def system_time(self) -> float:
        """Return the time of the system clock, in seconds of Unix time; it may be stepped at any time."""
        return time.time()

    def step(self) -> float:
        """Return the seconds by which the system clock was stepped forward since the start of this one."""
        return self.system_time() - self.now()
