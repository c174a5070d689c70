"""Connections counted over time."""

from __future__ import annotations

import math

NORMAL_99TH = 2.326  # standard deviations from the mean to the 99th percentile of a normal distribution
SHORTEST_SPAN = 1e-9  # seconds; stands in for no time at all in a division


class ConnectionCount:
    """How many connections one end has open, with its distribution over time. Times are in seconds."""

    __slots__ = ("changed_at", "current", "peak", "started_at", "weighted_squares", "weighted_sum")

    def __init__(self, at: float) -> None:
        self.current = 0
        self.reset(at)

    def reset(self, at: float) -> None:
        """Start the statistics anew; the connections that are open stay counted."""
        self.started_at = self.changed_at = at
        self.weighted_sum = self.weighted_squares = 0.0  # of the counts, weighted by their seconds
        self.peak = self.current

    def add(self, count: int, at: float) -> None:
        """Count connections opened, or closed where `count` is negative."""
        seconds = at - self.changed_at
        self.weighted_sum += seconds * self.current
        self.weighted_squares += seconds * self.current * self.current
        self.changed_at = at
        self.current += count
        self.peak = max(self.peak, self.current)

    def mean(self, at: float) -> float:
        """The mean over the time since the last reset."""
        self.add(0, at)
        return self.weighted_sum / max(at - self.started_at, SHORTEST_SPAN)

    def percentile_99(self, at: float, scale: float) -> float:
        """The 99th percentile over time of the whole fleet's count, estimated from a sample's.

        The routers are independent of each other, so that both the mean and the variance of a sum of `scale`
        as many are `scale` times as large; the sum is taken as normal.
        """
        mean = self.mean(at)
        mean_square = self.weighted_squares / max(at - self.started_at, SHORTEST_SPAN)
        variance = max(0.0, mean_square - mean * mean)
        return scale * mean + NORMAL_99TH * math.sqrt(scale * variance)
