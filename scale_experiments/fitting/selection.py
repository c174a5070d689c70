"""The best form for a metric."""

from __future__ import annotations

import math
from collections.abc import Iterator, Sequence

from scale_experiments.fitting.forms import Fit, FitError, Form
from scale_experiments.fitting.least_squares import fit_form
from scale_experiments.fitting.observations import CONFOUNDED_COLUMNS, PRODUCT_COLUMNS, Size, varying_columns
from scale_experiments.number_format import ROUNDING_TOLERANCE

SIGNIFICANCE_ERRORS = 2.0  # standard errors from nothing below which a slope counts as none


def _candidates(observations: Sequence[tuple[Size, float]]) -> Iterator[tuple[Form, tuple[str, ...]]]:
    """The forms to try and the columns of each, the plainest first."""
    columns = varying_columns(observations)
    yield Form.CONSTANT, columns
    alone = sorted(
        (c for c in columns if c not in CONFOUNDED_COLUMNS), key=lambda c: (c not in PRODUCT_COLUMNS, c)
    )
    for form in (Form.LINEAR, Form.POWER):
        for column in alone or columns:
            yield form, (column,)
        if len(alone) > 1:
            yield form, tuple(alone)
    if set(PRODUCT_COLUMNS) <= set(columns):
        yield Form.PRODUCT, PRODUCT_COLUMNS


def fit_all_forms(metric: str, observations: Sequence[tuple[Size, float]]) -> list[Fit]:
    """All forms that can be fitted, the best first; raises FitError without samples.

    The best foretells a size left out with the smallest error as a share of what was measured there, so that
    all sizes weigh alike. The constant is the best where no slope of a line stands out from its error.
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
    # to few digits: of forms that say the same, the plainest is the best on every machine
    others.sort(
        key=lambda f: (
            math.inf
            if math.isnan(f.cross_validation_error)
            else float(f"{max(f.cross_validation_error, ROUNDING_TOLERANCE):.4g}")
        )
    )
    lines = [f for f in others if f.form is Form.LINEAR]
    typical = max(abs(value) for _, value in observations)
    flat = lines and not any(
        abs(slope) > max(SIGNIFICANCE_ERRORS * error, ROUNDING_TOLERANCE * typical / f.largest[column])
        for f in lines
        for column, (slope, error) in f.slopes.items()
    )
    return [constant, *others] if flat else [*others, constant]


def best_fit(metric: str, observations: Sequence[tuple[Size, float]]) -> Fit:
    """The best form for a metric; raises FitError without samples."""
    return fit_all_forms(metric, observations)[0]
