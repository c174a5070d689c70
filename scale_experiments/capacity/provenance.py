"""The provenance of an entry of the capacity table: its sources, and whether it is measured."""

from __future__ import annotations

import json
import math
from collections.abc import Iterator, Sequence

from scale_experiments.capacity.model import CapacityModel
from scale_experiments.capacity.paths import RESULTS_FOLDER
from scale_experiments.capacity.schema import CapacityEntry, MeasuredTerm
from scale_experiments.expression import Expression
from scale_experiments.fitting.forms import Fit
from scale_experiments.fitting.observations import SAME_SIZE_TOLERANCE
from scale_experiments.number_format import FACTOR_DIGITS, SIZE_DIGITS, format_number


def describe_basis(model: CapacityModel, entry: CapacityEntry) -> str:
    """Describe whether an entry is measured, extrapolated or given, and the parameters that it assumes."""
    terms = [term for name, term in entry.terms.items() if name in entry.formula.names]
    fits = [model.results.fit(term) for term in terms]
    parts = [*_describe_extrapolation(model, entry, fits), *_describe_single_sizes(fits)]
    if any(model.results.is_only_baseline(term.result) for term in terms):
        parts.append("from the earlier version only")
    if assumed := _assumed_parameters(model, entry.formula, terms):
        parts.append("assumed: " + ", ".join(f"`{name}`" for name in assumed))
    return "; ".join(parts) or "given"


def _describe_extrapolation(model: CapacityModel, entry: CapacityEntry, fits: Sequence[Fit]) -> Iterator[str]:
    factor = model.extrapolation_factor(entry, model.growth_path.at_target())
    if any(fit.size_count > 1 for fit in fits):
        if factor <= 1.0 + SAME_SIZE_TOLERANCE:
            yield "measured"
        else:
            yield f"extrapolated by a factor of {format_number(factor, FACTOR_DIGITS)}"


def _describe_single_sizes(fits: Sequence[Fit]) -> Iterator[str]:
    """Describe the size of each term that was measured at a single size; equal sizes are stated once."""
    single_sizes = {json.dumps(fit.fixed): fit.fixed for fit in fits if fit.size_count == 1}
    for size in single_sizes.values():
        columns = (f"{column} {format_number(x, SIZE_DIGITS)}" for column, x in size.items())
        yield "measured only at " + ", ".join(columns)


def _assumed_parameters(
    model: CapacityModel, formula: Expression, terms: Sequence[MeasuredTerm]
) -> list[str]:
    """Return the names of the assumed parameters of a formula, used directly or in the sizes of its terms."""
    names = _all_names(model, formula)
    for term in terms:
        for column in model.results.fit(term).columns:
            names |= _all_names(model, term.column_formulas.get(column) or Expression(column))
    parameters = (model.parameters[name] for name in sorted(names) if name in model.parameters)
    return [parameter.name for parameter in parameters if parameter.origin == "assumed"]


def _all_names(model: CapacityModel, formula: Expression) -> set[str]:
    """Return all names that a formula uses, directly or through the formulas of parameters."""
    names, pending = set(formula.names), list(formula.names)
    while pending:
        parameter = model.parameters.get(pending.pop())
        if parameter is not None and parameter.formula is not None:
            new = parameter.formula.names - names
            names |= new
            pending.extend(new)
    return names


def describe_sources(model: CapacityModel, entry: CapacityEntry) -> str:
    """Describe the sources of an entry, each with its fit and a link to its result, and its formula."""
    sources = [_describe_source(model, term) for term in entry.terms.values()]
    return "; ".join([*sources, f"`{entry.formula.text}`"])


def _describe_source(model: CapacityModel, term: MeasuredTerm) -> str:
    """Describe the metric, its fit, the sizes to which the fit is limited, its error, and the result."""
    fit = model.results.fit(term)
    file = model.results.path(term.result).name
    incomplete = "" if model.results.load(term.result).complete else ", incomplete"
    description = ", ".join([fit.describe(), *_describe_size_limits(term), *_describe_error(fit)])
    return f"`{term.metric}`: {description} ({link_to_result(file)}{incomplete})"


def _describe_size_limits(term: MeasuredTerm) -> Iterator[str]:
    for column, smallest in term.min_sizes.items():
        yield f"sizes of at least {format_number(smallest, SIZE_DIGITS)} {column}"
    for column, largest in term.max_sizes.items():
        yield f"sizes of at most {format_number(largest, SIZE_DIGITS)} {column}"


def _describe_error(fit: Fit) -> Iterator[str]:
    """Yield the cross-validation error, if the fit has one."""
    if not math.isnan(fit.cross_validation_error):
        yield f"cross-validation error {fit.cross_validation_error:.1%}"


def link_to_result(file: str) -> str:
    """Return a link from the page to the file of a stored result."""
    return f"[{file.removesuffix('.json')}](../{RESULTS_FOLDER}/{file})"
