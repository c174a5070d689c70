"""The search for a breaking point: the first point of the growth path at which a budget is exceeded."""

from __future__ import annotations

from collections.abc import Callable

MAX_PROGRESS = 10.0  # the search ends at this multiple of the path from today to the target
SCAN_STEPS = 80  # half of the scanned points are up to the target, half beyond it
BISECTION_STEPS = 60  # more than the 53 significant bits of a float


def find_breaking_point(excess: Callable[[float], float]) -> float | None:
    """Find the first progress from 0 to MAX_PROGRESS at which the excess is above 0; None if there is none.

    The excess at a progress is above 0 if the demand exceeds its budget there. An excess that starts and ends
    between two neighbouring points of the scan is not found.
    """
    if excess(0.0) > 0:
        return 0.0
    below = 0.0
    for step in range(1, SCAN_STEPS + 1):
        progress = _progress_of_step(step)
        if excess(progress) > 0:
            return _bisect(excess, below, progress)
        below = progress
    return None


def _progress_of_step(step: int) -> float:
    """Return the progress of a step: linear spacing up to the target (progress 1), geometric beyond it."""
    half = SCAN_STEPS / 2
    return step / half if step <= half else MAX_PROGRESS ** ((step - half) / half)


def _bisect(excess: Callable[[float], float], below: float, above: float) -> float:
    """Return the crossing between a progress without an excess and a progress with an excess."""
    for _ in range(BISECTION_STEPS):
        middle = (below + above) / 2
        if excess(middle) > 0:
            above = middle
        else:
            below = middle
    return above
