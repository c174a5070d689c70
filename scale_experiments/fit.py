"""Least-squares fits of what was measured against the sizes at which it was measured.

A result holds samples; each has a size (numbers by name, such as `routers` and `caches`) and metrics. For
each metric a few forms are fitted over the columns of the size that vary, over all of them together and over
each alone, and the one is kept that foretells best the size that was left out. A value at another size comes
with its standard error and with how far it lies beyond what was measured.
"""

from __future__ import annotations

import bisect
import math
import sys
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from pathlib import Path

import numpy as np
import numpy.typing as npt

from scale_experiments.experiment import InputError
from scale_experiments.results import Result, load_result
from scale_experiments.target import Target, load_target

Array = npt.NDArray[np.float64]
Size = Mapping[str, float]

BEYOND = 1.5  # times the target: how far a mechanism must hold
SIGNIFICANT = 2.0  # standard errors from nothing below which a slope counts as none
TOGETHER = 20.0  # condition number from which columns move together, and no slope is any one's own
PAIR = ("routers", "caches")  # whose product may be what counts
# columns that grow with the fleet, or that say how long was waited: no causes by themselves
ALONG = ("regions", "sites", "warm_s", "zones")
NEAR = 0.01  # of a size: no farther off, it is the same
NOISE = 1e-9  # of a value: below it is what arithmetic leaves, which differs from machine to machine
DIGITS = 3


class FitError(ValueError):
    """Samples that no form can be fitted to."""


class Form(Enum):
    """How a metric is taken to follow the columns that vary."""

    CONSTANT = "constant"  # a
    LINEAR = "linear"  # a + the sum of b x over the columns x
    PRODUCT = "product"  # a + b times the product of the columns
    POWER = "power"  # a times the product of x ** b; fitted to the logarithms
    BETWEEN = "between"  # from size to size along one column, where no form follows; never chosen by itself


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
    left_out: (
        float  # root of the mean square error at sizes left out of the fit; not a number where none could be
    )
    samples: int
    sizes: int
    largest: dict[str, float]
    fixed: dict[str, float]
    knots: tuple[float, ...] = ()

    @property
    def terms(self) -> tuple[str, ...]:
        """What each slope belongs to."""
        if self.form is Form.CONSTANT:
            return ()
        return (" x ".join(self.columns),) if self.form is Form.PRODUCT else self.columns

    @property
    def slopes(self) -> dict[str, tuple[float, float]]:
        """Term -> slope and its standard error; the exponent where the form is POWER."""
        if self.form is Form.BETWEEN:
            (x, last), (y, top) = self.knots[-2:], self.coefficients[-2:]
            return {self.columns[0]: (math.log(top / y) / math.log(last / x), math.nan)}
        errors = np.sqrt(np.maximum(np.diag(self.covariance), 0.0))
        pairs = zip(self.terms, self.coefficients[1:], errors[1:], strict=True)
        return {term: (float(slope), float(error)) for term, slope, error in pairs}

    def value(self, size: Size) -> tuple[float, float]:
        """The fitted value at a size and its standard error, in the metric's unit."""
        if self.form is Form.BETWEEN:
            value = _between(self.knots, self.coefficients, float(size[self.columns[0]]))
            return value, value * self.left_out
        row = design(self.form, self.columns, [size])[0]
        value = float(row @ self.coefficients)
        error = math.sqrt(max(0.0, float(row @ self.covariance @ row)))
        if self.form is Form.POWER:
            return math.exp(value), math.exp(value) * error
        return value, error

    def beyond(self, size: Size) -> float:
        """How far a size lies beyond the largest measured, as the largest ratio of its columns; 1 within."""
        return max((size[c] / self.largest[c] for c in self.columns if self.largest[c] > 0), default=1.0)


def design(form: Form, columns: Sequence[str], sizes: Sequence[Size]) -> Array:
    """One row a size: 1 and what the form's slopes are multiplied by. n x k."""
    table = np.array([[float(size[c]) for c in columns] for size in sizes], dtype=np.float64)
    table = table.reshape(len(sizes), len(columns))
    ones = np.ones((len(sizes), 1))
    if form is Form.CONSTANT:
        return ones
    if form is Form.PRODUCT:
        return np.hstack([ones, table.prod(axis=1, keepdims=True)])
    return np.hstack([ones, np.log(table) if form is Form.POWER else table])


def _solve(form: Form, rows: Array, values: Array) -> Array:
    """The coefficients; raises FitError where the rows do not tell them apart."""
    moved = rows[:, 1:] - rows[:, 1:].mean(axis=0)
    lengths = np.linalg.norm(moved, axis=0)
    if not lengths.all() or moved.shape[1] > 1 and float(np.linalg.cond(moved / lengths)) > TOGETHER:
        raise FitError("columns move together")
    # guards against lost digits: routers x caches and 1 differ by millions
    scale = np.abs(rows).max(axis=0)
    scale[scale == 0] = 1.0
    solution = np.linalg.lstsq(rows / scale, np.log(values) if form is Form.POWER else values, rcond=None)[0]
    return np.asarray(solution / scale, dtype=np.float64)


def _foretold(form: Form, rows: Array, coefficients: Array) -> Array:
    values = rows @ coefficients
    return np.asarray(np.exp(values) if form is Form.POWER else values, dtype=np.float64)


def _left_out(form: Form, rows: Array, values: Array, groups: Sequence[int]) -> float:
    """Root of the mean square error at each size, foretold from all others, as a share of the mean there."""
    errors = []
    labels = np.array(groups)
    usual = float(np.abs(values).mean())
    for group in sorted(set(groups)):
        kept = labels != group
        try:
            coefficients = _solve(form, rows[kept], values[kept])
        except FitError:
            return math.nan
        # guards against a size at which there is nothing: its errors count as shares of what is usual
        there = abs(float(values[~kept].mean())) or usual or 1.0
        shares = (_foretold(form, rows[~kept], coefficients) - values[~kept]) / there
        errors.append(float(np.mean(shares**2)))
    return math.sqrt(sum(errors) / len(errors))


def _between(knots: Sequence[float], values: Array, x: float) -> float:
    """The value at x on the power through the two knots round it, or the nearest two."""
    i = min(max(bisect.bisect_right(knots, x), 1), len(knots) - 1)
    share = math.log(x / knots[i - 1]) / math.log(knots[i] / knots[i - 1])
    return float(values[i - 1] * (values[i] / values[i - 1]) ** share)


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


def varying(points: Sequence[tuple[Size, float]]) -> tuple[str, ...]:
    """The columns that all sizes have and that vary."""
    names = sorted(set.intersection(*(set(size) for size, _ in points))) if points else []
    return tuple(c for c in names if len({float(size[c]) for size, _ in points}) > 1)


def fit_form(
    metric: str, form: Form, points: Sequence[tuple[Size, float]], columns: Sequence[str] | None = None
) -> Fit:
    """Fit one form over columns, all that vary unless given.

    Raises FitError where there are too few sizes for it, or where its columns move together.
    """
    if not points:
        raise FitError(f"{metric}: no samples")
    columns = tuple(varying(points) if columns is None else columns)
    if form is Form.BETWEEN:
        if len(columns) != 1:
            raise FitError(f"{metric}: wants one column to go along")
        return fit_between(metric, points, columns[0])
    if form is not Form.CONSTANT and not columns:
        raise FitError(f"{metric}: only one size")
    values = np.array([value for _, value in points], dtype=np.float64)
    sizes = [size for size, _ in points]
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
    rows = design(form, columns, sizes)
    free = len(points) - rows.shape[1]
    if form is not Form.CONSTANT and (free < 1 or len(distinct) <= rows.shape[1]):
        raise FitError(f"{metric}: too few sizes for an error")
    coefficients = _solve(form, rows, values)
    residuals = values - _foretold(form, rows, coefficients)
    fitted = np.log(values) - rows @ coefficients if form is Form.POWER else residuals
    variance = float(fitted @ fitted) / free if free else 0.0
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
        residual=math.sqrt(float(residuals @ residuals) / free) if free else 0.0,
        left_out=_left_out(form, rows, values, [distinct.index(k) for k in keys])
        if len(distinct) > 1
        else math.nan,
        samples=len(points),
        sizes=len(distinct),
        largest={c: max(float(size[c]) for size in sizes) for c in columns},
        fixed={c: float(x) for c, x in sorted(sizes[0].items()) if all(size.get(c) == x for size in sizes)},
    )


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


def largest_only(points: Sequence[tuple[Size, float]]) -> list[tuple[Size, float]]:
    """The values at the largest size, by the product of its columns that vary."""
    columns = varying(points)
    sizes = [math.prod(float(size[c]) for c in columns) for size, _ in points]
    return [point for point, size in zip(points, sizes, strict=True) if size == max(sizes)]


def points_of(result: Result, metric: str) -> list[tuple[Size, float]]:
    """The samples of a result that hold a metric, as size and value."""
    return [(s.size, s.metrics[metric]) for s in result.samples if metric in s.metrics]


def number(value: float, digits: int = DIGITS) -> str:
    """A number in plain digits where it is neither very large nor very small; the same on every machine."""
    if not math.isfinite(value):
        return "not known"
    text = f"{value:.{digits}g}"
    if "e" not in text:
        return text
    return f"{float(text):,.0f}" if 1 <= abs(value) < 1e15 else text


def with_error(value: float, error: float) -> str:
    """A number and its standard error, which is nothing where it is only noise of the arithmetic."""
    return f"{number(value)} ± {number(error if error > NOISE * abs(value) else 0.0, 2)}"


def describe_slopes(fit: Fit) -> str:
    """The slopes of a fit with their standard errors, in words."""
    if fit.form is Form.CONSTANT:
        value, error = fit.value({c: fit.largest[c] for c in fit.columns})
        return f"constant {with_error(value, error)}"
    if fit.form is Form.BETWEEN:
        ((term, (slope, _)),) = fit.slopes.items()
        return f"between sizes, at the largest exponent {number(slope)} over {term}"
    kind = "exponent" if fit.form is Form.POWER else "slope"
    each = (f"{kind} {with_error(b, e)} over {term}" for term, (b, e) in fit.slopes.items())
    return ", ".join(each)


def mean_near(points: Sequence[tuple[Size, float]], size: Size) -> float | None:
    """The mean of what was measured at a size, a hundredth more or less by column; None if nothing was."""
    near = [
        value
        for measured, value in points
        if all(abs(measured[column] - x) <= NEAR * abs(x) for column, x in size.items() if column in measured)
    ]
    return math.fsum(near) / len(near) if near else None


def target_size(target: Target) -> dict[str, float]:
    """The columns that sizes may have, at the target."""
    return {**target.target.model_dump(), "changes_per_s": target.list_changes_per_s()}


def report_result(result: Result, target: Size) -> list[str]:
    """The lines that `fit` prints for one result: each metric with all its forms, the best first."""
    lines = [
        f"{result.experiment}: {len(result.samples)} samples" + ("" if result.complete else ", not complete")
    ]
    for metric in sorted({m for s in result.samples for m in s.metrics}):
        for rank, fit in enumerate(fit_all(metric, points_of(result, metric))):
            lines.append(
                f"  {metric if not rank else '':<28} {'*' if not rank else ' '} {fit.form.value:<9}"
                f" {describe_slopes(fit)}; residual {number(fit.residual)}, left out {fit.left_out:.1%}"
            )
            if rank:
                continue
            for name, factor in (("target", 1.0), (f"{BEYOND:g} x target", BEYOND)):
                # a column that has no target stays at the largest that was measured
                size = {c: target[c] * factor if c in target else fit.largest[c] for c in fit.columns}
                value, error = fit.value(size)
                at = ", ".join(f"{c} {number(x, 5)}" for c, x in size.items()) or "any size"
                lines.append(
                    f"  {'':<28}   at {name} ({at}): {number(value)} ± {number(error, 2)},"
                    f" {number(fit.beyond(size))} times the largest measured"
                )
    return lines


def main(paths: Sequence[Path]) -> int:
    """Print the fits of results. 0, or 2 with one line on standard error where a file can't be used."""
    try:
        target = target_size(load_target())
        for path in paths:
            for line in report_result(load_result(path), target):
                print(line)
    except (InputError, FitError) as e:
        print(e, file=sys.stderr)
        return 2
    return 0
