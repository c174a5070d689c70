"""Statistics of the number of open connections over time."""

from __future__ import annotations

import math

NORMAL_99TH = 2.326  # standard deviations from the mean to the 99th percentile of a normal distribution
SHORTEST_SPAN = 1e-9  # seconds; avoids a division by zero directly after a reset


class ConnectionCount:
    """Number of connections open at one end, with its peak, mean and variance over time.

    Times are in seconds.
    """

    __slots__ = ("_changed_at", "_started_at", "_weighted_squares", "_weighted_sum", "current", "peak")

    def __init__(self, at: float) -> None:
        self.current = 0
        self.reset(at)

    def reset(self, at: float) -> None:
        """Restart the statistics; connections that are open remain counted."""
        self._started_at = self._changed_at = at
        self._weighted_sum = self._weighted_squares = 0.0  # sums of count * seconds and count**2 * seconds
        self.peak = self.current

    def add(self, count: int, at: float) -> None:
        """Add connections that were opened, or subtract closed ones if `count` is negative."""
        seconds = at - self._changed_at
        self._weighted_sum += seconds * self.current
        self._weighted_squares += seconds * self.current * self.current
        self._changed_at = at
        self.current += count
        self.peak = max(self.peak, self.current)

    def mean(self, at: float) -> float:
        """Return the mean count over the time since the last reset."""
        self.add(0, at)
        return self._weighted_sum / max(at - self._started_at, SHORTEST_SPAN)

    def percentile_99(self, at: float, scale: float) -> float:
        """Estimate the 99th percentile over time of the whole fleet's count from this sample's count.

        The fleet has `scale` times as many routers as the sample. The counts of different routers are
        independent, so that the mean and the variance of their sum are both `scale` times as high. The sum
        is assumed to be normally distributed.
        """
        mean = self.mean(at)
        mean_square = self._weighted_squares / max(at - self._started_at, SHORTEST_SPAN)
        variance = max(0.0, mean_square - mean * mean)
        return scale * mean + NORMAL_99TH * math.sqrt(scale * variance)
