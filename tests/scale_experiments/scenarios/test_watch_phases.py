"""Statistics of the watch scenario, and the metrics of the return of discovery."""

from __future__ import annotations

import pytest

from scale_experiments.routers.watch_fleet import NotificationDelays
from scale_experiments.scenarios.registry import SCENARIOS
from scale_experiments.scenarios.watch import MODES, return_prefix
from scale_experiments.scenarios.watch_phases.changes import ChangePropagation, propagation_metrics
from scale_experiments.scenarios.watch_phases.distribution import delay_histogram, peak_polls, quantile
from scale_experiments.scenarios.watch_phases.outage import OUTAGES, DiscoveryReturn, ReturnMetrics

# number of polls, by the number of the bucket of a tenth of a second
POLLS: dict[float, float] = {10: 4.0, 11: 2.0, 15: 1.0, 20: 3.0}


@pytest.mark.parametrize(("share", "value"), [(0.0, 1.0), (0.5, 3.0), (0.99, 4.0), (1.0, 4.0)])
def test_a_quantile_is_one_of_the_values(share: float, value: float) -> None:
    assert quantile([1.0, 2.0, 3.0, 4.0], share) == value


@pytest.mark.parametrize(("buckets", "polls"), [(1, 4.0), (2, 6.0), (10, 7.0)])
def test_peak_polls_are_those_of_consecutive_buckets(buckets: int, polls: float) -> None:
    assert peak_polls(POLLS, buckets) == polls


def test_there_is_no_peak_without_polls() -> None:
    assert peak_polls({}, 10) == 0.0


def test_delays_are_recorded_in_microseconds() -> None:
    histogram = delay_histogram([0.0, 0.001])
    assert histogram.get_total_count() == 2
    assert histogram.get_min_value() == 1
    assert histogram.get_max_value() == pytest.approx(1000, rel=0.01)


def test_propagation_metrics_have_the_slowest_change_and_routers_that_were_not_notified() -> None:
    metrics = propagation_metrics(
        ChangePropagation(delays=[0.1, 0.2, 0.4], slowest_s=0.4, unnotified=2)
    ).values()
    assert metrics == {"spread_p50_s": 0.2, "spread_p99_s": 0.4, "spread_all_s": 0.4, "spread_unheard": 2.0}


def test_return_metrics_have_the_peaks_and_delays() -> None:
    outcome = DiscoveryReturn(
        POLLS, polls_per_router=2.5, cpu_s=0.25, notification=NotificationDelays([0.5, 1.5], 1)
    )
    assert outcome.metrics().values() == {
        "peak_calls_per_s": 7.0,
        "peak_calls_per_100ms": 4.0,
        "calls_per_router": 2.5,
        "unheard": 1.0,
        "cpu_s": 0.25,
        "p50_s": 1.5,
        "p99_s": 1.5,
        "all_s": 1.5,
    }


def test_return_metrics_without_notified_routers_have_no_delays() -> None:
    metrics = DiscoveryReturn({}, 0.0, 0.0, NotificationDelays([], 3)).metrics().values()
    assert metrics["unheard"] == 3.0
    assert not {"p50_s", "p99_s", "all_s"} & set(metrics)


def test_every_mode_and_outage_has_its_return_metrics() -> None:
    declared = SCENARIOS["watch"].metric_descriptions
    returns = [name for name in declared if name.startswith("return_")]
    assert returns == [
        f"{return_prefix(mode, outage)}_{name}"
        for mode in MODES
        for outage in OUTAGES
        for name in ReturnMetrics.descriptions()
    ]
    assert declared["return_pushed_busy_unheard"].endswith("; list pushed, outage busy")
