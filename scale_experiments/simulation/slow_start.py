"""Capacity of a cache server during slow start, and the share of its budget that the routers used."""

from __future__ import annotations

import bisect
import math
from collections.abc import Sequence
from dataclasses import dataclass

from cache_router.settings import Settings
from scale_experiments.simulation.model import FleetModel


@dataclass(slots=True, frozen=True)
class BudgetUse:
    """Largest number of attempts that a warming server received in any window, relative to its budget.

    With a budget of N attempts, `strict` is relative to N. `with_tolerance` is relative to
    N + 2 x sqrt(N) + 2, which includes a statistical tolerance.
    """

    strict: float
    with_tolerance: float


def capacity_share(settings: Settings, age: float) -> float:
    """Return the share of its full capacity that a server has `age` seconds after its start.

    The share rises linearly to 1 during slow start.
    """
    if age >= settings.slow_start_duration:
        return 1.0
    initial = settings.slow_start_initial_share
    return initial + (1 - initial) * age / settings.slow_start_duration


def capacity_within(settings: Settings, model: FleetModel, age: float, window: float) -> float:
    """Return the number of requests that a cache server can serve in `window` seconds, from an age on.

    `age` is the time in seconds since the start of the server.
    """
    duration, initial = settings.slow_start_duration, settings.slow_start_initial_share
    warming = max(0.0, min(window, duration - age))  # seconds of the window that fall into slow start
    mean_share = initial + (1 - initial) * (age + warming / 2) / duration if warming else 1.0
    full_seconds = warming * mean_share + window - warming
    return max(1, model.cores) * full_seconds / model.mean_service_time


def budget_use(
    settings: Settings, model: FleetModel, arrivals: Sequence[float], started_at: float
) -> BudgetUse:
    """Return the budget use of a server that started at `started_at`.

    `arrivals` are the arrival times of the attempts, in ascending order. Each window begins with an arrival
    and is `Settings.overload_window` seconds long. Its budget is `Settings.overload_multiple` times the
    capacity within it.
    """
    after_start = [at for at in arrivals if at >= started_at]
    strict = with_tolerance = 0.0
    for i, begin in enumerate(after_start):
        received = bisect.bisect_right(after_start, begin + settings.overload_window) - i
        capacity = capacity_within(settings, model, begin - started_at, settings.overload_window)
        budget = settings.overload_multiple * capacity
        strict = max(strict, received / budget)
        with_tolerance = max(with_tolerance, received / (budget + 2 * math.sqrt(budget) + 2))
    return BudgetUse(strict, with_tolerance)
