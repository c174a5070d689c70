"""Which of many equal events in a row are logged: a change of state, and then at growing intervals."""

from __future__ import annotations


def is_logged(count: int) -> bool:
    """Whether the event that occurs for the `count`th time in a row is logged: the 1st, 2nd, 4th, 8th, ..."""
    return count & (count - 1) == 0
