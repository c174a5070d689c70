"""The table of a role: all demands on the role at the target."""

from __future__ import annotations

from scale_experiments.capacity.formatting import (
    format_estimate,
    format_mechanism,
    format_progress,
    format_quantity,
    markdown_table,
)
from scale_experiments.capacity.model import CapacityModel
from scale_experiments.capacity.provenance import describe_basis, describe_sources
from scale_experiments.capacity.ranking_table import format_breaking_point
from scale_experiments.capacity.schema import Demand
from scale_experiments.capacity.stored_results import NotMeasuredError
from scale_experiments.number_format import format_number

HEADER = (
    "demand",
    "at the target",
    "budget",
    "utilization",
    "exceeds its budget at (routers / caches)",
    "derived from",
    "basis",
    "mechanism",
)
NO_BUDGET = "none given"
NOT_MEASURED = "not measured"


def role_table(model: CapacityModel, role: str) -> list[str]:
    """Return the table of all demands on a role."""
    return markdown_table(HEADER, [_row(model, d) for d in model.table.demands if d.role == role])


def _row(model: CapacityModel, demand: Demand) -> list[str]:
    title = demand.title + (f" ({demand.note})" if demand.note else "")
    mechanism = format_mechanism(demand.mechanism)
    budget = NO_BUDGET if demand.budget is None else NOT_MEASURED
    try:
        budget = _format_budget(model, demand)
        return [title, _format_demand(model, demand), budget, *_measured_cells(model, demand), mechanism]
    except NotMeasuredError as e:
        return [title, NOT_MEASURED, budget, "-", "-", f"requires {e}", NOT_MEASURED, mechanism]


def _format_budget(model: CapacityModel, demand: Demand) -> str:
    budget = model.budget(demand, model.growth_path.at_target())
    return NO_BUDGET if budget is None else format_quantity(budget, demand.unit)


def _format_demand(model: CapacityModel, demand: Demand) -> str:
    """Format a demand at the target, and the value that was measured there, if there is one."""
    target = model.growth_path.at_target()
    text = format_estimate(model.estimate(demand, target), demand.unit)
    measured = model.measured_value(demand, target)
    if measured is None:
        return text
    return f"{text} (measured there: {format_quantity(measured, demand.unit)})"


def _measured_cells(model: CapacityModel, demand: Demand) -> list[str]:
    """Return the cells of utilization, breaking point, sources and basis."""
    utilization = breaking_point = "-"
    if demand.budget is not None:
        utilization = format_number(model.utilization(demand, model.growth_path.at_target()))
        breaking_point = _format_breaking_point_range(model, demand)
    return [utilization, breaking_point, describe_sources(model, demand), describe_basis(model, demand)]


def _format_breaking_point_range(model: CapacityModel, demand: Demand) -> str:
    """Format the breaking point of a demand, and its range for one standard error in either direction."""
    progress = model.breaking_point(demand)
    text = format_breaking_point(model, demand, progress)
    if model.is_measured_at_one_size(demand):
        return text
    if progress == 0:
        today = model.utilization(demand, model.growth_path.at_today())
        return f"{text} ({format_number(today)} times the budget)"
    early, late = model.breaking_point(demand, 1.0), model.breaking_point(demand, -1.0)
    if progress is None or early == late:
        return text
    path = model.growth_path
    return f"{text} ({format_progress(path, early)} to {format_progress(path, late)})"
