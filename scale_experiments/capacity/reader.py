"""The reader of capacity.toml, which also checks references, duplicate demands and unused parameters."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

from pydantic import ValidationError

from scale_experiments.capacity.references import resolve_in_code
from scale_experiments.capacity.schema import MISSING_MECHANISM, CapacityTable, Heading
from scale_experiments.expression import Expression
from scale_experiments.runs.input_files import InputError, describe_validation_error, read_toml

# parameters that may be a column of a result's size, and that no formula has to use
COLUMN_PARAMETERS = {"changes_per_s", "requests_per_s"}


def read_capacity(path: Path) -> CapacityTable:
    """Read and check a capacity table; raises InputError with the file and the field at fault."""
    try:
        table = CapacityTable.model_validate(read_toml(path))
    except ValidationError as e:
        raise InputError(describe_validation_error(path, e)) from e
    _check_mechanisms_exist(table, path)
    _check_demands_are_unique(table, path)
    _check_parameters_are_used(table, path)
    _check_roles_and_events(table, path)
    return table


def _check_mechanisms_exist(table: CapacityTable, path: Path) -> None:
    for i, demand in enumerate(table.demands):
        if demand.mechanism != MISSING_MECHANISM:
            resolve_in_code(demand.mechanism, f"{path}: lines[{i}].mechanism")


def _check_demands_are_unique(table: CapacityTable, path: Path) -> None:
    first_indices: dict[tuple[str, str, str], int] = {}
    for i, demand in enumerate(table.demands):
        first_index = first_indices.setdefault((demand.role, demand.resource, demand.description), i)
        if first_index != i:
            raise InputError(
                f"{path}: lines[{i}].what: must differ from lines[{first_index}].what, which has the same"
                f" role and kind: {demand.description!r}"
            )


def _check_parameters_are_used(table: CapacityTable, path: Path) -> None:
    used = {name for formula in _formulas(table) for name in formula.names}
    unused = {parameter.name for parameter in table.parameters} - used - COLUMN_PARAMETERS
    if unused:
        raise InputError(f"{path}: figures: {min(unused)!r} must be used by a formula, or be removed")


def _formulas(table: CapacityTable) -> Iterator[Expression]:
    """Yield all formulas of the table."""
    optional_formulas = [parameter.formula for parameter in table.parameters]
    optional_formulas += [demand.budget for demand in table.demands]
    optional_formulas += [failure.recovery for failure in table.failures]
    yield from (formula for formula in optional_formulas if formula is not None)
    for entry in (*table.demands, *table.failures):
        yield entry.formula
        for term in entry.terms.values():
            yield from term.column_formulas.values()


def _check_roles_and_events(table: CapacityTable, path: Path) -> None:
    for i, demand in enumerate(table.demands):
        _check_heading_name(demand.role, table.roles, f"{path}: lines[{i}].role")
    for i, failure in enumerate(table.failures):
        _check_heading_name(failure.role, table.roles, f"{path}: failures[{i}].role")
    for i, failure in enumerate(table.failures):
        _check_heading_name(failure.event, table.events, f"{path}: failures[{i}].event")


def _check_heading_name(name: str, headings: list[Heading], location: str) -> None:
    known = [heading.name for heading in headings]
    if name not in known:
        raise InputError(f"{location}: must be one of {', '.join(known)}, not {name!r}")
