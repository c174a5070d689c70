"""Statistics of delays, and of polls over time."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from hdrh.histogram import HdrHistogram

MAX_DELAY_US = 600_000_000  # the largest value of the histograms


def quantile(values: Sequence[float], share: float) -> float:
    """The value that a share of the values does not exceed; `values` are sorted."""
    return values[min(len(values) - 1, int(share * len(values)))]


def delay_histogram(delays: Sequence[float]) -> HdrHistogram:
    """A histogram of seconds, in microseconds."""
    histogram = HdrHistogram(1, MAX_DELAY_US, 2)
    for delay in delays:
        histogram.record_value(max(1, round(delay * 1e6)))
    return histogram


def peak_polls(counts: Mapping[float, float], buckets: int) -> float:
    """The largest number of polls in `buckets` consecutive buckets of discovery's count over time."""
    return max((sum(counts.get(bucket + i, 0) for i in range(buckets)) for bucket in counts), default=0.0)
