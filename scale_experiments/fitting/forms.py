"""A form fitted to a metric, and its values at other sizes."""

from __future__ import annotations

import bisect
import math
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

import numpy as np
import numpy.typing as npt

from scale_experiments.fitting.observations import Size
from scale_experiments.number_format import format_number, format_with_error

Array = npt.NDArray[np.float64]


class FitError(ValueError):
    """Samples that no form can be fitted to."""


class Form(Enum):
    """How a metric is taken to follow the columns that vary."""

    CONSTANT = "constant"  # a
    LINEAR = "linear"  # a + the sum of b x over the columns x
    PRODUCT = "product"  # a + b times the product of the columns
    POWER = "power"  # a times the product of x ** b; fitted to the logarithms
    INTERPOLATED = (
        "between"  # from size to size along one column, where no form follows; never chosen by itself
    )


@dataclass(slots=True, frozen=True)
class Fit:
    """One form fitted to one metric.

    `coefficients` (k) and `covariance` (k x k) are of the constant term and then of `terms`; of logarithms
    where the form is POWER. `residual` is the root of the mean square that is left, by degree of freedom,
    in the metric's unit; `left_out` is that of errors at sizes left out of the fit, as a share of the mean
    there, not a number where no size could be. `largest` holds the largest of each column that was measured,
    `fixed` those that did not vary.

    Where the form is BETWEEN, `coefficients` are the means at the sizes `knots`, in rising order. A value
    between two is on the power through both, beyond the last on that of the last two; its error is the share
    `left_out`, which is rather too large, as the nearest size is left out for it.
    """

    metric: str
    form: Form
    columns: tuple[str, ...]
    coefficients: Array
    covariance: Array
    residual: float
    cross_validation_error: (
        float  # root of the mean square error at sizes left out of the fit; not a number where none could be
    )
    samples: int
    sizes: int
    largest: dict[str, float]
    fixed: dict[str, float]
    knot_sizes: tuple[float, ...] = ()

    @property
    def terms(self) -> tuple[str, ...]:
        """What each slope belongs to."""
        if self.form is Form.CONSTANT:
            return ()
        return (" x ".join(self.columns),) if self.form is Form.PRODUCT else self.columns

    @property
    def slopes(self) -> dict[str, tuple[float, float]]:
        """Term -> slope and its standard error; the exponent where the form is POWER."""
        if self.form is Form.INTERPOLATED:
            (x, last), (y, top) = self.knot_sizes[-2:], self.coefficients[-2:]
            return {self.columns[0]: (math.log(top / y) / math.log(last / x), math.nan)}
        errors = np.sqrt(np.maximum(np.diag(self.covariance), 0.0))
        pairs = zip(self.terms, self.coefficients[1:], errors[1:], strict=True)
        return {term: (float(slope), float(error)) for term, slope, error in pairs}

    def value(self, size: Size) -> tuple[float, float]:
        """The fitted value at a size and its standard error, in the metric's unit."""
        if self.form is Form.INTERPOLATED:
            value = interpolate(self.knot_sizes, self.coefficients, float(size[self.columns[0]]))
            return value, value * self.cross_validation_error
        row = design_matrix(self.form, self.columns, [size])[0]
        value = float(row @ self.coefficients)
        error = math.sqrt(max(0.0, float(row @ self.covariance @ row)))
        if self.form is Form.POWER:
            return math.exp(value), math.exp(value) * error
        return value, error

    def extrapolation_factor(self, size: Size) -> float:
        """How far a size lies beyond the largest measured, as the largest ratio of its columns; 1 within."""
        return max((size[c] / self.largest[c] for c in self.columns if self.largest[c] > 0), default=1.0)


def design_matrix(form: Form, columns: Sequence[str], sizes: Sequence[Size]) -> Array:
    """One row a size: 1 and what the form's slopes are multiplied by. n x k."""
    table = np.array([[float(size[c]) for c in columns] for size in sizes], dtype=np.float64)
    table = table.reshape(len(sizes), len(columns))
    ones = np.ones((len(sizes), 1))
    if form is Form.CONSTANT:
        return ones
    if form is Form.PRODUCT:
        return np.hstack([ones, table.prod(axis=1, keepdims=True)])
    return np.hstack([ones, np.log(table) if form is Form.POWER else table])


def interpolate(knot_sizes: Sequence[float], values: Array, x: float) -> float:
    """The value at x on the power through the two knots round it, or the nearest two."""
    i = min(max(bisect.bisect_right(knot_sizes, x), 1), len(knot_sizes) - 1)
    share = math.log(x / knot_sizes[i - 1]) / math.log(knot_sizes[i] / knot_sizes[i - 1])
    return float(values[i - 1] * (values[i] / values[i - 1]) ** share)


def describe_slopes(fit: Fit) -> str:
    """The slopes of a fit with their standard errors, in words."""
    if fit.form is Form.CONSTANT:
        value, error = fit.value({c: fit.largest[c] for c in fit.columns})
        return f"constant {format_with_error(value, error)}"
    if fit.form is Form.INTERPOLATED:
        ((term, (slope, _)),) = fit.slopes.items()
        return f"between sizes, at the largest exponent {format_number(slope)} over {term}"
    kind = "exponent" if fit.form is Form.POWER else "slope"
    each = (f"{kind} {format_with_error(b, e)} over {term}" for term, (b, e) in fit.slopes.items())
    return ", ".join(each)
