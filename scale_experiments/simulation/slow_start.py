"""The capacity of a cache server during slow start, and how much of its budget the routers used."""

from __future__ import annotations

import bisect
import math
from collections.abc import Sequence
from dataclasses import dataclass

from cache_router.settings import Settings
from scale_experiments.simulation.model import FleetModel


@dataclass(slots=True, frozen=True)
class BudgetUse:
    """The largest share of a warming server's budget that it was sent within any window.

    With a budget of N attempts, `strict` is the share of N. `with_tolerance` is the share of
    N + 2 x sqrt(N) + 2, which includes a statistical tolerance.
    """

    strict: float
    with_tolerance: float


def capacity_share(settings: Settings, age: float) -> float:
    """The share of its capacity that a server has `age` seconds after its start; it rises linearly to 1."""
    if age >= settings.slow_start_duration:
        return 1.0
    initial = settings.slow_start_initial_share
    return initial + (1 - initial) * age / settings.slow_start_duration


def capacity_within(settings: Settings, model: FleetModel, age: float, window: float) -> float:
    """Requests that a cache server can serve within `window` seconds from `age` seconds after its start."""
    duration, initial = settings.slow_start_duration, settings.slow_start_initial_share
    warming = max(0.0, min(window, duration - age))  # seconds of the window within the slow start
    mean_share = initial + (1 - initial) * (age + warming / 2) / duration if warming else 1.0
    full_seconds = warming * mean_share + window - warming
    return max(1, model.cores) * full_seconds / model.mean_service_time


def budget_use(
    settings: Settings, model: FleetModel, arrivals: Sequence[float], started_at: float
) -> BudgetUse:
    """How much of its budget a server that started at `started_at` was sent.

    `arrivals` are the times of the attempts received, in ascending order. Each window begins with an arrival
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
