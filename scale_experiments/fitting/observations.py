"""What was measured of a metric, as sizes and values."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence

from scale_experiments.results import Result

Size = Mapping[str, float]
PAIR = ("routers", "caches")  # whose product may be what counts
# columns that grow with the fleet, or that say how long was waited: no causes by themselves
ALONG = ("regions", "sites", "warm_s", "zones")
NEAR = 0.01  # of a size: no farther off, it is the same


def varying(points: Sequence[tuple[Size, float]]) -> tuple[str, ...]:
    """The columns that all sizes have and that vary."""
    names = sorted(set.intersection(*(set(size) for size, _ in points))) if points else []
    return tuple(c for c in names if len({float(size[c]) for size, _ in points}) > 1)


def largest_only(points: Sequence[tuple[Size, float]]) -> list[tuple[Size, float]]:
    """The values at the largest size, by the product of its columns that vary."""
    columns = varying(points)
    sizes = [math.prod(float(size[c]) for c in columns) for size, _ in points]
    return [point for point, size in zip(points, sizes, strict=True) if size == max(sizes)]


def points_of(result: Result, metric: str) -> list[tuple[Size, float]]:
    """The samples of a result that hold a metric, as size and value."""
    return [(s.size, s.metrics[metric]) for s in result.samples if metric in s.metrics]


def mean_near(points: Sequence[tuple[Size, float]], size: Size) -> float | None:
    """The mean of what was measured at a size, a hundredth more or less by column; None if nothing was."""
    near = [
        value
        for measured, value in points
        if all(abs(measured[column] - x) <= NEAR * abs(x) for column, x in size.items() if column in measured)
    ]
    return math.fsum(near) / len(near) if near else None
