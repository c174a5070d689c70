"""The clock of the real router."""

from __future__ import annotations

import time


class Clock:
    """Unix time in seconds, read from the system once; from then on it never jumps."""

    def __init__(self) -> None:
        """Read the system's time."""
        self.offset = time.time() - time.monotonic()

    def now(self) -> float:
        """The present time, in seconds."""
        return self.offset + time.monotonic()
