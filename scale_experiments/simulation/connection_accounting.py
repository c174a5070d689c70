"""Statistics of the number of open connections over time."""

from __future__ import annotations

import math

NORMAL_99TH_PERCENTILE = 2.326  # standard deviations above the mean of a normal distribution
MIN_ELAPSED = 1e-9  # seconds; avoids a division by zero directly after a reset


class ConnectionCount:
    """Number of connections open at one end, with its peak, mean and variance over time.

    Times are in seconds.
    """

    __slots__ = ("_changed_at", "_started_at", "_weighted_squares", "_weighted_sum", "current", "peak")

    def __init__(self, now: float) -> None:
        self.current = 0
        self.reset(now)

    def reset(self, now: float) -> None:
        """Restart the statistics; connections that are open remain counted."""
        self._started_at = self._changed_at = now
        self._weighted_sum = self._weighted_squares = 0.0  # sums of count * seconds and count**2 * seconds
        self.peak = self.current

    def add(self, count: int, now: float) -> None:
        """Add connections that were opened, or subtract closed ones if `count` is negative."""
        seconds = now - self._changed_at
        self._weighted_sum += seconds * self.current
        self._weighted_squares += seconds * self.current * self.current
        self._changed_at = now
        self.current += count
        self.peak = max(self.peak, self.current)

    def mean(self, now: float) -> float:
        """Return the mean count over the time since the last reset."""
        self.add(0, now)
        return self._weighted_sum / max(now - self._started_at, MIN_ELAPSED)

    def percentile_99(self, now: float, scale: float) -> float:
        """Estimate the 99th percentile over time of the whole fleet's count from this sample's count.

        The fleet has `scale` times as many routers as the sample. The counts of different routers are
        independent, so that the mean and the variance of their sum are both `scale` times as high. The sum
        is assumed to be normally distributed.
        """
        mean = self.mean(now)
        mean_square = self._weighted_squares / max(now - self._started_at, MIN_ELAPSED)
        variance = max(0.0, mean_square - mean * mean)
        return scale * mean + NORMAL_99TH_PERCENTILE * math.sqrt(scale * variance)
