"""Numbers as text, the same on every machine."""

from __future__ import annotations

import math

ROUNDING_TOLERANCE = (
    1e-9  # of a value: below it is what arithmetic leaves, which differs from machine to machine
)
SIGNIFICANT_DIGITS = 3


def format_number(value: float, digits: int = SIGNIFICANT_DIGITS) -> str:
    """A number in plain digits where it is neither very large nor very small; the same on every machine."""
    if not math.isfinite(value):
        return "not known"
    text = f"{value:.{digits}g}"
    if "e" not in text:
        return text
    return f"{float(text):,.0f}" if 1 <= abs(value) < 1e15 else text


def format_with_error(value: float, error: float) -> str:
    """A number and its standard error, which is nothing where it is only noise of the arithmetic."""
    error = error if error > ROUNDING_TOLERANCE * abs(value) else 0.0
    return f"{format_number(value)} ± {format_number(error, 2)}"
