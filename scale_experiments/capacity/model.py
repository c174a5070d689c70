"""What the entries of the capacity table come to at a size of the fleet, by the kept results."""

from __future__ import annotations

import contextlib
import math
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path

from scale_experiments.capacity.breaking_point import first_exceeding
from scale_experiments.capacity.growth_path import GrowthPath
from scale_experiments.capacity.kept_results import KeptResults
from scale_experiments.capacity.paths import CAPACITY_TABLE
from scale_experiments.capacity.references import resolve_in_code, resolve_in_target
from scale_experiments.capacity.schema import CapacityItem, CapacityTable, Demand, MeasuredTerm
from scale_experiments.expression import Expression, ExpressionError
from scale_experiments.fitting.forms import FitError
from scale_experiments.fitting.observations import CONFOUNDED_COLUMNS, Size, mean_at, varying_columns
from scale_experiments.measurement.estimate import Estimate
from scale_experiments.runs.experiment import InputError
from scale_experiments.target import Target


class UnknownNameError(ValueError):
    """A name in a formula that stands for nothing."""


class CapacityModel:
    """Works out demands, budgets and breaking points.

    With `baseline`, from the results made before a mechanism was built, where there are any.

    All methods that evaluate a formula raise NotMeasuredError if a result that it needs is not kept, and
    InputError if the formula or a term of it can't be used.
    """

    def __init__(
        self, table: CapacityTable, target: Target, results_folder: Path, baseline: bool = False
    ) -> None:
        """Work out a table by the results in a folder, which are read as they are needed."""
        self.table = table
        self.target = target
        self.growth_path = GrowthPath.to_target(target)
        self.results = KeptResults(results_folder, baseline)
        self.parameters = {parameter.name: parameter for parameter in table.parameters}
        self._breaking_points: dict[tuple[str, float], float | None] = {}

    def parameter(self, name: str, size: Size) -> float:
        """A column of a size, or a parameter; raises UnknownNameError if it is neither."""
        if name in size:
            return size[name]
        if name not in self.parameters:
            raise UnknownNameError(f"{name!r} must be a figure, a term under measured, t, routers or caches")
        parameter, location = self.parameters[name], f"{CAPACITY_TABLE}: figures.{name}"
        if parameter.target_path is not None:
            return resolve_in_target(self.target, parameter.target_path, location)
        if parameter.code_path is not None:
            return float(resolve_in_code(parameter.code_path, location))
        if parameter.formula is None:
            raise InputError(f"{location}: must have exactly one of target, code and value")
        try:
            return self._evaluate(parameter.formula, size)
        except (ExpressionError, UnknownNameError) as e:
            raise InputError(f"{location}.value: {e}") from e

    def estimate(self, item: CapacityItem, size: Size, formula: Expression | None = None) -> Estimate:
        """A formula of an item's terms at a size, by default the item's own, in the item's unit."""
        return self._estimate(item, size, [formula or item.formula], sum)

    def budget(self, demand: Demand, size: Size) -> float | None:
        """The budget of a demand at a size, in its unit; None if it has none."""
        return None if demand.budget is None else self.estimate(demand, size, demand.budget).value

    def utilization(self, demand: Demand, size: Size, standard_errors: float = 0.0) -> float:
        """A demand over its budget, and so many standard errors more; 0 without a budget."""
        if demand.budget is None:
            return 0.0
        ratio = self._estimate(demand, size, [demand.formula, demand.budget], lambda both: both[0] / both[1])
        return ratio.value + standard_errors * ratio.standard_error

    def breaking_point(self, demand: Demand, standard_errors: float = 0.0) -> float | None:
        """The first progress along the growth path at which a demand exceeds its budget; None if none is."""
        key = self.table.location(demand), standard_errors
        if key not in self._breaking_points:
            self._breaking_points[key] = first_exceeding(
                lambda progress: (
                    self.utilization(demand, self.growth_path.size(progress), standard_errors) - 1.0
                )
            )
        return self._breaking_points[key]

    def measured_value(self, item: CapacityItem, size: Size) -> float | None:
        """An item by what was measured at a size itself; None if a term was not measured there."""
        with self._locating_errors(item):
            means: dict[str, float] = {}
            for name in item.formula.names & item.terms.keys():
                mean = self._mean_of_term(item.terms[name], size)
                if mean is None:
                    return None
                means[name] = mean
            if not means:
                return None
            return item.formula.value(
                lambda name: means[name] if name in means else self.parameter(name, size)
            )

    def is_measured_at_one_size(self, item: CapacityItem) -> bool:
        """Whether any term of an item was measured at one size only, so that none of its slopes is known."""
        return any(self.results.fit(term).size_count == 1 for term in item.terms.values())

    def extrapolation_factor(self, item: CapacityItem, size: Size) -> float:
        """How far a size lies beyond what was measured of an item's terms, at most; 1 within."""
        used = [term for name, term in item.terms.items() if name in item.formula.names]
        factors = (self.results.fit(t).extrapolation_factor(self._size_of_term(t, size)) for t in used)
        return max(factors, default=1.0)

    def _estimate(
        self,
        item: CapacityItem,
        size: Size,
        formulas: Sequence[Expression],
        combine: Callable[[list[float]], float],
    ) -> Estimate:
        """A combination of formulas; each term's error is propagated by moving that term alone."""
        with self._locating_errors(item):
            names = set().union(*(formula.names for formula in formulas))
            terms = {
                name: self.results.fit(term).predict(self._size_of_term(term, size))
                for name, term in item.terms.items()
                if name in names
            }

            def combined(moved_term: str | None = None) -> float:
                def lookup(name: str) -> float:
                    if name not in terms:
                        return self.parameter(name, size)
                    term = terms[name]
                    return term.value + term.standard_error if name == moved_term else term.value

                return combine([formula.value(lookup) for formula in formulas])

            value = combined()
            return Estimate(value, math.sqrt(sum((combined(name) - value) ** 2 for name in terms)))

    @contextlib.contextmanager
    def _locating_errors(self, item: CapacityItem) -> Iterator[None]:
        """Name the file and the item in errors of its formulas and terms."""
        try:
            yield
        except (ExpressionError, FitError, UnknownNameError) as e:
            raise InputError(f"{CAPACITY_TABLE}: {self.table.location(item)}: {e}") from e

    def _evaluate(self, formula: Expression, size: Size) -> float:
        return formula.value(lambda name: self.parameter(name, size))

    def _size_of_term(self, term: MeasuredTerm, size: Size) -> dict[str, float]:
        """The columns that a term's fit needs."""
        return {column: self._column(term, column, size) for column in self.results.fit(term).columns}

    def _column(self, term: MeasuredTerm, column: str, size: Size) -> float:
        if column in term.column_formulas:
            return self._evaluate(term.column_formulas[column], size)
        return self.parameter(column, size)

    def _mean_of_term(self, term: MeasuredTerm, size: Size) -> float | None:
        """The mean of what was measured of a term at a size; None if nothing was."""
        observations = self.results.observations(term)
        columns = varying_columns([o.size for o in observations])
        if not columns:
            return None
        wanted = {c: self._column(term, c, size) for c in columns if c not in CONFOUNDED_COLUMNS}
        return mean_at(observations, wanted)
