"""The evaluation of the entries of the capacity table at a fleet size, from the stored results."""

from __future__ import annotations

import contextlib
import math
from collections.abc import Callable, Iterator
from pathlib import Path

from scale_experiments.capacity.breaking_point import find_breaking_point
from scale_experiments.capacity.growth_path import FleetPoint, GrowthPath
from scale_experiments.capacity.paths import CAPACITY_TABLE
from scale_experiments.capacity.references import resolve_in_code, resolve_in_target
from scale_experiments.capacity.schema import CapacityEntry, CapacityTable, Demand, MeasuredTerm, Parameter
from scale_experiments.capacity.stored_results import StoredResults
from scale_experiments.expression import Expression, ExpressionError
from scale_experiments.fitting.forms import FitError
from scale_experiments.fitting.observations import CONFOUNDED_COLUMNS, Size, mean_at, varying_columns
from scale_experiments.measurement.estimate import Estimate
from scale_experiments.runs.input_files import InputError
from scale_experiments.target import Target

# returns the value of a name in a formula
Lookup = Callable[[str], float]


class UnknownNameError(ValueError):
    """A name in a formula that is neither a variable, a parameter nor a measured term."""


class CapacityModel:
    """The demands, budgets and breaking points of a capacity table.

    With `baseline`, results from before a mechanism was built are used wherever they exist.

    Raises: all methods that evaluate a formula raise NotMeasuredError if a required result is not kept, and
    InputError if the formula or one of its terms can't be used.
    """

    def __init__(
        self, table: CapacityTable, target: Target, results_folder: Path, baseline: bool = False
    ) -> None:
        """Evaluate a table from the results in a folder; each is read when it is first needed."""
        self.table = table
        self.target = target
        self.growth_path = GrowthPath.to_target(target)
        self.results = StoredResults(results_folder, baseline)
        self.parameters = {parameter.name: parameter for parameter in table.parameters}
        self._breaking_points: dict[tuple[str, float], float | None] = {}

    def parameter(self, name: str, point: FleetPoint) -> float:
        """Return the value of a variable or a parameter at a point.

        Raises: UnknownNameError if the name is neither, InputError if the parameter can't be evaluated.
        """
        variable = point.variable(name)
        if variable is not None:
            return variable
        if name not in self.parameters:
            raise UnknownNameError(f"{name!r} must be a figure, a term under measured, t, routers or caches")
        return self._evaluate_parameter(self.parameters[name], point)

    def _evaluate_parameter(self, parameter: Parameter, point: FleetPoint) -> float:
        location = f"{CAPACITY_TABLE}: figures.{parameter.name}"
        if parameter.target_path is not None:
            return resolve_in_target(self.target, parameter.target_path, location)
        if parameter.code_path is not None:
            return float(resolve_in_code(parameter.code_path, location))
        if parameter.formula is None:
            raise InputError(f"{location}: must have exactly one of target, code and value")
        try:
            return self._evaluate(parameter.formula, point)
        except (ExpressionError, UnknownNameError) as e:
            raise InputError(f"{location}.value: {e}") from e

    def _evaluate(self, formula: Expression, point: FleetPoint) -> float:
        """Evaluate a formula of parameters and variables, without terms."""
        return formula.value(lambda name: self.parameter(name, point))

    def estimate(
        self, entry: CapacityEntry, point: FleetPoint, formula: Expression | None = None
    ) -> Estimate:
        """Evaluate a formula at a point, in the entry's unit; by default, the formula of the entry itself."""
        formula = formula or entry.formula
        return self._propagate_errors(entry, point, formula.names, formula.value)

    def budget(self, demand: Demand, point: FleetPoint) -> float | None:
        """Return the budget of a demand at a point, in the demand's unit; None if it has no budget."""
        return None if demand.budget is None else self.estimate(demand, point, demand.budget).value

    def utilization(self, demand: Demand, point: FleetPoint, standard_errors: float = 0.0) -> float:
        """Return the ratio of demand to budget, plus a number of standard errors; 0 without a budget."""
        formula, budget = demand.formula, demand.budget
        if budget is None:
            return 0.0
        names = formula.names | budget.names
        ratio = self._propagate_errors(
            demand, point, names, lambda lookup: formula.value(lookup) / budget.value(lookup)
        )
        return ratio.value + standard_errors * ratio.standard_error

    def _propagate_errors(
        self, entry: CapacityEntry, point: FleetPoint, names: set[str], evaluate: Callable[[Lookup], float]
    ) -> Estimate:
        """Return the value of an evaluation that uses the given names, and its standard error.

        Each term in turn is shifted by its standard error, while the other terms keep their values. The
        standard error of the value is the root of the sum of squares of the changes that this causes.
        """
        with self._locating_errors(entry):
            terms = {
                name: self.results.fit(term).predict(self._columns_of_term(term, point))
                for name, term in entry.terms.items()
                if name in names
            }

            def value_with(shifted_term: str | None = None) -> float:
                def lookup(name: str) -> float:
                    if name not in terms:
                        return self.parameter(name, point)
                    term = terms[name]
                    return term.value + term.standard_error if name == shifted_term else term.value

                return evaluate(lookup)

            value = value_with()
            return Estimate(value, math.sqrt(sum((value_with(name) - value) ** 2 for name in terms)))

    @contextlib.contextmanager
    def _locating_errors(self, entry: CapacityEntry) -> Iterator[None]:
        """Add the file and the location of an entry to errors of its formulas and terms."""
        try:
            yield
        except (ExpressionError, FitError, UnknownNameError) as e:
            raise InputError(f"{CAPACITY_TABLE}: {self.table.location(entry)}: {e}") from e

    def breaking_point(self, demand: Demand, standard_errors: float = 0.0) -> float | None:
        """Return the first progress at which a demand exceeds its budget; None if it stays within its budget.

        The utilization is increased by a number of its standard errors.
        """
        key = self.table.location(demand), standard_errors
        if key not in self._breaking_points:

            def excess(progress: float) -> float:
                return self.utilization(demand, self.growth_path.at(progress), standard_errors) - 1.0

            self._breaking_points[key] = find_breaking_point(excess)
        return self._breaking_points[key]

    def measured_value(self, entry: CapacityEntry, point: FleetPoint) -> float | None:
        """Evaluate an entry from means measured at a point; None if a term was not measured there."""
        with self._locating_errors(entry):
            means: dict[str, float] = {}
            for name in entry.formula.names & entry.terms.keys():
                mean = self._mean_of_term(entry.terms[name], point)
                if mean is None:
                    return None
                means[name] = mean
            if not means:
                return None
            return entry.formula.value(
                lambda name: means[name] if name in means else self.parameter(name, point)
            )

    def is_measured_at_one_size(self, entry: CapacityEntry) -> bool:
        """Return whether any term of an entry was measured at one size only, which gives no slope."""
        return any(self.results.fit(term).size_count == 1 for term in entry.terms.values())

    def extrapolation_factor(self, entry: CapacityEntry, point: FleetPoint) -> float:
        """Return the largest ratio of a column at a point to its largest measured value; 1 without terms."""
        used = [term for name, term in entry.terms.items() if name in entry.formula.names]
        factors = (self.results.fit(t).extrapolation_factor(self._columns_of_term(t, point)) for t in used)
        return max(factors, default=1.0)

    def _columns_of_term(self, term: MeasuredTerm, point: FleetPoint) -> Size:
        """Return the columns of a size that a term's fit needs, with their values at a point."""
        return {column: self._column(term, column, point) for column in self.results.fit(term).columns}

    def _column(self, term: MeasuredTerm, column: str, point: FleetPoint) -> float:
        if column in term.column_formulas:
            return self._evaluate(term.column_formulas[column], point)
        return self.parameter(column, point)

    def _mean_of_term(self, term: MeasuredTerm, point: FleetPoint) -> float | None:
        """Return the mean of a term's observations at a point; None if there are none."""
        observations = self.results.observations(term)
        columns = varying_columns([o.size for o in observations])
        if not columns:
            return None
        wanted = {c: self._column(term, c, point) for c in columns if c not in CONFOUNDED_COLUMNS}
        return mean_at(observations, wanted)
