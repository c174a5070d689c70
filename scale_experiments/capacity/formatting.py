"""Formatting of quantities, sizes and tables for the page."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from scale_experiments.capacity.breaking_point import MAX_PROGRESS
from scale_experiments.capacity.growth_path import GrowthPath
from scale_experiments.capacity.schema import MISSING_MECHANISM, Unit
from scale_experiments.measurement.estimate import Estimate
from scale_experiments.number_format import SIGNIFICANT_DIGITS, format_number, format_with_error


@dataclass(slots=True, frozen=True)
class Scale:
    """A multiple of a unit, and the suffix of numbers that are written in it."""

    factor: float
    suffix: str


# largest factor first; a number is written in the first scale whose factor it reaches
SCALES: dict[Unit, tuple[Scale, ...]] = {
    "bytes": (Scale(1e12, " TB"), Scale(1e9, " GB"), Scale(1e6, " MB"), Scale(1e3, " KB"), Scale(1.0, " B")),
    "bytes_per_s": (
        Scale(1e12, " TB/s"),
        Scale(1e9, " GB/s"),
        Scale(1e6, " MB/s"),
        Scale(1e3, " KB/s"),
        Scale(1.0, " B/s"),
    ),
    "s": (
        Scale(86_400.0, " d"),
        Scale(3_600.0, " h"),
        Scale(60.0, " min"),
        Scale(1.0, " s"),
        Scale(1e-3, " ms"),
        Scale(1e-6, " µs"),
    ),
    "share": (Scale(0.01, "%"),),
    "cores": (Scale(1.0, " cores"), Scale(0.01, "% of a core")),
    "per_s": (Scale(1.0, "/s"),),
    "per_day": (Scale(1.0, "/day"),),
    "count": (Scale(1.0, ""),),
}


def format_quantity(value: float, unit: Unit, digits: int = SIGNIFICANT_DIGITS) -> str:
    """Format a number with its unit, in the largest multiple in which it is at least 1."""
    scale = _scale_for(value, unit)
    return _with_suffix(format_number(value / scale.factor, digits), scale)


def format_estimate(estimate: Estimate, unit: Unit) -> str:
    """Format a number with its unit, and with its standard error if it has one."""
    if not estimate.has_error:
        return format_quantity(estimate.value, unit)
    scale = _scale_for(estimate.value, unit)
    return _with_suffix(format_with_error(estimate.scaled(scale.factor)), scale)


def _scale_for(value: float, unit: Unit) -> Scale:
    scales = SCALES[unit]
    if value:
        return next((scale for scale in scales if abs(value) >= scale.factor), scales[-1])
    return next((scale for scale in scales if scale.factor == 1.0), scales[-1])


def _with_suffix(text: str, scale: Scale) -> str:
    return "1 core" if text == "1" and scale.suffix == " cores" else text + scale.suffix


def format_progress(growth_path: GrowthPath, progress: float | None) -> str:
    """Format a point of the growth path as routers and caches; a progress of None is beyond MAX_PROGRESS."""
    if progress is None:
        return f"not within {MAX_PROGRESS:g} times the growth path"
    if progress == 0:
        return "at today's size"
    size = growth_path.at(progress).size
    return f"{size.routers:,.0f} / {size.caches:,.0f}"


def format_mechanism(mechanism: str) -> str:
    """Format the reference to the code that carries a demand, or mark the mechanism as missing."""
    if mechanism == MISSING_MECHANISM:
        return f"**{MISSING_MECHANISM}**"
    return f"`{mechanism.replace(':', ', ')}`"


def markdown_table(header: Sequence[str], rows: Sequence[Sequence[str]]) -> list[str]:
    """Return the lines of a Markdown table; vertical bars in its cells are escaped."""
    lines = ["| " + " | ".join(header) + " |", "| " + " | ".join("---" for _ in header) + " |"]
    return lines + ["| " + " | ".join(cell.replace("|", "\\|") for cell in row) + " |" for row in rows]
