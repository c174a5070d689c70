"""The tables of the capacity page."""

from __future__ import annotations

from pathlib import Path

from scale_experiments.capacity.comparison_table import comparison_table
from scale_experiments.capacity.failure_table import failure_table
from scale_experiments.capacity.model import CapacityModel
from scale_experiments.capacity.ranking_table import ranking_table
from scale_experiments.capacity.role_table import role_table
from scale_experiments.capacity.schema import CapacityTable
from scale_experiments.capacity.source_tables import parameter_table, result_table
from scale_experiments.target import Target


def page_tables(table: CapacityTable, target: Target, results_folder: Path) -> dict[str, list[str]]:
    """Return the lines of all tables, by the name in the start marker of each table.

    Raises: InputError, ExpressionError or FitError if the capacity table or a result can't be used.
    """
    current = CapacityModel(table, target, results_folder)
    baseline = CapacityModel(table, target, results_folder, baseline=True)
    tables = {f"role {role.name}": role_table(current, role.name) for role in table.roles}
    tables["ranking"] = ranking_table(current)
    tables["ranking before"] = ranking_table(baseline)
    tables["contradictions"] = ranking_table(current, contradictions=True)
    for event in table.events:
        tables[f"event {event.name}"] = failure_table(current, event.name)
    for comparison in table.comparisons:
        tables[f"comparison {comparison.result}"] = comparison_table(baseline, current, comparison)
    tables["figures"] = parameter_table(current)
    # last, because it lists the results that the other tables have loaded
    tables["results"] = result_table({**baseline.results.loaded, **current.results.loaded})
    return tables
