"""The table of an event: the cost of a failure to each role."""

from __future__ import annotations

from scale_experiments.capacity.formatting import format_estimate, markdown_table
from scale_experiments.capacity.model import CapacityModel
from scale_experiments.capacity.provenance import describe_basis, describe_sources
from scale_experiments.capacity.schema import FailureImpact
from scale_experiments.capacity.stored_results import NotMeasuredError

HEADER = ("role", "cost", "at the target", "recovery time", "derived from", "basis")
NOT_MEASURED = "not measured"


def failure_table(model: CapacityModel, event: str) -> list[str]:
    """Return the table of an event: its cost to each role at the target, and the recovery time."""
    return markdown_table(HEADER, [_row(model, f) for f in model.table.failures if f.event == event])


def _row(model: CapacityModel, failure: FailureImpact) -> list[str]:
    title = model.table.role_titles()[failure.role]
    description = failure.description + (f" ({failure.note})" if failure.note else "")
    try:
        return [title, description, *_measured_cells(model, failure)]
    except NotMeasuredError as e:
        return [title, description, NOT_MEASURED, NOT_MEASURED, f"requires {e}", NOT_MEASURED]


def _measured_cells(model: CapacityModel, failure: FailureImpact) -> list[str]:
    """Return the cells of cost, recovery time, sources and basis."""
    target = model.growth_path.at_target()
    cost = format_estimate(model.estimate(failure, target), failure.unit)
    recovery = "-"
    if failure.recovery is not None:
        recovery = format_estimate(model.estimate(failure, target, failure.recovery), "s")
    return [cost, recovery, describe_sources(model, failure), describe_basis(model, failure)]
