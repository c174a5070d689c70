"""The first point of a growth path at which a limit is exceeded."""

from __future__ import annotations

from collections.abc import Callable

MAX_PROGRESS = 10.0  # ways from today to the target, after which a break is no longer looked for
SCAN_STEPS = 80  # at which a break is looked for on the way
BISECTION_STEPS = 60


def first_exceeding(excess: Callable[[float], float]) -> float | None:
    """The first t from 0 to MOST at which an excess is above 0; None where it is at none of many steps."""
    if excess(0.0) > 0:
        return 0.0
    below = 0.0
    for step in range(1, SCAN_STEPS + 1):
        # as many steps between 0 and 1 as beyond
        t = (
            step / (SCAN_STEPS / 2)
            if step <= SCAN_STEPS / 2
            else MAX_PROGRESS ** ((step - SCAN_STEPS / 2) / (SCAN_STEPS / 2))
        )
        if excess(t) > 0:
            above = t
            for _ in range(BISECTION_STEPS):
                middle = (below + above) / 2
                below, above = (below, middle) if excess(middle) > 0 else (middle, above)
            return above
        below = t
    return None
