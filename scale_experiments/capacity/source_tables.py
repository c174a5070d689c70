"""The tables of the page's sources: parameters and stored results."""

from __future__ import annotations

from collections.abc import Mapping

from scale_experiments.capacity.formatting import format_quantity, markdown_table
from scale_experiments.capacity.model import CapacityModel
from scale_experiments.capacity.provenance import link_to_result
from scale_experiments.capacity.schema import Parameter
from scale_experiments.fitting.observations import varying_columns
from scale_experiments.number_format import SIZE_DIGITS, format_number
from scale_experiments.runs.results import Result

PARAMETER_HEADER = ("parameter", "at the target", "basis", "definition", "source")
PARAMETER_DIGITS = 5  # significant digits of a parameter's value
RESULT_HEADER = ("result", "started", "version", "samples", "sizes", "complete")
REVISION_LENGTH = 40  # characters of a git revision; a suffix after them marks changed files
SHORT_REVISION_LENGTH = 7  # characters


def parameter_table(model: CapacityModel) -> list[str]:
    """Return the table of all parameters: given, defined in the code, or assumed."""
    return markdown_table(PARAMETER_HEADER, [_parameter_row(model, p) for p in model.table.parameters])


def _parameter_row(model: CapacityModel, parameter: Parameter) -> list[str]:
    value = model.parameter(parameter.name, model.growth_path.at_target())
    formula = parameter.formula.text if parameter.formula else ""
    return [
        f"`{parameter.name}`",
        format_quantity(value, parameter.unit, PARAMETER_DIGITS),
        parameter.origin,
        f"`{parameter.target_path or parameter.code_path or formula}`",
        parameter.source,
    ]


def result_table(results: Mapping[str, Result]) -> list[str]:
    """Return the table of the stored results that the page uses, with the revision that each measured."""
    return markdown_table(RESULT_HEADER, [_result_row(file, r) for file, r in sorted(results.items())])


def _result_row(file: str, result: Result) -> list[str]:
    revision = result.versions.revision
    return [
        link_to_result(file),
        result.started_at,
        revision[:SHORT_REVISION_LENGTH] + revision[REVISION_LENGTH:],
        str(len(result.samples)),
        ", ".join(_ranges(result)),
        "yes" if result.complete else "no",
    ]


def _ranges(result: Result) -> list[str]:
    """Return the smallest and the largest value of each column that varies."""
    ranges = []
    for column in varying_columns([sample.size for sample in result.samples]):
        values = [sample.size[column] for sample in result.samples]
        smallest, largest = format_number(min(values), SIZE_DIGITS), format_number(max(values), SIZE_DIGITS)
        ranges.append(f"{column} {smallest} to {largest}")
    return ranges
