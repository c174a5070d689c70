"""How quantities, sizes and tables are written on the page."""

from __future__ import annotations

from collections.abc import Sequence

from scale_experiments.capacity.breaking_point import MAX_PROGRESS
from scale_experiments.capacity.model import GrowthPath
from scale_experiments.capacity.schema import MISSING_MECHANISM, Unit
from scale_experiments.estimate import Estimate
from scale_experiments.number_format import format_number, format_with_error

SCALES: dict[str, tuple[tuple[float, str], ...]] = {
    "bytes": ((1e12, " TB"), (1e9, " GB"), (1e6, " MB"), (1e3, " KB"), (1.0, " B")),
    "bytes_per_s": ((1e12, " TB/s"), (1e9, " GB/s"), (1e6, " MB/s"), (1e3, " KB/s"), (1.0, " B/s")),
    "s": ((86_400.0, " d"), (3_600.0, " h"), (60.0, " min"), (1.0, " s"), (1e-3, " ms"), (1e-6, " µs")),
    "share": ((0.01, "%"),),
    "cores": ((1.0, " cores"), (0.01, "% of a core")),
    "per_s": ((1.0, "/s"),),
    "per_day": ((1.0, "/day"),),
    "count": ((1.0, ""),),
}


def format_quantity(value: float, unit: Unit, error: float = 0.0, digits: int = 3) -> str:
    """A number with its unit and, where there is one, its standard error."""
    scales = SCALES[unit]
    plain = next((s for s in scales if s[0] == 1.0), scales[-1])
    factor, name = next((s for s in scales if abs(value) >= s[0]), scales[-1]) if value else plain
    estimate = Estimate(value, error)
    text = (
        format_with_error(estimate.scaled(factor))
        if estimate.has_error
        else format_number(value / factor, digits)
    )
    return text + (" core" if name == " cores" and text == "1" else name)


def format_size(growth_path: GrowthPath, t: float | None) -> str:
    """A point of the way, as routers and caches."""
    if t is None:
        return f"not before {MAX_PROGRESS:g} times the way"
    if t == 0:
        return "at today's size"
    size = growth_path.size(t)
    return f"{size['routers']:,.0f} / {size['caches']:,.0f}"


def markdown_table(header: Sequence[str], rows: Sequence[Sequence[str]]) -> list[str]:
    """A table in Markdown."""
    lines = ["| " + " | ".join(header) + " |", "| " + " | ".join("---" for _ in header) + " |"]
    return lines + ["| " + " | ".join(cell.replace("|", "\\|") for cell in row) + " |" for row in rows]


def format_mechanism(mechanism: str) -> str:
    """What carries a line, as on the page."""
    return (
        f"**{MISSING_MECHANISM}**" if mechanism == MISSING_MECHANISM else f"`{mechanism.replace(':', ', ')}`"
    )
