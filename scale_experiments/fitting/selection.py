"""The best form for a metric."""

from __future__ import annotations

import math
from collections.abc import Iterator, Sequence

from scale_experiments.fitting.least_squares import fit_form
from scale_experiments.fitting.model import Fit, FitError, Form
from scale_experiments.fitting.observations import ALONG, PAIR, Size, varying
from scale_experiments.number_format import NOISE

SIGNIFICANT = 2.0  # standard errors from nothing below which a slope counts as none


def _candidates(points: Sequence[tuple[Size, float]]) -> Iterator[tuple[Form, tuple[str, ...]]]:
    """The forms to try and the columns of each, the plainest first."""
    columns = varying(points)
    yield Form.CONSTANT, columns
    alone = sorted((c for c in columns if c not in ALONG), key=lambda c: (c not in PAIR, c))
    for form in (Form.LINEAR, Form.POWER):
        for column in alone or columns:
            yield form, (column,)
        if len(alone) > 1:
            yield form, tuple(alone)
    if set(PAIR) <= set(columns):
        yield Form.PRODUCT, PAIR


def fit_all(metric: str, points: Sequence[tuple[Size, float]]) -> list[Fit]:
    """All forms that can be fitted, the best first; raises FitError without samples.

    The best foretells a size left out with the smallest error as a share of what was measured there, so that
    all sizes weigh alike. The constant is the best where no slope of a line stands out from its error.
    """
    fits = []
    for form, columns in _candidates(points):
        try:
            fits.append(fit_form(metric, form, points, columns))
        except FitError:
            continue
    if not fits:
        raise FitError(f"{metric}: no samples")
    constant, others = fits[0], fits[1:]
    # to few digits: of forms that say the same, the plainest is the best on every machine
    others.sort(key=lambda f: math.inf if math.isnan(f.left_out) else float(f"{max(f.left_out, NOISE):.4g}"))
    lines = [f for f in others if f.form is Form.LINEAR]
    usual = max(abs(value) for _, value in points)
    flat = lines and not any(
        abs(slope) > max(SIGNIFICANT * error, NOISE * usual / f.largest[column])
        for f in lines
        for column, (slope, error) in f.slopes.items()
    )
    return [constant, *others] if flat else [*others, constant]


def best_fit(metric: str, points: Sequence[tuple[Size, float]]) -> Fit:
    """The best form for a metric; raises FitError without samples."""
    return fit_all(metric, points)[0]
