"""Connections counted over time."""

from __future__ import annotations

import math


class ConnectionCount:
    """How many connections one end holds, over time."""

    __slots__ = ("area", "changed", "most", "now", "since", "squares")

    def __init__(self, at: float) -> None:
        self.now = 0
        self.reset(at)

    def reset(self, at: float) -> None:
        self.since = self.changed = at
        self.area = self.squares = 0.0
        self.most = self.now

    def add(self, count: int, at: float) -> None:
        span = at - self.changed
        self.area += span * self.now
        self.squares += span * self.now * self.now
        self.changed = at
        self.now += count
        self.most = max(self.most, self.now)

    def mean(self, at: float) -> float:
        self.add(0, at)
        return self.area / max(at - self.since, 1e-9)

    def high(self, at: float, scale: float) -> float:
        """The 99th percentile over time of the whole fleet's count, worked out from a sample's.

        The routers are independent of each other, so that both the mean and the variance of a sum of `scale`
        as many are `scale` times as large; the sum is taken as normal.
        """
        mean = self.mean(at)
        variance = max(0.0, self.squares / max(at - self.since, 1e-9) - mean * mean)
        return scale * mean + 2.326 * math.sqrt(scale * variance)
