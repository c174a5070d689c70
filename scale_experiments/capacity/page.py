"""The tables of the page."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from functools import cached_property
from pathlib import Path

from scale_experiments.capacity.formatting import (
    format_mechanism,
    format_quantity,
    format_size,
    markdown_table,
)
from scale_experiments.capacity.model import CapacityModel, NotMeasured
from scale_experiments.capacity.paths import RESULTS_FOLDER
from scale_experiments.capacity.schema import (
    MISSING_MECHANISM,
    CapacityTable,
    Comparison,
    Demand,
    FailureImpact,
    Unit,
)
from scale_experiments.expression import Expression
from scale_experiments.fitting.forms import Fit, FitError, Form
from scale_experiments.fitting.observations import (
    PRODUCT_COLUMNS,
    SAME_SIZE_TOLERANCE,
    Observation,
    observations_of,
    varying_columns,
)
from scale_experiments.fitting.selection import best_fit, fit_form
from scale_experiments.number_format import format_number
from scale_experiments.results import Result
from scale_experiments.target import HEADROOM_FACTOR, Target

EXCEEDED_WHERE_MEASURED, KEPT_WHERE_MEASURED = "broken where measured", "not broken where measured"


@dataclass(slots=True, frozen=True)
class RankedDemand:
    """A line and where it breaks."""

    line: Demand
    at: float | None  # -1 where nothing carries it at any size
    today: float = 0.0
    target: float = 0.0
    beyond: float = 0.0


class Page:
    """The tables of the page."""

    def __init__(self, capacity: CapacityTable, target: Target, results: Path) -> None:
        self.capacity = capacity
        self.model = CapacityModel(capacity, target, results)
        self.baseline_model = CapacityModel(capacity, target, results, before=True)
        self.growth_path = self.model.growth_path

    @cached_property
    def parts(self) -> dict[str, list[str]]:
        """Name of a pair of markers -> the lines between them."""
        return {
            **{f"role {r.name}": self.role(r.name) for r in self.capacity.roles},
            "ranking": self.ranking(self.model),
            "ranking before": self.ranking(self.baseline_model),
            "contradictions": self.ranking(self.model, contradiction=True),
            **{f"event {e.name}": self.event(e.name) for e in self.capacity.events},
            **{f"comparison {c.result}": self.comparison(c) for c in self.capacity.comparisons},
            "figures": self.parameters(),
            "results": self.results(),
        }

    def role(self, role: str) -> list[str]:
        """All that a role carries."""
        rows = []
        target = self.growth_path.size(1.0)
        for line in (x for x in self.capacity.lines if x.role == role):
            what = f"{line.kind}: {line.what}" + (f" ({line.note})" if line.note else "")
            mechanism = format_mechanism(line.mechanism)
            allowed = "none given" if line.budget is None else "not measured"
            try:
                if (budget := self.model.budget(line, target)) is not None:
                    allowed = format_quantity(budget, line.unit)
                value, error = self.model.value(line, target)
                ratio = breaking_point_range = "-"
                if budget is not None:
                    ratio = format_number(self.model.ratio(line, target))
                    breaking_point_range = self.breaking_point_range(line)
                there = self.model.measured_at(line, target)
                at_target = format_quantity(value, line.unit, error)
                if there is not None:
                    at_target += f" (measured there: {format_quantity(there, line.unit)})"
                rows.append(
                    [
                        what,
                        at_target,
                        allowed,
                        ratio,
                        breaking_point_range,
                        self.model.sources(line),
                        self.model.basis(line),
                        mechanism,
                    ]
                )
            except NotMeasured as e:
                rows.append(
                    [what, "not measured", allowed, "-", "-", f"wants {e}", "not measured", mechanism]
                )
        header = [
            "what", "at the target", "budget", "ratio", "breaks at (routers / caches)", "worked out from",
            "known by", "carried by",
        ]  # fmt: skip
        return markdown_table(header, rows)

    def breaking_point_range(self, line: Demand) -> str:
        """Where a line breaks, and where it would a standard error to either side."""
        at = self.model.break_at(line)
        text = self.where(self.model, line, at)
        if self.model.is_single_size(line):
            return text
        if at == 0:
            today = self.model.ratio(line, self.growth_path.size(0.0))
            return f"{text} ({format_number(today)} times the budget)"
        early, late = self.model.break_at(line, 1.0), self.model.break_at(line, -1.0)
        if at is None or early == late:
            return text
        return f"{text} ({format_size(self.growth_path, early)} to {format_size(self.growth_path, late)})"

    def where(self, model: CapacityModel, line: Demand, at: float | None) -> str:
        """The size at which a line breaks, and how far that lies beyond what was measured."""
        if model.is_single_size(line):
            return EXCEEDED_WHERE_MEASURED if at == 0 else KEPT_WHERE_MEASURED
        text = format_size(self.growth_path, at)
        if at is None:
            return text
        far = model.extrapolation_factor(line, [line.value], self.growth_path.size(at))
        return (
            text
            if far <= 1.0 + SAME_SIZE_TOLERANCE
            else f"{text}, {format_number(far, 2)} times beyond what was measured"
        )

    def ranked_demands(self, model: CapacityModel, contradiction: bool = False) -> list[RankedDemand]:
        """The lines that have a budget and are measured, the smallest break first."""
        ranked_demands = []
        for line in self.capacity.lines:
            if line.budget is None or line.contradiction != contradiction:
                continue
            try:
                sizes = (self.growth_path.size(0.0), self.growth_path.size(1.0), self.growth_path.beyond())
                ranked_demands.append(
                    RankedDemand(line, model.break_at(line), *(model.ratio(line, size) for size in sizes))
                )
            except NotMeasured:
                if line.mechanism == MISSING_MECHANISM:
                    ranked_demands.append(RankedDemand(line, -1.0))
        return sorted(
            ranked_demands,
            key=lambda r: (math.inf if r.at is None else r.at, -r.today if r.at == 0 else -r.target),
        )

    def ranking(self, model: CapacityModel, contradiction: bool = False) -> list[str]:
        """Where lines break, the smallest size first."""
        titles = {r.name: r.title for r in self.capacity.roles}
        rows = []
        for i, r in enumerate(self.ranked_demands(model, contradiction)):
            row = [str(i + 1), titles[r.line.role], f"{r.line.kind}: {r.line.what}"]
            if r.at == -1.0:
                row += ["at any size", "-", "-", "-", "not measured"]
            else:
                row += [self.where(model, r.line, r.at), *map(format_number, (r.today, r.target, r.beyond))]
                row.append(model.basis(r.line))
            rows.append([*row, format_mechanism(r.line.mechanism)])
        header = [
            "", "role", "what", "breaks at (routers / caches)", "ratio today", "ratio at the target",
            f"ratio at {HEADROOM_FACTOR:g} times the target", "known by", "carried by",
        ]  # fmt: skip
        return markdown_table(header, rows)

    def event(self, event: str) -> list[str]:
        """What a failure costs each role."""
        titles = {r.name: r.title for r in self.capacity.roles}
        rows = []
        for failure in (x for x in self.capacity.failures if x.event == event):
            what = failure.what + (f" ({failure.note})" if failure.note else "")
            try:
                value = format_quantity(*self._told(failure, failure.value, failure.unit))
                recovery = (
                    "-"
                    if failure.recovery is None
                    else format_quantity(*self._told(failure, failure.recovery, "s"))
                )
                known = [self.model.sources(failure), self.model.basis(failure)]
            except NotMeasured as e:
                value, recovery, known = "not measured", "not measured", [f"wants {e}", "not measured"]
            rows.append([titles[failure.role], what, value, recovery, *known])
        return markdown_table(
            ["role", "cost", "at the target", "until all is as before", "worked out from", "known by"], rows
        )

    def _told(self, failure: FailureImpact, formula: Expression, unit: Unit) -> tuple[float, Unit, float]:
        value, error = self.model.value(failure, self.growth_path.size(1.0), formula)
        return value, unit, error

    def comparison(self, comparison: Comparison) -> list[str]:
        """Means at the sizes that both results hold."""
        header = ["what", "size", "before", "after", "after / before", "the same by the reference"]
        unknown = markdown_table(header, [["not measured", *[""] * (len(header) - 1)]])
        try:
            before, after = (model.result(comparison.result) for model in (self.baseline_model, self.model))
        except NotMeasured:
            return unknown
        if before == after:
            return unknown
        work = [_means(r, comparison.reference) if comparison.reference else {} for r in (before, after)]
        rows = []
        for metric, unit in zip(comparison.metrics, comparison.units, strict=True):
            observations = [observations_of(result, metric) for result in (before, after)]
            columns = varying_columns([o.size for o in observations[0]])
            columns = tuple(c for c in columns if c in PRODUCT_COLUMNS) or columns
            first, second = _means(before, metric), _means(after, metric)
            for size in sorted(first.keys() & second.keys()):
                if any(x not in comparison.at.get(name, [x]) for name, x in size):
                    continue
                a, b = first[size], second[size]
                text = ", ".join(f"{name} {format_number(x, 5)}" for name, x in size if name in columns)
                row = [
                    f"`{metric}`",
                    text,
                    format_quantity(a, unit),
                    format_quantity(b, unit),
                    format_number(b / a) if a else "-",
                ]
                timed = unit in ("s", "cores") and metric != comparison.reference and a
                fair = timed and all(size in w for w in work)
                rows.append([*row, format_number(b / a * work[0][size] / work[1][size]) if fair else "-"])
            within = [
                [
                    o
                    for o in each
                    if all(o.size[c] <= max(xs) for c, xs in comparison.at.items() if c in o.size)
                ]
                for each in observations
            ]
            if all(within):
                fits = [_growth(metric, each).describe() for each in within]
                rows.append([f"`{metric}`", "all sizes up to the last, fitted", *fits, "-", "-"])
        return markdown_table(header, rows) if rows else unknown

    def results(self) -> list[str]:
        """The results that the lines rest on, and of which version they are."""
        held = {**self.baseline_model.results, **self.model.results}
        rows = []
        for file, result in sorted(held.items()):
            columns = varying_columns([s.size for s in result.samples])
            sizes = [
                f"{c} {format_number(min(s.size[c] for s in result.samples), 5)} to"
                f" {format_number(max(s.size[c] for s in result.samples), 5)}"
                for c in columns
            ]
            name = f"[{file.removesuffix('.json')}](../{RESULTS_FOLDER}/{file})"
            whole = "yes" if result.complete else "no"
            revision = result.versions.project[:7] + result.versions.project[40:]
            rows.append([name, result.started, revision, str(len(result.samples)), ", ".join(sizes), whole])
        return markdown_table(["result", "started", "version", "samples", "sizes", "complete"], rows)

    def parameters(self) -> list[str]:
        """What was given and what is assumed."""
        size = self.growth_path.size(1.0)
        rows = [
            [
                f"`{f.name}`",
                format_quantity(self.model.parameter(f.name, size), f.unit, digits=5),
                f.kind,
                f"`{f.target or f.code or (f.value.text if f.value else '')}`",
                f.source,
            ]
            for f in self.capacity.parameters
        ]
        return markdown_table(["figure", "at the target", "known by", "from", "why"], rows)


def _growth(metric: str, observations: Sequence[Observation]) -> Fit:
    """How a metric grows: the power, so that before and after compare, or the best where there is none."""
    try:
        return fit_form(metric, Form.POWER, observations)
    except FitError:
        return best_fit(metric, observations)


def _means(result: Result, metric: str) -> dict[tuple[tuple[str, float], ...], float]:
    """Size -> mean of a metric."""
    values: dict[tuple[tuple[str, float], ...], list[float]] = {}
    for o in observations_of(result, metric):
        values.setdefault(tuple(sorted((n, float(x)) for n, x in o.size.items())), []).append(o.value)
    return {size: math.fsum(v) / len(v) for size, v in values.items()}
