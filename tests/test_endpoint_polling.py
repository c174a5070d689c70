"""Calls for the endpoint list, and the backoff after those that fail."""

from __future__ import annotations

import pytest

from cache_router.decisions.actions import LogMessage, SetTimer, SubscribeToEndpoints
from cache_router.decisions.events import (
    DiscoveryAddressChanged,
    EndpointUpdate,
    EndpointUpdateKind,
    TimerFired,
)
from tests.driver import Driver, settings
from tests.router_scenarios import FAILED_CALL, fleet


def test_subscribes_and_backs_off_after_failures() -> None:
    driver = Driver(settings(must_subscribe=True))
    assert SubscribeToEndpoints() in driver.update_endpoints(*fleet("a"), kind=EndpointUpdateKind.CACHED)
    pauses = []
    for _ in range(6):
        timer, log = driver.handle(EndpointUpdate(EndpointUpdateKind.FAILED))
        assert isinstance(log, LogMessage)
        assert "out of reach" in log.message
        assert isinstance(timer, SetTimer)
        pauses.append(timer.delay)
        driver.timers.clear()
        assert driver.handle(TimerFired(timer.timer)) == [SubscribeToEndpoints()]
    assert pauses[-1] > pauses[0]
    # what a silent watch missed counts as told after six seconds: most of them are gone when it is given up
    first = Driver(settings(must_subscribe=True, overload_window=60.0, slow_start_duration=60.0))
    first.now += first.settings.watch_budget.call_timeout
    assert all(t.delay <= 1.0 for t in first.handle(FAILED_CALL) if isinstance(t, SetTimer))


@pytest.mark.parametrize("grace", [0.0, 0.2, 0.5, 4.0])
def test_a_pushed_list_is_asked_for_again_well_within_what_drains_allow(grace: float) -> None:
    """What the agent holds counts as told at once: a doubling pause sends to servers that leave meanwhile."""
    driver = Driver(settings(drain_grace_period=grace, overload_window=2.0, slow_start_duration=9.0))
    for _ in range(12):
        (timer,) = (a for a in driver.handle(FAILED_CALL) if isinstance(a, SetTimer))
        assert 0 < timer.delay <= max(grace / 2, 0.05)  # every limit is 50 ms longer
        driver.timers.clear()
        assert driver.handle(TimerFired(timer.timer)) == [SubscribeToEndpoints()]


def test_another_discovery_is_asked_at_once() -> None:
    """The pause that failures of the last one earned would let the news of the new one count as told."""
    driver = Driver(settings(must_subscribe=True))
    for _ in range(4):
        driver.handle(EndpointUpdate(EndpointUpdateKind.FAILED))
    assert driver.handle(DiscoveryAddressChanged()) == [SubscribeToEndpoints()]
    timer, _ = driver.handle(EndpointUpdate(EndpointUpdateKind.FAILED))
    assert isinstance(timer, SetTimer)
    assert timer.delay <= driver.settings.overload_window
    assert Driver(settings()).handle(DiscoveryAddressChanged()) == []
