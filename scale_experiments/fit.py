"""Least-squares fits of what was measured against the sizes at which it was measured.

A result holds samples; each has a size (numbers by name, such as `routers` and `caches`) and metrics. For
each metric a few forms are fitted over the columns of the size that vary, over all of them together and over
each alone, and the one is kept that foretells best the size that was left out. A value at another size comes
with its standard error and with how far it lies beyond what was measured.
"""

from __future__ import annotations

import sys
from collections.abc import Sequence
from pathlib import Path

from scale_experiments.experiment import InputError
from scale_experiments.fitting.forms import FitError, describe_slopes
from scale_experiments.fitting.observations import Size, observations_of
from scale_experiments.fitting.selection import fit_all_forms
from scale_experiments.number_format import format_number
from scale_experiments.results import Result, load_result
from scale_experiments.target import Target, load_target

HEADROOM_FACTOR = 1.5  # times the target: how far a mechanism must hold


def target_columns(target: Target) -> dict[str, float]:
    """The columns that sizes may have, at the target."""
    return {**target.target.model_dump(), "changes_per_s": target.list_changes_per_s()}


def describe_result(result: Result, target: Size) -> list[str]:
    """The lines that `fit` prints for one result: each metric with all its forms, the best first."""
    lines = [
        f"{result.experiment}: {len(result.samples)} samples" + ("" if result.complete else ", not complete")
    ]
    for metric in sorted({m for s in result.samples for m in s.metrics}):
        for rank, fit in enumerate(fit_all_forms(metric, observations_of(result, metric))):
            lines.append(
                f"  {metric if not rank else '':<28} {'*' if not rank else ' '} {fit.form.value:<9}"
                f" {describe_slopes(fit)}; residual {format_number(fit.residual)},"
                f" left out {fit.cross_validation_error:.1%}"
            )
            if rank:
                continue
            for name, factor in (("target", 1.0), (f"{HEADROOM_FACTOR:g} x target", HEADROOM_FACTOR)):
                # a column that has no target stays at the largest that was measured
                size = {c: target[c] * factor if c in target else fit.largest[c] for c in fit.columns}
                value, error = fit.value(size)
                at = ", ".join(f"{c} {format_number(x, 5)}" for c, x in size.items()) or "any size"
                lines.append(
                    f"  {'':<28}   at {name} ({at}): {format_number(value)} ± {format_number(error, 2)},"
                    f" {format_number(fit.extrapolation_factor(size))} times the largest measured"
                )
    return lines


def main(paths: Sequence[Path]) -> int:
    """Print the fits of results. 0, or 2 with one line on standard error where a file can't be used."""
    try:
        target = target_columns(load_target())
        for path in paths:
            for line in describe_result(load_result(path), target):
                print(line)
    except (InputError, FitError) as e:
        print(e, file=sys.stderr)
        return 2
    return 0
