"""Least-squares fits of one form."""

from __future__ import annotations

import math
from collections.abc import Sequence

import numpy as np

from scale_experiments.fitting.forms import Array, Fit, FitError, Form, design_matrix
from scale_experiments.fitting.interpolation import fit_interpolated
from scale_experiments.fitting.observations import Size, varying_columns

MAX_CONDITION_NUMBER = (
    20.0  # condition number from which columns move together, and no slope is any one's own
)


def _solve(form: Form, rows: Array, values: Array) -> Array:
    """The coefficients; raises FitError where the rows do not tell them apart."""
    moved = rows[:, 1:] - rows[:, 1:].mean(axis=0)
    lengths = np.linalg.norm(moved, axis=0)
    if (
        not lengths.all()
        or moved.shape[1] > 1
        and float(np.linalg.cond(moved / lengths)) > MAX_CONDITION_NUMBER
    ):
        raise FitError("columns move together")
    # guards against lost digits: routers x caches and 1 differ by millions
    scale = np.abs(rows).max(axis=0)
    scale[scale == 0] = 1.0
    solution = np.linalg.lstsq(rows / scale, np.log(values) if form is Form.POWER else values, rcond=None)[0]
    return np.asarray(solution / scale, dtype=np.float64)


def _predict(form: Form, rows: Array, coefficients: Array) -> Array:
    values = rows @ coefficients
    return np.asarray(np.exp(values) if form is Form.POWER else values, dtype=np.float64)


def _cross_validation_error(form: Form, rows: Array, values: Array, groups: Sequence[int]) -> float:
    """Root of the mean square error at each size, foretold from all others, as a share of the mean there."""
    errors = []
    labels = np.array(groups)
    typical = float(np.abs(values).mean())
    for group in sorted(set(groups)):
        kept = labels != group
        try:
            coefficients = _solve(form, rows[kept], values[kept])
        except FitError:
            return math.nan
        # guards against a size at which there is nothing: its errors count as shares of what is usual
        there = abs(float(values[~kept].mean())) or typical or 1.0
        shares = (_predict(form, rows[~kept], coefficients) - values[~kept]) / there
        errors.append(float(np.mean(shares**2)))
    return math.sqrt(sum(errors) / len(errors))


def fit_form(
    metric: str, form: Form, observations: Sequence[tuple[Size, float]], columns: Sequence[str] | None = None
) -> Fit:
    """Fit one form over columns, all that vary unless given.

    Raises FitError where there are too few sizes for it, or where its columns move together.
    """
    if not observations:
        raise FitError(f"{metric}: no samples")
    columns = tuple(varying_columns(observations) if columns is None else columns)
    if form is Form.INTERPOLATED:
        if len(columns) != 1:
            raise FitError(f"{metric}: wants one column to go along")
        return fit_interpolated(metric, observations, columns[0])
    if form is not Form.CONSTANT and not columns:
        raise FitError(f"{metric}: only one size")
    values = np.array([value for _, value in observations], dtype=np.float64)
    sizes = [size for size, _ in observations]
    if form is Form.POWER and (values.min() <= 0 or any(size[c] <= 0 for size in sizes for c in columns)):
        raise FitError(f"{metric}: not all above 0")
    # a product is told apart by its value, all others by their columns
    keys = [
        (math.prod(float(size[c]) for c in columns),)
        if form is Form.PRODUCT
        else tuple(float(size[c]) for c in columns)
        for size in sizes
    ]
    distinct = sorted(set(keys))
    rows = design_matrix(form, columns, sizes)
    degrees_of_freedom = len(observations) - rows.shape[1]
    if form is not Form.CONSTANT and (degrees_of_freedom < 1 or len(distinct) <= rows.shape[1]):
        raise FitError(f"{metric}: too few sizes for an error")
    coefficients = _solve(form, rows, values)
    residuals = values - _predict(form, rows, coefficients)
    fitted = np.log(values) - rows @ coefficients if form is Form.POWER else residuals
    variance = float(fitted @ fitted) / degrees_of_freedom if degrees_of_freedom else 0.0
    scale = np.abs(rows).max(axis=0)
    scale[scale == 0] = 1.0
    scaled = rows / scale
    covariance = variance * np.linalg.inv(scaled.T @ scaled) / np.outer(scale, scale)
    return Fit(
        metric=metric,
        form=form,
        columns=columns,
        coefficients=coefficients,
        covariance=np.asarray(covariance, dtype=np.float64),
        residual=math.sqrt(float(residuals @ residuals) / degrees_of_freedom) if degrees_of_freedom else 0.0,
        cross_validation_error=_cross_validation_error(form, rows, values, [distinct.index(k) for k in keys])
        if len(distinct) > 1
        else math.nan,
        samples=len(observations),
        sizes=len(distinct),
        largest={c: max(float(size[c]) for size in sizes) for c in columns},
        fixed={c: float(x) for c, x in sorted(sizes[0].items()) if all(size.get(c) == x for size in sizes)},
    )
