"""What was measured of a metric, as sizes and values."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence

from scale_experiments.results import Result

Size = Mapping[str, float]
PRODUCT_COLUMNS = ("routers", "caches")  # whose product may be what counts
# columns that grow with the fleet, or that say how long was waited: no causes by themselves
CONFOUNDED_COLUMNS = ("regions", "sites", "warm_s", "zones")
SAME_SIZE_TOLERANCE = 0.01  # of a size: no farther off, it is the same


def varying_columns(observations: Sequence[tuple[Size, float]]) -> tuple[str, ...]:
    """The columns that all sizes have and that vary."""
    names = sorted(set.intersection(*(set(size) for size, _ in observations))) if observations else []
    return tuple(c for c in names if len({float(size[c]) for size, _ in observations}) > 1)


def at_largest_size(observations: Sequence[tuple[Size, float]]) -> list[tuple[Size, float]]:
    """The values at the largest size, by the product of its columns that vary."""
    columns = varying_columns(observations)
    sizes = [math.prod(float(size[c]) for c in columns) for size, _ in observations]
    return [point for point, size in zip(observations, sizes, strict=True) if size == max(sizes)]


def observations_of(result: Result, metric: str) -> list[tuple[Size, float]]:
    """The samples of a result that hold a metric, as size and value."""
    return [(s.size, s.metrics[metric]) for s in result.samples if metric in s.metrics]


def mean_at(observations: Sequence[tuple[Size, float]], size: Size) -> float | None:
    """The mean of what was measured at a size, a hundredth more or less by column; None if nothing was."""
    near = [
        value
        for measured, value in observations
        if all(
            abs(measured[column] - x) <= SAME_SIZE_TOLERANCE * abs(x)
            for column, x in size.items()
            if column in measured
        )
    ]
    return math.fsum(near) / len(near) if near else None
