"""The exponentially weighted means over all attempts at caches."""

from __future__ import annotations

import pytest

from cache_router.decisions.fleet_health import SMOOTHING, FleetHealth


def test_success_rate_moves_by_the_weight_of_one_sample() -> None:
    health = FleetHealth()
    health.record(is_good=False, latency=0.1, reported_load=0.0)
    assert health.success_rate == pytest.approx(1 - SMOOTHING)
    health.record(is_good=True, latency=0.1, reported_load=0.0)
    assert health.success_rate == pytest.approx(1 - SMOOTHING + SMOOTHING * SMOOTHING)


def test_queueing_latency_is_that_of_each_request_in_flight() -> None:
    """Each request takes two seconds, with four in flight per unit of size, itself included."""
    health = FleetHealth()
    for _ in range(100):
        health.record(is_good=True, latency=2.0, reported_load=3.0)
    assert health.queueing_latency == pytest.approx(0.5)
