"""Numbers as text, the same on every machine."""

from __future__ import annotations

import math

NOISE = 1e-9  # of a value: below it is what arithmetic leaves, which differs from machine to machine
DIGITS = 3


def number(value: float, digits: int = DIGITS) -> str:
    """A number in plain digits where it is neither very large nor very small; the same on every machine."""
    if not math.isfinite(value):
        return "not known"
    text = f"{value:.{digits}g}"
    if "e" not in text:
        return text
    return f"{float(text):,.0f}" if 1 <= abs(value) < 1e15 else text


def with_error(value: float, error: float) -> str:
    """A number and its standard error, which is nothing where it is only noise of the arithmetic."""
    return f"{number(value)} ± {number(error if error > NOISE * abs(value) else 0.0, 2)}"
