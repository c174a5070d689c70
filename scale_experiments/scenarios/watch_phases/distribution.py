"""Statistics of delays, and of polls over time."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from hdrh.histogram import HdrHistogram

MAX_DELAY_US = 600_000_000  # highest value that the histograms can record


def quantile(values: Sequence[float], share: float) -> float:
    """Return the value at the quantile `share` (0 to 1) of `values`, which are sorted and not empty."""
    return values[min(len(values) - 1, int(share * len(values)))]


def delay_histogram(delays: Sequence[float]) -> HdrHistogram:
    """Build a histogram in microseconds from delays in seconds."""
    histogram = HdrHistogram(1, MAX_DELAY_US, 2)
    for delay in delays:
        histogram.record_value(max(1, round(delay * 1e6)))
    return histogram


def peak_polls(counts: Mapping[float, float], buckets: int) -> float:
    """Return the largest number of polls in `buckets` consecutive time buckets.

    `counts` has the polls that discovery received, by the number of the time bucket.
    """
    return max((sum(counts.get(bucket + i, 0) for i in range(buckets)) for bucket in counts), default=0.0)
