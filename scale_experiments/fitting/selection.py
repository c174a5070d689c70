"""The selection of the form with the best fit to a metric."""

from __future__ import annotations

import math
from collections.abc import Iterator, Sequence

from scale_experiments.fitting.forms import Fit, FitError, Form
from scale_experiments.fitting.interpolation import fit_interpolated
from scale_experiments.fitting.observations import (
    CONFOUNDED_COLUMNS,
    PRODUCT_COLUMNS,
    Observation,
    varying_columns,
)
from scale_experiments.fitting.regression import fit_regression
from scale_experiments.measurement.estimate import ROUNDING_TOLERANCE

SIGNIFICANCE_THRESHOLD = 2.0  # standard errors above which a slope is significant


def fit_form(
    metric: str, form: Form, observations: Sequence[Observation], columns: Sequence[str] | None = None
) -> Fit:
    """Fit one form over columns, by default all that vary; raises FitError if it can't be fitted."""
    if not observations:
        raise FitError(f"{metric}: no samples")
    if columns is None:
        columns = varying_columns([o.size for o in observations])
    if form is not Form.INTERPOLATED:
        return fit_regression(metric, form, observations, tuple(columns))
    if len(columns) != 1:
        raise FitError(f"{metric}: form {form.value}: must have one column, not {list(columns)}")
    return fit_interpolated(metric, observations, columns[0])


def fit_all_forms(metric: str, observations: Sequence[Observation]) -> list[Fit]:
    """Return the fits of all forms that can be fitted, the best first; raises FitError without observations.

    The best fit has the smallest cross-validation error. This error is relative to the measured values, so
    that all sizes have the same weight. The constant is the best fit if no slope of a linear form is
    significant.
    """
    fits = []
    for form, columns in _candidates(observations):
        try:
            fits.append(fit_form(metric, form, observations, columns))
        except FitError:
            continue
    if not fits:
        raise FitError(f"{metric}: no samples")
    constant, others = fits[0], fits[1:]
    others.sort(key=_selection_error)
    linear = [fit for fit in others if fit.form is Form.LINEAR]
    magnitude = max(abs(o.value) for o in observations)
    if linear and not any(_has_significant_slope(fit, magnitude) for fit in linear):
        return [constant, *others]
    return [*others, constant]


def best_fit(metric: str, observations: Sequence[Observation]) -> Fit:
    """Return the best fit to a metric; raises FitError without observations."""
    return fit_all_forms(metric, observations)[0]


def _candidates(observations: Sequence[Observation]) -> Iterator[tuple[Form, tuple[str, ...]]]:
    """Yield the forms to fit with the columns of each, the simplest first."""
    columns = varying_columns([o.size for o in observations])
    yield Form.CONSTANT, columns
    independent = sorted(
        (c for c in columns if c not in CONFOUNDED_COLUMNS), key=lambda c: (c not in PRODUCT_COLUMNS, c)
    )
    for form in (Form.LINEAR, Form.POWER):
        for column in independent or columns:
            yield form, (column,)
        if len(independent) > 1:
            yield form, tuple(independent)
    if set(PRODUCT_COLUMNS) <= set(columns):
        yield Form.PRODUCT, PRODUCT_COLUMNS


def _selection_error(fit: Fit) -> float:
    """Return the cross-validation error by which fits are sorted, rounded to four digits.

    Rounding makes equivalent forms equal on every machine, so that the simplest of them comes first.
    """
    if math.isnan(fit.cross_validation_error):
        return math.inf
    return float(f"{max(fit.cross_validation_error, ROUNDING_TOLERANCE):.4g}")


def _has_significant_slope(fit: Fit, magnitude: float) -> bool:
    """Return whether any slope of a linear fit is large compared with its standard and rounding errors."""
    return any(
        abs(slope.value)
        > max(
            SIGNIFICANCE_THRESHOLD * slope.standard_error,
            ROUNDING_TOLERANCE * magnitude / fit.largest[column],
        )
        for column, slope in fit.slopes.items()
    )
