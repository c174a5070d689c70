"""What the lines of the capacity table come to, by the kept results."""

from __future__ import annotations

import json
import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path

from scale_experiments.capacity.breaking_point import first_exceeding
from scale_experiments.capacity.paths import CAPACITY_TABLE, RESULTS_FOLDER
from scale_experiments.capacity.schema import (
    CapacityItem,
    CapacityTable,
    Demand,
    MeasuredTerm,
    resolve_in_code,
    resolve_in_target,
)
from scale_experiments.experiment import InputError
from scale_experiments.expression import Expression
from scale_experiments.fitting.forms import Fit
from scale_experiments.fitting.observations import (
    CONFOUNDED_COLUMNS,
    SAME_SIZE_TOLERANCE,
    Observation,
    Size,
    at_largest_size,
    mean_at,
    observations_of,
    varying_columns,
)
from scale_experiments.fitting.selection import best_fit, fit_form
from scale_experiments.number_format import format_number
from scale_experiments.results import Result, load_result
from scale_experiments.target import HEADROOM_FACTOR, Target

BASELINE_SUFFIX = ".before"  # a result made before the mechanism was built


@dataclass(slots=True, frozen=True)
class GrowthPath:
    """The straight line from today's fleet (0) to the target (1), and on, in routers and caches."""

    today: tuple[float, float]
    target: tuple[float, float]

    def size(self, t: float) -> dict[str, float]:
        """Routers and caches at a point of the line."""
        routers, caches = (a + (b - a) * t for a, b in zip(self.today, self.target, strict=True))
        return {"t": t, "routers": routers, "caches": caches}

    def beyond(self) -> dict[str, float]:
        """So many times the target, in both; a little off the line."""
        return {
            "t": HEADROOM_FACTOR,
            "routers": HEADROOM_FACTOR * self.target[0],
            "caches": HEADROOM_FACTOR * self.target[1],
        }


class NotMeasured(Exception):
    """A result that a line needs is not kept."""


class CapacityModel:
    """The kept results, and what lines come to by them; with `before`, by the older where there are any."""

    def __init__(self, capacity: CapacityTable, target: Target, results: Path, before: bool = False) -> None:
        self.capacity = capacity
        self.target = target
        today = float(target.today.routers), float(target.today.caches)
        self.growth_path = GrowthPath(today, (float(target.target.routers), float(target.target.caches)))
        self.folder = results
        self.before = before
        self.results: dict[str, Result] = {}
        self.fits: dict[str, Fit] = {}
        self.breaks: dict[tuple[str, str, str, float], float | None] = {}
        self.parameters = {f.name: f for f in capacity.parameters}

    def file(self, name: str) -> Path:
        """The file of a result: the older where it is asked for or is the only one; raises NotMeasured."""
        kept = [f for f in (f"{name}.json", f"{name}{BASELINE_SUFFIX}.json") if (self.folder / f).exists()]
        if not kept:
            raise NotMeasured(name)
        return self.folder / kept[-1 if self.before else 0]

    def result(self, name: str) -> Result:
        """A kept result; raises NotMeasured."""
        path = self.file(name)
        if path.name not in self.results:
            self.results[path.name] = load_result(path)
        return self.results[path.name]

    def fit(self, measured: MeasuredTerm) -> Fit:
        """The fit of a metric; raises NotMeasured where no sample holds it."""
        key = measured.model_dump_json(exclude={"at"})
        if key not in self.fits:
            observations = self.observations(measured)
            self.fits[key] = (
                best_fit(measured.metric, observations)
                if measured.form is None
                else fit_form(measured.metric, measured.form, observations, measured.over)
            )
        return self.fits[key]

    def observations(self, measured: MeasuredTerm) -> list[Observation]:
        """What of a metric is fitted; raises NotMeasured where no sample holds it."""
        observations = [
            o
            for o in observations_of(self.result(measured.result), measured.metric)
            if all(o.size.get(column, 0) >= least for column, least in measured.least.items())
            and all(o.size.get(column, 0) <= most for column, most in measured.most.items())
            and all(o.size.get(column) == x for column, x in measured.where.items())
        ]
        if not observations:
            raise NotMeasured(f"{measured.metric} of {measured.result}")
        return at_largest_size(observations) if measured.at_largest_size else observations

    def measured_at(self, line: CapacityItem, size: Size) -> float | None:
        """What a line takes by what was measured at a size itself; None where a term was not."""
        terms = {}
        for name in line.value.names & line.measured.keys():
            measured = line.measured[name]
            observations = self.observations(measured)
            if not (columns := varying_columns([o.size for o in observations])):
                return None
            at = {
                c: measured.at[c].value(lambda n: self.parameter(n, size))
                if c in measured.at
                else self.parameter(c, size)
                for c in columns
                if c not in CONFOUNDED_COLUMNS
            }
            mean = mean_at(observations, at)
            if mean is None:
                return None
            terms[name] = mean
        if not terms:
            return None
        return line.value.value(lambda n: terms[n] if n in terms else self.parameter(n, size))

    def parameter(self, name: str, size: Size) -> float:
        """A size's routers, caches and t, or a figure; raises InputError for what is neither."""
        if name in size:
            return size[name]
        if name not in self.parameters:
            raise InputError(f"{CAPACITY_TABLE}: {name!r} is no figure, no measured term and no size")
        parameter, where = self.parameters[name], f"{CAPACITY_TABLE}: figures.{name}"
        if parameter.target is not None:
            return resolve_in_target(self.target, parameter.target, where)
        if parameter.code is not None:
            return float(resolve_in_code(parameter.code, where))
        assert parameter.value is not None
        return parameter.value.value(lambda n: self.parameter(n, size))

    def size_of(self, measured: MeasuredTerm, size: Size) -> dict[str, float]:
        """The columns that a fit needs."""
        return {
            column: measured.at[column].value(lambda n: self.parameter(n, size))
            if column in measured.at
            else self.parameter(column, size)
            for column in self.fit(measured).columns
        }

    def estimate(
        self,
        line: CapacityItem,
        size: Size,
        formulas: Sequence[Expression],
        told: Callable[[list[float]], float],
    ) -> tuple[float, float]:
        """What is told of formulas of a line's terms, and the standard error that their fits leave in it."""
        names = set().union(*(f.names for f in formulas))
        used = {n: m for n, m in line.measured.items() if n in names}
        terms = {n: self.fit(m).predict(self.size_of(m, size)) for n, m in used.items()}

        def at(moved: str | None = None) -> float:
            def lookup(name: str) -> float:
                if name not in terms:
                    return self.parameter(name, size)
                term = terms[name]
                return term.value + term.standard_error if name == moved else term.value

            return told([f.value(lookup) for f in formulas])

        value = at()
        return value, math.sqrt(sum((at(n) - value) ** 2 for n in terms))

    def value(self, line: CapacityItem, size: Size, formula: Expression | None = None) -> tuple[float, float]:
        """What a line takes at a size, and its standard error."""
        return self.estimate(line, size, [formula or line.value], sum)

    def budget(self, line: Demand, size: Size) -> float | None:
        """What a line may take at a size."""
        return None if line.budget is None else self.estimate(line, size, [line.budget], sum)[0]

    def ratio(self, line: Demand, size: Size, errors: float = 0.0) -> float:
        """What a line takes over what it may take, and so many standard errors more."""
        if line.budget is None:
            return 0.0
        ratio, error = self.estimate(line, size, [line.value, line.budget], lambda both: both[0] / both[1])
        return ratio + errors * error

    def break_at(self, line: Demand, errors: float = 0.0) -> float | None:
        """The first point of the way, from today's fleet on, at which a line takes more than it may."""
        key = line.role, line.kind, line.what, errors
        if key not in self.breaks:
            self.breaks[key] = first_exceeding(
                lambda t: self.ratio(line, self.growth_path.size(t), errors) - 1.0
            )
        return self.breaks[key]

    def is_single_size(self, line: CapacityItem) -> bool:
        """Whether any term of a line was measured at one size only, so that none of its slopes is known."""
        return any(self.fit(m).size_count == 1 for m in line.measured.values())

    def extrapolation_factor(self, line: CapacityItem, formulas: Sequence[Expression], size: Size) -> float:
        """How far a size lies beyond what was measured of the terms of formulas, at most; 1 within."""
        names = set().union(*(f.names for f in formulas))
        used = [m for n, m in line.measured.items() if n in names]
        return max((self.fit(m).extrapolation_factor(self.size_of(m, size)) for m in used), default=1.0)

    def measured_names(self, formula: Expression) -> set[str]:
        """All names that a formula rests on, through figures."""
        names, waiting = set(formula.names), list(formula.names)
        while waiting:
            name = waiting.pop()
            if name in self.parameters and (value := self.parameters[name].value) is not None:
                new = value.names - names
                names |= new
                waiting.extend(new)
        return names

    def basis(self, line: CapacityItem, formula: Expression | None = None) -> str:
        """How a line is known: measured, extrapolated and how far, given, and what is assumed."""
        formula = formula or line.value
        parts = []
        used = {n: m for n, m in line.measured.items() if n in formula.names}
        fits = {n: self.fit(m) for n, m in used.items()}
        far = self.extrapolation_factor(line, [formula], self.growth_path.size(1.0))
        if any(f.size_count > 1 for f in fits.values()):
            parts.append(
                "measured"
                if far <= 1.0 + SAME_SIZE_TOLERANCE
                else f"extrapolated {format_number(far, 2)} times"
            )
        for fixed in {json.dumps(f.fixed): f.fixed for f in fits.values() if f.size_count == 1}.values():
            parts.append(
                "measured only at " + ", ".join(f"{c} {format_number(x, 5)}" for c, x in fixed.items())
            )
        if not self.before and any(
            self.file(m.result).name.endswith(f"{BASELINE_SUFFIX}.json") for m in used.values()
        ):
            parts.append("on the version before only")
        names = self.measured_names(formula)
        for measured in used.values():
            for column in self.fit(measured).columns:
                names |= (
                    self.measured_names(measured.at[column])
                    if column in measured.at
                    else self.measured_names(Expression(column))
                )
        assumed = sorted(n for n in names if n in self.parameters and self.parameters[n].kind == "assumed")
        if assumed:
            parts.append("assumed: " + ", ".join(f"`{n}`" for n in assumed))
        return "; ".join(parts) or "given"

    def sources(self, line: CapacityItem) -> str:
        """The slopes that a line was worked out from, each with its error and its result's file."""
        parts = []
        for measured in line.measured.values():
            result = self.result(measured.result)
            file = self.file(measured.result).name
            whole = "" if result.complete else ", not complete"
            fit = self.fit(measured)
            off = (
                "" if math.isnan(fit.cross_validation_error) else f", off by {fit.cross_validation_error:.1%}"
            )
            span = [f" from {format_number(x, 5)} {column} on" for column, x in measured.least.items()]
            span += [f" up to {format_number(x, 5)} {column}" for column, x in measured.most.items()]
            parts.append(
                f"`{measured.metric}`: {fit.describe()}{''.join(span)}{off}"
                f" ([{file.removesuffix('.json')}](../{RESULTS_FOLDER}/{file}){whole})"
            )
        return "; ".join([*parts, f"`{line.value.text}`"])
