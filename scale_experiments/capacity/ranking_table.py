"""The tables of breaking points: all demands with a budget, the smallest breaking point first."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

from scale_experiments.capacity.formatting import format_mechanism, format_progress, markdown_table
from scale_experiments.capacity.model import CapacityModel
from scale_experiments.capacity.provenance import describe_basis
from scale_experiments.capacity.schema import MISSING_MECHANISM, Demand
from scale_experiments.capacity.stored_results import NotMeasuredError
from scale_experiments.fitting.observations import SAME_SIZE_TOLERANCE
from scale_experiments.number_format import FACTOR_DIGITS, format_number
from scale_experiments.target import HEADROOM_FACTOR

HEADER = (
    "",
    "role",
    "demand",
    "exceeds its budget at (routers / caches)",
    "utilization today",
    "utilization at the target",
    f"utilization at {HEADROOM_FACTOR:g} times the target",
    "basis",
    "mechanism",
)
# cells of a demand that no mechanism carries: breaking point, utilization at three sizes, and basis
WITHOUT_MECHANISM_CELLS = ("at any size", "-", "-", "-", "not measured")
EXCEEDED_WHERE_MEASURED = "exceeded where measured"
NOT_EXCEEDED_WHERE_MEASURED = "not exceeded where measured"


@dataclass(slots=True, frozen=True)
class RankedDemand:
    """A demand with its breaking point, and its utilization of the budget at three sizes."""

    demand: Demand
    # progress along the growth path; None if the budget is not exceeded on it
    breaking_point: float | None
    utilization_today: float
    utilization_at_target: float
    utilization_with_headroom: float

    def sort_key(self) -> tuple[float, float]:
        """Return a key by which the smallest breaking point comes first, and then the highest utilization."""
        if self.breaking_point is None:
            return math.inf, -self.utilization_at_target
        return (
            self.breaking_point,
            -self.utilization_today if self.breaking_point == 0 else -self.utilization_at_target,
        )


def ranking_table(model: CapacityModel, contradictions: bool = False) -> list[str]:
    """Return the table of the demands with a budget, in the order of their breaking points.

    Demands without a mechanism and without a result come first, because they exceed their budget at any size.
    Other demands without a result are omitted.

    With `contradictions`, the table has only the demands whose given figures contradict each other; without
    it, all others.
    """
    demands = [
        d for d in model.table.demands if d.budget is not None and d.is_contradiction == contradictions
    ]
    ranked: list[RankedDemand] = []
    rows: list[list[str]] = []
    for demand in demands:
        try:
            ranked.append(_rank(model, demand))
        except NotMeasuredError:
            if demand.mechanism == MISSING_MECHANISM:
                rows.append(_row(model, demand, WITHOUT_MECHANISM_CELLS))
    rows += [_row(model, r.demand, _cells(model, r)) for r in sorted(ranked, key=RankedDemand.sort_key)]
    return markdown_table(HEADER, [[str(rank), *row] for rank, row in enumerate(rows, 1)])


def _row(model: CapacityModel, demand: Demand, cells: Sequence[str]) -> list[str]:
    """Return a row without its rank."""
    role_title = model.table.role_titles()[demand.role]
    return [role_title, demand.title, *cells, format_mechanism(demand.mechanism)]


def _rank(model: CapacityModel, demand: Demand) -> RankedDemand:
    path = model.growth_path
    return RankedDemand(
        demand,
        breaking_point=model.breaking_point(demand),
        utilization_today=model.utilization(demand, path.at_today()),
        utilization_at_target=model.utilization(demand, path.at_target()),
        utilization_with_headroom=model.utilization(demand, path.with_headroom()),
    )


def _cells(model: CapacityModel, ranked: RankedDemand) -> list[str]:
    return [
        format_breaking_point(model, ranked.demand, ranked.breaking_point),
        format_number(ranked.utilization_today),
        format_number(ranked.utilization_at_target),
        format_number(ranked.utilization_with_headroom),
        describe_basis(model, ranked.demand),
    ]


def format_breaking_point(model: CapacityModel, demand: Demand, progress: float | None) -> str:
    """Format the size at which a demand exceeds its budget, and its ratio to the largest size measured."""
    if model.is_measured_at_one_size(demand):
        return EXCEEDED_WHERE_MEASURED if progress == 0 else NOT_EXCEEDED_WHERE_MEASURED
    text = format_progress(model.growth_path, progress)
    if progress is None:
        return text
    factor = model.extrapolation_factor(demand, model.growth_path.at(progress))
    if factor <= 1.0 + SAME_SIZE_TOLERANCE:
        return text
    return f"{text}, {format_number(factor, FACTOR_DIGITS)} times the largest size measured"
