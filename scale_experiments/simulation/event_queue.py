"""The simulated clock and the callbacks that are scheduled on it."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from typing import TypeVarTuple

Arguments = TypeVarTuple("Arguments")

EVENTS_BETWEEN_CHECKS = 10_000  # events between two calls of should_stop


def never() -> bool:
    """Return False: a stop condition with which a run never ends early."""
    return False


class EventQueue:
    """Queue that runs callbacks in order of time; callbacks at the same time run in the order of scheduling.

    `now` is the simulated time in seconds. It advances only within `run`.
    """

    __slots__ = ("_heap", "_sequence", "now")

    def __init__(self, now: float) -> None:
        self.now = now
        # Heap of (time, sequence number, callback, arguments); tuples, since heapq compares the entries.
        self._heap: list[tuple[float, int, Callable[..., None], tuple[object, ...]]] = []
        self._sequence = itertools.count()

    def schedule(self, delay: float, callback: Callable[[*Arguments], None], *arguments: *Arguments) -> None:
        """Schedule a call of `callback` with these arguments, `delay` seconds from now."""
        heapq.heappush(self._heap, (self.now + delay, next(self._sequence), callback, arguments))

    def run(self, seconds: float, should_stop: Callable[[], bool] = never) -> bool:
        """Advance the clock by `seconds` and run the callbacks that are due; return False if stopped early.

        `should_stop` is called every `EVENTS_BETWEEN_CHECKS` events. The run ends early if it returns True.
        """
        end = self.now + seconds
        for number in itertools.count(1):
            if not self._heap or self._heap[0][0] > end:
                break
            if number % EVENTS_BETWEEN_CHECKS == 0 and should_stop():
                return False
            self.now, _, callback, arguments = heapq.heappop(self._heap)
            callback(*arguments)
        self.now = end
        return True
