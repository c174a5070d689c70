"""The observations of a metric: its values, and the sizes of the fleet at which they were measured."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from scale_experiments.runs.results import Result

Size = Mapping[str, float]  # values of a fleet size by column, such as `routers` or `caches`

PRODUCT_COLUMNS = ("routers", "caches")  # some metrics, such as connections, grow with their product
# columns that grow with the fleet, or that set a duration; metrics do not depend on them directly
CONFOUNDED_COLUMNS = ("regions", "sites", "warm_s", "zones")
SAME_SIZE_TOLERANCE = 0.01  # relative difference up to which two sizes count as the same


@dataclass(slots=True, frozen=True)
class Observation:
    """A value of a metric, in the metric's unit, and the size at which it was measured."""

    size: Size
    value: float


def observations_of(result: Result, metric: str) -> list[Observation]:
    """Return the observations of a metric: one for each sample that has the metric."""
    return [Observation(s.size, s.metrics[metric]) for s in result.samples if metric in s.metrics]


def varying_columns(sizes: Sequence[Size]) -> tuple[str, ...]:
    """Return the columns that all sizes have and whose values differ, in alphabetical order."""
    if not sizes:
        return ()
    shared = sorted(set.intersection(*map(set, sizes)))
    return tuple(column for column in shared if len({float(size[column]) for size in sizes}) > 1)


def at_largest_size(observations: Sequence[Observation]) -> list[Observation]:
    """Return the observations at the largest size, which has the largest product of the varying columns."""
    columns = varying_columns([o.size for o in observations])
    products = [math.prod(float(o.size[c]) for c in columns) for o in observations]
    largest = max(products)
    return [o for o, product in zip(observations, products, strict=True) if product == largest]


def mean_at(observations: Sequence[Observation], size: Size) -> float | None:
    """Return the mean of the observations at a size, within SAME_SIZE_TOLERANCE; None if there are none."""
    values = [o.value for o in observations if _is_same_size(o.size, size)]
    return math.fsum(values) / len(values) if values else None


def _is_same_size(measured: Size, wanted: Size) -> bool:
    return all(
        abs(measured[column] - x) <= SAME_SIZE_TOLERANCE * abs(x)
        for column, x in wanted.items()
        if column in measured
    )
