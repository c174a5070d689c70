"""Logging of consecutive equal events: a change of state is logged, then repeats at growing intervals."""

from __future__ import annotations


def is_logged(count: int) -> bool:
    """Return whether the `count`th of consecutive equal events is logged: the 1st, 2nd, 4th, 8th, ..."""
    return count & (count - 1) == 0
