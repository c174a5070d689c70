"""The table of a comparison: metrics measured before and after a mechanism was built."""

from __future__ import annotations

import math
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from scale_experiments.capacity.formatting import format_quantity, markdown_table
from scale_experiments.capacity.model import CapacityModel
from scale_experiments.capacity.schema import Comparison, Unit
from scale_experiments.capacity.stored_results import NotMeasuredError
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
NO_VALUE = "-"
FITTED_SIZES_LABEL = "fit up to the largest size shown"
# metrics in these units depend on the speed and the load of the measuring machine
MACHINE_DEPENDENT_UNITS = ("s", "cores")

SizeKey = tuple[tuple[str, float], ...]  # the columns of a size with their values, sorted by column


@dataclass(slots=True, frozen=True)
class ComparedMeans:
    """The means of a metric at one size in the two results of a comparison."""

    before: float
    after: float

    @property
    def ratio(self) -> float | None:
        """The mean after, divided by the mean before; None if the mean before is 0."""
        return self.after / self.before if self.before else None

    def ratio_by_reference(self, reference: ComparedMeans | None) -> float | None:
        """Return the ratio, corrected for the machine's speed; None without a ratio or a reference."""
        ratio = self.ratio
        if ratio is None or reference is None:
            return None
        return ratio * reference.before / reference.after


@dataclass(slots=True, frozen=True)
class ComparedResults:
    """The results that were measured before and after a mechanism was built."""

    before: Result
    after: Result

    def means(self, metric: str) -> dict[SizeKey, ComparedMeans]:
        """Return the means of a metric, by size, at the sizes that both results have."""
        before, after = _means(self.before, metric), _means(self.after, metric)
        return {
            size: ComparedMeans(before[size], after[size]) for size in sorted(before.keys() & after.keys())
        }

    def shown_columns(self, metric: str) -> tuple[str, ...]:
        """Return the columns that describe a size: routers and caches, or all that vary if neither does."""
        varying = varying_columns([o.size for o in observations_of(self.before, metric)])
        return tuple(column for column in varying if column in PRODUCT_COLUMNS) or varying


def comparison_table(baseline: CapacityModel, current: CapacityModel, comparison: Comparison) -> list[str]:
    """Return the table of the means at the sizes that both results have, and of each metric's growth."""
    try:
        before = baseline.results.load(comparison.result)
        after = current.results.load(comparison.result)
    except NotMeasuredError:
        return markdown_table(HEADER, [NOT_MEASURED_ROW])
    rows: list[Sequence[str]] = []
    if before != after:
        results = ComparedResults(before, after)
        for metric, unit in zip(comparison.metrics, comparison.units, strict=True):
            rows += _rows_of_means(comparison, metric, unit, results)
            rows += _rows_of_growth(comparison, metric, results)
    return markdown_table(HEADER, rows or [NOT_MEASURED_ROW])


def _rows_of_means(
    comparison: Comparison, metric: str, unit: Unit, results: ComparedResults
) -> Iterator[list[str]]:
    """Yield one row for each size that both results have and that the comparison shows."""
    columns = results.shown_columns(metric)
    references = _reference_means(comparison, metric, unit, results)
    for size, means in results.means(metric).items():
        if not _is_shown(comparison, size):
            continue
        yield [
            f"`{metric}`",
            ", ".join(f"{c} {format_number(x, SIZE_DIGITS)}" for c, x in size if c in columns),
            format_quantity(means.before, unit),
            format_quantity(means.after, unit),
            _format_ratio(means.ratio),
            _format_ratio(means.ratio_by_reference(references.get(size))),
        ]


def _reference_means(
    comparison: Comparison, metric: str, unit: Unit, results: ComparedResults
) -> dict[SizeKey, ComparedMeans]:
    """Return the means of the reference metric, by size; empty if the metric needs no correction."""
    reference = comparison.reference_metric
    if reference is None or metric == reference or unit not in MACHINE_DEPENDENT_UNITS:
        return {}
    return results.means(reference)


def _is_shown(comparison: Comparison, size: SizeKey) -> bool:
    return all(value in comparison.sizes.get(column, [value]) for column, value in size)


def _format_ratio(ratio: float | None) -> str:
    return NO_VALUE if ratio is None else format_number(ratio)


def _rows_of_growth(comparison: Comparison, metric: str, results: ComparedResults) -> Iterator[list[str]]:
    """Yield one row with the fits up to the largest size shown, if both results have observations there."""
    observations = [
        _up_to_largest_shown(comparison, observations_of(result, metric))
        for result in (results.before, results.after)
    ]
    if all(observations):
        descriptions = [_fit_growth(metric, fitted).describe() for fitted in observations]
        yield [f"`{metric}`", FITTED_SIZES_LABEL, *descriptions, NO_VALUE, NO_VALUE]


def _up_to_largest_shown(comparison: Comparison, observations: Sequence[Observation]) -> list[Observation]:
    limits = {column: max(shown) for column, shown in comparison.sizes.items()}
    return [o for o in observations if all(o.size[c] <= limit for c, limit in limits.items() if c in o.size)]


def _fit_growth(metric: str, observations: Sequence[Observation]) -> Fit:
    """Fit a power, whose exponents can be compared between results, or else the best form."""
    try:
        return fit_form(metric, Form.POWER, observations)
    except FitError:
        return best_fit(metric, observations)


def _means(result: Result, metric: str) -> dict[SizeKey, float]:
    """Return the mean of a metric, by size."""
    values_by_size: dict[SizeKey, list[float]] = {}
    for observation in observations_of(result, metric):
        key = tuple(sorted((column, float(value)) for column, value in observation.size.items()))
        values_by_size.setdefault(key, []).append(observation.value)
    return {size: math.fsum(values) / len(values) for size, values in values_by_size.items()}
