"""The throughput of warm servers: the rate of responses with exponential decay."""

from __future__ import annotations

import math

import pytest

from cache_router.decisions.warm_throughput import WarmThroughput


def test_rate_is_zero_before_the_first_response() -> None:
    assert WarmThroughput(started_at=5.0, time_constant=1.0).rate(5.0, min_age=1.0) == 0.0


@pytest.mark.parametrize("seconds", [2, 20])
def test_rate_of_steady_responses_does_not_depend_on_the_age(seconds: int) -> None:
    """A router that has just started would otherwise measure too low a rate, and set too small quotas."""
    throughput = WarmThroughput(started_at=0.0, time_constant=1.0)
    for n in range(seconds * 100):
        throughput.add((n + 0.5) / 100, warm_size=4.0)
    assert throughput.rate(float(seconds), min_age=1.0) == pytest.approx(100 / 4, rel=1e-3)


def test_response_decays_to_1_over_e_after_the_time_constant() -> None:
    throughput = WarmThroughput(started_at=-1000.0, time_constant=2.0)
    throughput.add(0.0, warm_size=1.0)
    assert throughput.rate(0.0, min_age=1.0) == pytest.approx(1 / 2)
    assert throughput.rate(2.0, min_age=1.0) == pytest.approx(1 / 2 / math.e)


def test_first_response_is_counted_over_the_minimum_age() -> None:
    """Otherwise a response immediately after the start would give an unbounded rate."""
    throughput = WarmThroughput(started_at=0.0, time_constant=1.0)
    throughput.add(0.0, warm_size=1.0)
    assert throughput.rate(0.0, min_age=1.0) == pytest.approx(1 / (1 - 1 / math.e))
