"""The simulated clock and the callbacks that are due on it."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from typing import TypeVarTuple

Arguments = TypeVarTuple("Arguments")

EVENTS_BETWEEN_CHECKS = 10_000


def never() -> bool:
    """The stop condition of a run that ends only when its time is over."""
    return False


class EventQueue:
    """Callbacks in the order of their times; callbacks of one time run in the order of their scheduling.

    `now` is the simulated time in seconds. It advances only within `run`.
    """

    __slots__ = ("_due", "_sequence", "now")

    def __init__(self, now: float) -> None:
        self.now = now
        # time, sequence number, callback and its arguments: a tuple, as heapq compares entries in place
        self._due: list[tuple[float, int, Callable[..., None], tuple[object, ...]]] = []
        self._sequence = itertools.count()

    def schedule(self, delay: float, callback: Callable[[*Arguments], None], *arguments: *Arguments) -> None:
        """Call back with these arguments, `delay` seconds from now."""
        heapq.heappush(self._due, (self.now + delay, next(self._sequence), callback, arguments))

    def run(self, seconds: float, should_stop: Callable[[], bool] = never) -> bool:
        """Let simulated time pass; return whether all of it passed.

        `should_stop` is called once in `EVENTS_BETWEEN_CHECKS` events. The run ends early if it returns true.
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
