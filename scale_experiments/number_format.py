"""Formatting of numbers, independent of the locale."""

from __future__ import annotations

import math

from scale_experiments.measurement.estimate import Estimate

# significant digits of numbers in general, of standard errors, of extrapolation factors and of fleet sizes
SIGNIFICANT_DIGITS = 3
ERROR_DIGITS = 2
FACTOR_DIGITS = 2
SIZE_DIGITS = 5
MAX_PLAIN = 1e15  # larger numbers are written with an exponent


def format_number(value: float, digits: int = SIGNIFICANT_DIGITS) -> str:
    """Format a number, with an exponent only if it is very large or small; "not known" if not finite."""
    if not math.isfinite(value):
        return "not known"
    text = f"{value:.{digits}g}"
    if "e" not in text:
        return text
    return f"{float(text):,.0f}" if 1 <= abs(value) < MAX_PLAIN else text


def format_with_error(estimate: Estimate) -> str:
    """Format a value and its standard error; an error that is only due to rounding is written as 0."""
    error = estimate.standard_error if estimate.has_error else 0.0
    return f"{format_number(estimate.value)} ± {format_number(error, ERROR_DIGITS)}"
