"""What was measured, from size to size, where no form follows it."""

from __future__ import annotations

import math
from collections.abc import Sequence

import numpy as np

from scale_experiments.fitting.model import Fit, FitError, Form, _between
from scale_experiments.fitting.observations import Size


def fit_between(metric: str, points: Sequence[tuple[Size, float]], column: str) -> Fit:
    """What was measured, from size to size along a column; raises FitError below three sizes, or at 0."""
    found: dict[float, list[float]] = {}
    for size, value in points:
        found.setdefault(float(size[column]), []).append(value)
    knots = tuple(sorted(found))
    means = np.array([math.fsum(found[k]) / len(found[k]) for k in knots], dtype=np.float64)
    if len(knots) < 3 or knots[0] <= 0 or means.min() <= 0:
        raise FitError(f"{metric}: wants three sizes and all above 0")
    off = [
        _between((*knots[:i], *knots[i + 1 :]), np.delete(means, i), knots[i]) / float(means[i]) - 1
        for i in range(1, len(knots) - 1)
    ]
    spread = [value - float(mean) for k, mean in zip(knots, means, strict=True) for value in found[k]]
    free = len(points) - len(knots)
    return Fit(
        metric=metric,
        form=Form.BETWEEN,
        columns=(column,),
        coefficients=means,
        covariance=np.zeros((0, 0)),
        residual=math.sqrt(math.fsum(x * x for x in spread) / free) if free else 0.0,
        left_out=math.sqrt(math.fsum(x * x for x in off) / len(off)),
        samples=len(points),
        sizes=len(knots),
        largest={column: knots[-1]},
        fixed={},
        knots=knots,
    )
