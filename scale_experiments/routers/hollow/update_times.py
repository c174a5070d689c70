"""Records when each hollow router first had each index, and counts updates and failed polls; no I/O."""

from __future__ import annotations

import math
from array import array
from collections import OrderedDict

MAX_RECORDED_INDICES = 512  # the oldest index is dropped beyond this number


class UpdateTimeTable:
    """Monotonic times in seconds at which each router first had each index; NaN if it has not had it."""

    def __init__(self, routers: int) -> None:
        self._routers = routers
        self._times_by_index: OrderedDict[int, array[float]] = OrderedDict()

    def record(self, router: int, before: int, index: int, at: float) -> None:
        """Record that a router has `index` at the time `at`, and so all indices after `before`.

        The oldest indices are dropped if there are more than `MAX_RECORDED_INDICES`.
        """
        for passed in range(max(before + 1, index - MAX_RECORDED_INDICES + 1), index + 1):
            if passed not in self._times_by_index:
                self._times_by_index[passed] = self._unknown_times()
                if len(self._times_by_index) > MAX_RECORDED_INDICES:
                    self._times_by_index.popitem(last=False)
            self._times_by_index[passed][router] = at

    def times(self, index: int) -> list[float]:
        """Return the time at which each router first had an index."""
        return list(self._times_by_index.get(index) or self._unknown_times())

    def _unknown_times(self) -> array[float]:
        return array("d", [math.nan]) * self._routers


class HollowFleetStatistics:
    """Counts of updates and failed polls of all routers of a process, and the times of each index."""

    def __init__(self, routers: int) -> None:
        self._update_times = UpdateTimeTable(routers)
        self._updates = 0
        self._failed = 0

    @property
    def updates(self) -> int:
        """Number of updates that the routers have received from discovery."""
        return self._updates

    @property
    def failed(self) -> int:
        """Number of failed polls."""
        return self._failed

    def on_update(self) -> None:
        """Count an update from discovery."""
        self._updates += 1

    def on_failure(self) -> None:
        """Count a failed poll."""
        self._failed += 1

    def on_index(self, router: int, before: int, index: int, now: float) -> None:
        """Record that a router, which had the index `before`, now has `index`."""
        self._update_times.record(router, before, index, now)

    def update_times(self, index: int) -> list[float]:
        """Return the time at which each router first had an index; NaN if it has not had it."""
        return self._update_times.times(index)
