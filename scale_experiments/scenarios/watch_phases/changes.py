"""Cost of endpoint list changes, and the propagation of these changes to the routers."""

from __future__ import annotations

import time
from collections.abc import Sequence
from dataclasses import dataclass

from pydantic import Field

from scale_experiments.routers.watch_fleet import WatchFleet
from scale_experiments.runs.metrics import Bytes, Count, Metrics, Ratio, Seconds
from scale_experiments.scenarios.watch_phases.distribution import peak_polls, quantile


class ChangeMetrics(Metrics):
    """Resource usage of discovery and of the routers for changes of the endpoint list."""

    change_discovery_cpu_s: Seconds = Field(
        description="CPU seconds of discovery for a change, including the polls that it answers"
    )
    change_discovery_cpu_per_router_s: Seconds = Field(
        description="CPU seconds of discovery for a change, per router"
    )
    change_out_per_router_bytes: Bytes = Field(
        description="HTTP bytes from discovery for a change, per router"
    )
    change_calls_per_router: Ratio = Field(description="polls for a change, per router")
    change_peak_calls_per_100ms: Count = Field(
        description="polls at discovery in the busiest tenth of a second of the phase with changes"
    )
    change_real_cpu_s: Seconds = Field(description="CPU seconds of one real router for a change")
    written_s: Seconds = Field(
        description="seconds from a change until discovery had answered all waiting polls with it, median"
    )


class PropagationMetrics(Metrics):
    """Delays from changes until the routers receive them."""

    spread_p50_s: Seconds = Field(description="seconds from a change until 50% of all routers had it")
    spread_p99_s: Seconds = Field(description="seconds from a change until 99% of all routers had it")
    spread_all_s: Seconds = Field(
        description="seconds from a change until all routers had it, the slowest of the changes"
    )
    spread_unheard: Count = Field(
        description="notifications of a change that a router did not receive before the next phase"
    )


@dataclass(slots=True, frozen=True)
class ChangePropagation:
    """Propagation of changes to the routers."""

    delays: Sequence[float]  # delays of all routers and changes in seconds, sorted
    slowest_s: float  # longest delay of any change
    unnotified: int  # number of notifications that did not reach their router


@dataclass(slots=True, frozen=True)
class ChangeSchedule:
    """Number and interval of changes, and the longest wait until all routers have received the last one."""

    changes: int
    interval_s: float
    timeout_s: float


@dataclass(slots=True, frozen=True)
class ChangePhase:
    """Results of the phase with changes: their cost, and their propagation."""

    costs: ChangeMetrics
    propagation: ChangePropagation


def measure_changes(fleet: WatchFleet, schedule: ChangeSchedule) -> ChangePhase:
    """Measure changes whose interval is shorter than a long poll, so that changes end all polls."""
    fleet.change()  # synchronizes the polls of all routers, as frequent changes do
    fleet.wait_until_notified(schedule.timeout_s)
    before = fleet.usage()
    first_index = fleet.index + 1
    answer_times_s = make_changes(fleet, schedule)
    fleet.wait_until_notified(schedule.timeout_s)
    used = fleet.usage().since(before)
    changes, routers = schedule.changes, fleet.options.routers
    propagation = measure_propagation(fleet, first_index)
    costs = ChangeMetrics(
        change_discovery_cpu_s=used.cpu_s / changes,
        change_discovery_cpu_per_router_s=used.cpu_s / changes / routers,
        change_out_per_router_bytes=used.bytes_out / changes / routers,
        change_calls_per_router=used.polls / changes / routers,
        change_peak_calls_per_100ms=peak_polls(fleet.polls_since(before.at), 1),
        change_real_cpu_s=used.real_cpu_s / changes / fleet.real_routers,
        written_s=sorted(answer_times_s)[len(answer_times_s) // 2],
    )
    return ChangePhase(costs, propagation)


def make_changes(fleet: WatchFleet, schedule: ChangeSchedule) -> list[float]:
    """Make the changes of a schedule.

    Returns, for each change, the seconds until discovery had answered all waiting polls with it.
    """
    answer_times_s = []
    for _ in range(schedule.changes):
        started_at = time.monotonic()
        fleet.change()
        answer_times_s.append(fleet.notification_s())
        time.sleep(max(0.0, schedule.interval_s - (time.monotonic() - started_at)))
    return answer_times_s


def measure_propagation(fleet: WatchFleet, first_index: int) -> ChangePropagation:
    """Read the delays with which the routers received the changes from `first_index` to the latest."""
    delays: list[float] = []
    slowest, unnotified = 0.0, 0
    for index in range(first_index, fleet.index + 1):
        notification = fleet.notification_delays(index, fleet.changed_at[index])
        delays += notification.delays_s
        slowest = max(slowest, notification.delays_s[-1] if notification.delays_s else 0.0)
        unnotified += notification.missing
    return ChangePropagation(sorted(delays), slowest, unnotified)


def propagation_metrics(propagation: ChangePropagation) -> PropagationMetrics:
    """Compute the metrics of the propagation of changes."""
    return PropagationMetrics(
        spread_p50_s=quantile(propagation.delays, 0.5),
        spread_p99_s=quantile(propagation.delays, 0.99),
        spread_all_s=propagation.slowest_s,
        spread_unheard=propagation.unnotified,
    )
