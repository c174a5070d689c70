"""The table of a comparison: metrics before a mechanism was built, and after."""

from __future__ import annotations

import math
from collections.abc import Iterator, Sequence

from scale_experiments.capacity.formatting import format_quantity, markdown_table
from scale_experiments.capacity.kept_results import NotMeasuredError
from scale_experiments.capacity.model import CapacityModel
from scale_experiments.capacity.schema import Comparison, Unit
from scale_experiments.fitting.forms import Fit, FitError, Form
from scale_experiments.fitting.observations import (
    PRODUCT_COLUMNS,
    Observation,
    observations_of,
    varying_columns,
)
from scale_experiments.fitting.selection import best_fit, fit_form
from scale_experiments.number_format import SIZE_DIGITS, format_number
from scale_experiments.runs.results import Result

HEADER = ("metric", "size", "before", "after", "after / before", "after / before, by the reference")
NOT_MEASURED_ROW = ("not measured", *[""] * (len(HEADER) - 1))
# metrics in these units depend on how fast and how busy the machine was
MACHINE_DEPENDENT_UNITS = ("s", "cores")

SizeKey = tuple[tuple[str, float], ...]  # the columns of a size and their values, sorted by column


def comparison_table(baseline: CapacityModel, current: CapacityModel, comparison: Comparison) -> list[str]:
    """Means at the sizes that both results hold, and how each metric grows."""
    try:
        before = baseline.results.load(comparison.result)
        after = current.results.load(comparison.result)
    except NotMeasuredError:
        return markdown_table(HEADER, [NOT_MEASURED_ROW])
    rows: list[Sequence[str]] = []
    if before != after:
        for metric, unit in zip(comparison.metrics, comparison.units, strict=True):
            rows += _rows_of_means(comparison, metric, unit, before, after)
            rows += _rows_of_growth(comparison, metric, before, after)
    return markdown_table(HEADER, rows or [NOT_MEASURED_ROW])


def _rows_of_means(
    comparison: Comparison, metric: str, unit: Unit, before: Result, after: Result
) -> Iterator[list[str]]:
    """A row for each size that both results hold and that the comparison shows."""
    columns = varying_columns([o.size for o in observations_of(before, metric)])
    columns = tuple(c for c in columns if c in PRODUCT_COLUMNS) or columns
    means_before, means_after = _means(before, metric), _means(after, metric)
    speeds = _machine_speeds(comparison, metric, unit, before, after)
    for size in sorted(means_before.keys() & means_after.keys()):
        if any(x not in comparison.sizes.get(column, [x]) for column, x in size):
            continue
        mean_before, mean_after = means_before[size], means_after[size]
        ratio = mean_after / mean_before if mean_before else None
        by_reference = (
            ratio * speeds[size][0] / speeds[size][1] if ratio is not None and size in speeds else None
        )
        yield [
            f"`{metric}`",
            ", ".join(f"{c} {format_number(x, SIZE_DIGITS)}" for c, x in size if c in columns),
            format_quantity(mean_before, unit),
            format_quantity(mean_after, unit),
            "-" if ratio is None else format_number(ratio),
            "-" if by_reference is None else format_number(by_reference),
        ]


def _machine_speeds(
    comparison: Comparison, metric: str, unit: Unit, before: Result, after: Result
) -> dict[SizeKey, tuple[float, float]]:
    """The reference metric before and after at each size; empty if the metric needs no reference."""
    reference = comparison.reference_metric
    if reference is None or metric == reference or unit not in MACHINE_DEPENDENT_UNITS:
        return {}
    means_before, means_after = _means(before, reference), _means(after, reference)
    return {
        size: (means_before[size], means_after[size]) for size in means_before.keys() & means_after.keys()
    }


def _rows_of_growth(
    comparison: Comparison, metric: str, before: Result, after: Result
) -> Iterator[list[str]]:
    """One row of the fits to all sizes up to the largest that is shown, if both results hold any."""
    observations = [_up_to_largest_shown(comparison, observations_of(r, metric)) for r in (before, after)]
    if all(observations):
        slopes = [_fit_growth(metric, each).describe() for each in observations]
        yield [f"`{metric}`", "fit up to the largest size shown", *slopes, "-", "-"]


def _up_to_largest_shown(comparison: Comparison, observations: Sequence[Observation]) -> list[Observation]:
    largest = {column: max(shown) for column, shown in comparison.sizes.items()}
    return [o for o in observations if all(o.size[c] <= x for c, x in largest.items() if c in o.size)]


def _fit_growth(metric: str, observations: Sequence[Observation]) -> Fit:
    """How a metric grows: a power, so that both results compare, or the best form if none can be fitted."""
    try:
        return fit_form(metric, Form.POWER, observations)
    except FitError:
        return best_fit(metric, observations)


def _means(result: Result, metric: str) -> dict[SizeKey, float]:
    """The mean of a metric at each size."""
    values: dict[SizeKey, list[float]] = {}
    for observation in observations_of(result, metric):
        key = tuple(sorted((column, float(x)) for column, x in observation.size.items()))
        values.setdefault(key, []).append(observation.value)
    return {size: math.fsum(v) / len(v) for size, v in values.items()}
