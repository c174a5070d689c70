"""What was measured, from size to size, where no form follows it."""

from __future__ import annotations

import math
from collections.abc import Sequence

import numpy as np

from scale_experiments.fitting.forms import Fit, FitError, Form, interpolate
from scale_experiments.fitting.observations import Size


def fit_interpolated(metric: str, observations: Sequence[tuple[Size, float]], column: str) -> Fit:
    """What was measured, from size to size along a column; raises FitError below three sizes, or at 0."""
    values_by_size: dict[float, list[float]] = {}
    for size, value in observations:
        values_by_size.setdefault(float(size[column]), []).append(value)
    knot_sizes = tuple(sorted(values_by_size))
    means = np.array(
        [math.fsum(values_by_size[k]) / len(values_by_size[k]) for k in knot_sizes], dtype=np.float64
    )
    if len(knot_sizes) < 3 or knot_sizes[0] <= 0 or means.min() <= 0:
        raise FitError(f"{metric}: wants three sizes and all above 0")
    errors = [
        interpolate((*knot_sizes[:i], *knot_sizes[i + 1 :]), np.delete(means, i), knot_sizes[i])
        / float(means[i])
        - 1
        for i in range(1, len(knot_sizes) - 1)
    ]
    spread = [
        value - float(mean) for k, mean in zip(knot_sizes, means, strict=True) for value in values_by_size[k]
    ]
    degrees_of_freedom = len(observations) - len(knot_sizes)
    return Fit(
        metric=metric,
        form=Form.INTERPOLATED,
        columns=(column,),
        coefficients=means,
        covariance=np.zeros((0, 0)),
        residual=math.sqrt(math.fsum(x * x for x in spread) / degrees_of_freedom)
        if degrees_of_freedom
        else 0.0,
        cross_validation_error=math.sqrt(math.fsum(x * x for x in errors) / len(errors)),
        samples=len(observations),
        sizes=len(knot_sizes),
        largest={column: knot_sizes[-1]},
        fixed={},
        knot_sizes=knot_sizes,
    )
