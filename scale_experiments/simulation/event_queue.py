"""The simulated clock and the callbacks that are due on it."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from typing import Any

EVENTS_BETWEEN_CHECKS = 10_000


def never() -> bool:
    """The condition of a run that only its time ends."""
    return False


class EventQueue:
    """Callbacks in the order of their times; those of one time run in the order they were scheduled in.

    `now` is the simulated time in seconds. It advances only within `run`.
    """

    __slots__ = ("_due", "_sequence", "now")

    def __init__(self, now: float) -> None:
        self.now = now
        self._due: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._sequence = itertools.count()

    def schedule(self, delay: float, callback: Callable[..., None], *arguments: Any) -> None:
        """Call back with these arguments, `delay` seconds from now."""
        heapq.heappush(self._due, (self.now + delay, next(self._sequence), callback, arguments))

    def run(self, seconds: float, should_stop: Callable[[], bool] = never) -> bool:
        """Let simulated time pass; return whether all of it did.

        `should_stop` is called once in `EVENTS_BETWEEN_CHECKS` events and ends the run where it is.
        """
        end = self.now + seconds
        for number in itertools.count(1):
            if not self._due or self._due[0][0] > end:
                break
            if number % EVENTS_BETWEEN_CHECKS == 0 and should_stop():
                return False
            self.now, _, callback, arguments = heapq.heappop(self._due)
            callback(*arguments)
        self.now = end
        return True
