"""The command `fit`: prints least-squares fits of a result's metrics against the sizes of its samples.

Several forms are fitted to each metric: over each varying column of the size alone, and over all of them.
The best fit has the smallest cross-validation error. A value at another size is printed with its standard
error and with the extrapolation factor: its ratio to the largest measured size.
"""

from __future__ import annotations

import sys
from collections.abc import Iterator, Sequence
from pathlib import Path

from scale_experiments.commands.exit_status import ExitStatus
from scale_experiments.fitting.forms import Fit, FitError
from scale_experiments.fitting.observations import Size, observations_of
from scale_experiments.fitting.selection import fit_all_forms
from scale_experiments.number_format import ERROR_DIGITS, SIZE_DIGITS, format_number
from scale_experiments.runs.input_files import InputError
from scale_experiments.runs.results import Result, load_result
from scale_experiments.target import HEADROOM_FACTOR, Target, load_target

METRIC_WIDTH = 28  # width of the column of metric names, in characters


def target_columns(target: Target) -> dict[str, float]:
    """Return the values of the columns of a size at the target."""
    return {**target.target.model_dump(), "changes_per_s": target.list_changes_per_s()}


def describe_result(result: Result, target: Size) -> list[str]:
    """Return the lines that are printed for a result: each metric with all its fits, the best first."""
    incomplete = "" if result.complete else ", incomplete"
    lines = [f"{result.experiment}: {len(result.samples)} samples{incomplete}"]
    for metric in sorted({metric for sample in result.samples for metric in sample.metrics}):
        best, *others = fit_all_forms(metric, observations_of(result, metric))
        lines.append(f"  {metric:<{METRIC_WIDTH}} * {_describe_fit(best)}")
        lines += _describe_predictions(best, target)
        lines += [f"  {'':<{METRIC_WIDTH}}   {_describe_fit(fit)}" for fit in others]
    return lines


def _describe_fit(fit: Fit) -> str:
    return (
        f"{fit.form.value:<9} {fit.describe()}; residual {format_number(fit.residual)},"
        f" cross-validation error {fit.cross_validation_error:.1%}"
    )


def _describe_predictions(fit: Fit, target: Size) -> Iterator[str]:
    """Yield the values at the target and beyond it; a column without a target keeps its largest value."""
    for name, factor in (("target", 1.0), (f"{HEADROOM_FACTOR:g} x target", HEADROOM_FACTOR)):
        size = {c: target[c] * factor if c in target else fit.largest[c] for c in fit.columns}
        estimate = fit.predict(size)
        size_text = ", ".join(f"{c} {format_number(x, SIZE_DIGITS)}" for c, x in size.items()) or "any size"
        yield (
            f"  {'':<{METRIC_WIDTH}}   at {name} ({size_text}): {format_number(estimate.value)}"
            f" ± {format_number(estimate.standard_error, ERROR_DIGITS)},"
            f" {format_number(fit.extrapolation_factor(size))} times the largest measured size"
        )


def main(paths: Sequence[Path]) -> ExitStatus:
    """Print the fits of results, or one line on standard error if a file can't be used."""
    try:
        target = target_columns(load_target())
        for path in paths:
            for line in describe_result(load_result(path), target):
                print(line)
    except (InputError, FitError) as e:
        print(e, file=sys.stderr)
        return ExitStatus.BAD_INPUT
    return ExitStatus.SUCCESS
