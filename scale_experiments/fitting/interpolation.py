"""Interpolation between measured sizes, for metrics that no other form describes."""

from __future__ import annotations

import bisect
import math
from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np

from scale_experiments.fitting.forms import Array, Fit, FitError, Form
from scale_experiments.fitting.observations import Observation, Size
from scale_experiments.measurement.estimate import Estimate
from scale_experiments.number_format import format_number

MIN_SIZES = 3  # cross-validation interpolates an inner size from its two neighbours


@dataclass(slots=True, frozen=True, kw_only=True)
class InterpolatedFit(Fit):
    """The means at the measured sizes of one column, in ascending order.

    A value between two sizes is on the power function through both means. A value outside the measured sizes
    is on the power function through the means at the two nearest sizes. The standard error is the value times
    `cross_validation_error`, which overestimates the error, because cross-validation leaves out the nearest
    size.
    """

    sizes: tuple[float, ...]
    means: Array

    @property
    def slopes(self) -> dict[str, Estimate]:
        """The exponent between the last two sizes; its standard error is not known (NaN)."""
        (previous_size, last_size), (previous_mean, last_mean) = self.sizes[-2:], self.means[-2:]
        exponent = math.log(last_mean / previous_mean) / math.log(last_size / previous_size)
        return {self.columns[0]: Estimate(exponent, math.nan)}

    def predict(self, size: Size) -> Estimate:
        """Return the interpolated value at a size, in the metric's unit."""
        value = interpolate(self.sizes, self.means, float(size[self.columns[0]]))
        return Estimate(value, value * self.cross_validation_error)

    def describe(self) -> str:
        """Describe the exponent between the last two sizes."""
        ((column, exponent),) = self.slopes.items()
        return f"between sizes, at the largest exponent {format_number(exponent.value)} over {column}"


def interpolate(sizes: Sequence[float], means: Array, x: float) -> float:
    """Return the value at x on the power function through the means at two sizes.

    These are the neighbours of x, or the two nearest sizes if x is outside all sizes.
    """
    i = min(max(bisect.bisect_right(sizes, x), 1), len(sizes) - 1)
    fraction = math.log(x / sizes[i - 1]) / math.log(sizes[i] / sizes[i - 1])
    return float(means[i - 1] * (means[i] / means[i - 1]) ** fraction)


def fit_interpolated(metric: str, observations: Sequence[Observation], column: str) -> InterpolatedFit:
    """Interpolate a metric along a column.

    Raises: FitError if there are fewer than MIN_SIZES sizes, or if a size or a mean is not above 0.
    """
    values_by_size: dict[float, list[float]] = {}
    for observation in observations:
        values_by_size.setdefault(float(observation.size[column]), []).append(observation.value)
    sizes = tuple(sorted(values_by_size))
    means = np.array([math.fsum(values_by_size[x]) / len(values_by_size[x]) for x in sizes], dtype=np.float64)
    if len(sizes) < MIN_SIZES or sizes[0] <= 0 or means.min() <= 0:
        raise FitError(
            f"{metric}: form between: must be measured at {MIN_SIZES} sizes of {column} at least,"
            " with all sizes and means above 0"
        )
    residuals = [
        value - float(mean) for x, mean in zip(sizes, means, strict=True) for value in values_by_size[x]
    ]
    degrees_of_freedom = len(observations) - len(sizes)
    sum_of_squares = math.fsum(x * x for x in residuals)
    return InterpolatedFit(
        metric=metric,
        form=Form.INTERPOLATED,
        columns=(column,),
        residual=math.sqrt(sum_of_squares / degrees_of_freedom) if degrees_of_freedom else 0.0,
        cross_validation_error=_cross_validation_error(sizes, means),
        size_count=len(sizes),
        largest={column: sizes[-1]},
        fixed={},
        sizes=sizes,
        means=means,
    )


def _cross_validation_error(sizes: tuple[float, ...], means: Array) -> float:
    """Return the root mean square error at the inner sizes, as a share of the mean at each size.

    Each inner size is interpolated from the other sizes.
    """
    errors = [
        interpolate((*sizes[:i], *sizes[i + 1 :]), np.delete(means, i), sizes[i]) / float(means[i]) - 1
        for i in range(1, len(sizes) - 1)
    ]
    return math.sqrt(math.fsum(x * x for x in errors) / len(errors))
