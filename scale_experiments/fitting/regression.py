"""Least-squares regression of one form to the observations of a metric."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np

from scale_experiments.fitting.forms import Array, Fit, FitError, Form
from scale_experiments.fitting.observations import Observation, Size
from scale_experiments.measurement.estimate import Estimate
from scale_experiments.number_format import format_with_error

# limit for the design matrix; above it, columns are collinear, and their slopes can't be distinguished
MAX_CONDITION_NUMBER = 20.0


@dataclass(slots=True, frozen=True, kw_only=True)
class RegressionFit(Fit):
    """A form fitted by least squares, to the logarithms if the form is a power.

    `coefficients` (length k) and `covariance` (k x k) are in the order of the constant term and then `terms`.
    """

    coefficients: Array
    covariance: Array

    @property
    def terms(self) -> tuple[str, ...]:
        """The names of the terms, without the constant term."""
        if self.form is Form.CONSTANT:
            return ()
        return (" x ".join(self.columns),) if self.form is Form.PRODUCT else self.columns

    @property
    def slopes(self) -> dict[str, Estimate]:
        """The slope of each term by name; its exponent if the form is a power."""
        errors = np.sqrt(np.maximum(np.diag(self.covariance), 0.0))
        slopes = zip(self.terms, self.coefficients[1:], errors[1:], strict=True)
        return {term: Estimate(float(slope), float(error)) for term, slope, error in slopes}

    def predict(self, size: Size) -> Estimate:
        """Return the fitted value at a size, in the metric's unit."""
        row = design_matrix(self.form, self.columns, [size])[0]
        value = float(row @ self.coefficients)
        error = math.sqrt(max(0.0, float(row @ self.covariance @ row)))
        if self.form is Form.POWER:
            return Estimate(math.exp(value), math.exp(value) * error)
        return Estimate(value, error)

    def describe(self) -> str:
        """Describe the slopes and their standard errors."""
        if self.form is Form.CONSTANT:
            value = self.predict({c: self.largest[c] for c in self.columns})
            return f"constant {format_with_error(value)}"
        kind = "exponent" if self.form is Form.POWER else "slope"
        return ", ".join(
            f"{kind} {format_with_error(slope)} over {term}" for term, slope in self.slopes.items()
        )


def design_matrix(form: Form, columns: Sequence[str], sizes: Sequence[Size]) -> Array:
    """Return the n x k design matrix: for each size a row of 1 and the terms of the form."""
    values = np.array([[float(size[c]) for c in columns] for size in sizes], dtype=np.float64)
    values = values.reshape(len(sizes), len(columns))
    intercept = np.ones((len(sizes), 1))
    if form is Form.CONSTANT:
        return intercept
    if form is Form.PRODUCT:
        return np.hstack([intercept, values.prod(axis=1, keepdims=True)])
    return np.hstack([intercept, np.log(values) if form is Form.POWER else values])


def fit_regression(
    metric: str, form: Form, observations: Sequence[Observation], columns: tuple[str, ...]
) -> RegressionFit:
    """Fit one form over columns.

    Raises: FitError if the form needs more sizes, if its columns are collinear, or if the form is a power and
    a size or a value is not above 0.
    """
    values = np.array([o.value for o in observations], dtype=np.float64)
    sizes = [o.size for o in observations]
    _check_applicable(metric, form, columns, sizes, values)
    groups = _group_by_size(form, columns, sizes)
    size_count = max(groups) + 1
    rows = design_matrix(form, columns, sizes)
    degrees_of_freedom = len(observations) - rows.shape[1]
    if form is not Form.CONSTANT and (degrees_of_freedom < 1 or size_count <= rows.shape[1]):
        raise FitError(f"{metric}: form {form.value}: must be measured at more than {rows.shape[1]} sizes")
    coefficients = _solve(metric, form, rows, values)
    residuals = values - _predict(form, rows, coefficients)
    fitted = np.log(values) - rows @ coefficients if form is Form.POWER else residuals
    return RegressionFit(
        metric=metric,
        form=form,
        columns=columns,
        coefficients=coefficients,
        covariance=_covariance(rows, _mean_square(fitted, degrees_of_freedom)),
        residual=math.sqrt(_mean_square(residuals, degrees_of_freedom)),
        cross_validation_error=_cross_validation_error(metric, form, rows, values, groups),
        size_count=size_count,
        largest={c: max(float(size[c]) for size in sizes) for c in columns},
        fixed={c: float(x) for c, x in sorted(sizes[0].items()) if all(size.get(c) == x for size in sizes)},
    )


def _check_applicable(
    metric: str, form: Form, columns: Sequence[str], sizes: Sequence[Size], values: Array
) -> None:
    """Raise FitError if a form lacks columns, or if it is a power and a size or a value is not above 0."""
    if form is not Form.CONSTANT and not columns:
        raise FitError(f"{metric}: form {form.value}: must be measured at more than one size")
    if form is Form.POWER and (values.min() <= 0 or any(size[c] <= 0 for size in sizes for c in columns)):
        raise FitError(f"{metric}: form power: all sizes and values must be above 0")


def _group_by_size(form: Form, columns: Sequence[str], sizes: Sequence[Size]) -> list[int]:
    """Return the index of each size's group; sizes that are equal for the form are in the same group."""
    keys: list[tuple[float, ...]]
    if form is Form.PRODUCT:
        keys = [(math.prod(float(size[c]) for c in columns),) for size in sizes]
    else:
        keys = [tuple(float(size[c]) for c in columns) for size in sizes]
    indices = {key: index for index, key in enumerate(sorted(set(keys)))}
    return [indices[key] for key in keys]


def _column_scales(rows: Array) -> Array:
    """Return the largest absolute value of each column, by which the columns are divided.

    Without the division, columns such as 1 and routers x caches would differ by a factor of millions, and the
    solution would lose digits.
    """
    scales = np.asarray(np.abs(rows).max(axis=0), dtype=np.float64)
    scales[scales == 0] = 1.0
    return scales


def _solve(metric: str, form: Form, rows: Array, values: Array) -> Array:
    """Return the coefficients; raises FitError if the columns are collinear."""
    centred = rows[:, 1:] - rows[:, 1:].mean(axis=0)
    norms = np.linalg.norm(centred, axis=0)
    collinear = not norms.all()
    if not collinear and centred.shape[1] > 1:
        collinear = float(np.linalg.cond(centred / norms)) > MAX_CONDITION_NUMBER
    if collinear:
        raise FitError(f"{metric}: form {form.value}: its columns must not be collinear")
    scales = _column_scales(rows)
    targets = np.log(values) if form is Form.POWER else values
    solution = np.linalg.lstsq(rows / scales, targets, rcond=None)[0]
    return np.asarray(solution / scales, dtype=np.float64)


def _predict(form: Form, rows: Array, coefficients: Array) -> Array:
    values = rows @ coefficients
    return np.asarray(np.exp(values) if form is Form.POWER else values, dtype=np.float64)


def _mean_square(residuals: Array, degrees_of_freedom: int) -> float:
    return float(residuals @ residuals) / degrees_of_freedom if degrees_of_freedom else 0.0


def _covariance(rows: Array, variance: float) -> Array:
    scales = _column_scales(rows)
    scaled = rows / scales
    covariance = variance * np.linalg.inv(scaled.T @ scaled) / np.outer(scales, scales)
    return np.asarray(covariance, dtype=np.float64)


def _cross_validation_error(
    metric: str, form: Form, rows: Array, values: Array, groups: Sequence[int]
) -> float:
    """Return the root mean square error at all sizes, as a share of the mean at each size.

    For each size, the form is fitted to all others. NaN if there is only one size, or if the form can't be
    fitted without one of the sizes.
    """
    labels = np.array(groups)
    if not labels.any():
        return math.nan
    mean_magnitude = float(np.abs(values).mean())
    errors = []
    for group in range(max(groups) + 1):
        training = labels != group
        try:
            coefficients = _solve(metric, form, rows[training], values[training])
        except FitError:
            return math.nan
        # if the mean is 0, errors are relative to the mean magnitude over all sizes
        scale = abs(float(values[~training].mean())) or mean_magnitude or 1.0
        relative_errors = (_predict(form, rows[~training], coefficients) - values[~training]) / scale
        errors.append(float(np.mean(relative_errors**2)))
    return math.sqrt(sum(errors) / len(errors))
