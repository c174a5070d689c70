"""When each hollow router had each index."""

from __future__ import annotations

import math
from array import array
from collections import OrderedDict

MAX_RECORDED_INDICES = 512  # for each router


class UpdateTimeTable:
    """When each router first had each index: seconds of the monotonic clock, NaN where it has not."""

    def __init__(self, routers: int) -> None:
        self.routers = routers
        self.by_index: OrderedDict[int, array[float]] = OrderedDict()

    def record(self, router: int, before: int, index: int, at: float) -> None:
        """Record that a router has `index` at a time, after `before`; older indices are dropped."""
        for each in range(max(before + 1, index - MAX_RECORDED_INDICES + 1), index + 1):
            if each not in self.by_index:
                self.by_index[each] = array("d", [math.nan]) * self.routers
                if len(self.by_index) > MAX_RECORDED_INDICES:
                    self.by_index.popitem(last=False)
            self.by_index[each][router] = at
