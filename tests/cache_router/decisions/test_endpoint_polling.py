"""Polls for the endpoint list, and the backoff after a failed poll."""

from __future__ import annotations

import pytest

from cache_router.decisions.actions import LogMessage, SetTimer, SubscribeToEndpoints
from cache_router.decisions.events import DiscoveryAddressChanged, EndpointUpdateKind, TimerFired
from tests.support.driver import Driver, DriverFactory
from tests.support.router_scenarios import FAILED_POLL, fleet


def test_router_subscribes_and_backs_off_after_failures(make_driver: DriverFactory) -> None:
    driver = make_driver(must_subscribe=True)
    assert SubscribeToEndpoints() in driver.update_endpoints(*fleet("a"), kind=EndpointUpdateKind.CACHED)
    backoffs = []
    logged = []
    for _ in range(6):
        timer, *log = driver.handle(FAILED_POLL)
        logged += [line.message for line in log if isinstance(line, LogMessage)]
        assert isinstance(timer, SetTimer)
        backoffs.append(timer.delay)
        driver.timers.clear()
        assert driver.handle(TimerFired(timer.timer)) == [SubscribeToEndpoints()]
    assert backoffs[-1] > backoffs[0]
    # Failures are logged at growing intervals, as thousands of routers fail at once and many times each.
    assert logged == [f"discovery: {count} consecutive failures" for count in (1, 2, 4)]


def test_backoff_after_a_watch_timeout_is_at_most_one_second(make_driver: DriverFactory) -> None:
    """Most of the notification deadline of 6 s has passed when a poll without a response times out."""
    driver = make_driver(must_subscribe=True, overload_window=60.0, slow_start_duration=60.0)
    driver.now += driver.settings.watch_budget.poll_timeout
    (timer,) = (action for action in driver.handle(FAILED_POLL) if isinstance(action, SetTimer))
    assert timer.delay <= 1.0


@pytest.mark.parametrize("drain_grace_period", [0.0, 0.2, 0.5, 4.0])
def test_pushed_watch_is_reopened_within_half_the_drain_grace_period(
    make_driver: DriverFactory, drain_grace_period: float
) -> None:
    """During a longer backoff the router would send requests to draining servers.

    The router counts as notified as soon as the agent on its machine has the update.
    """
    driver = make_driver(drain_grace_period=drain_grace_period, overload_window=2.0, slow_start_duration=9.0)
    for _ in range(12):
        (timer,) = (a for a in driver.handle(FAILED_POLL) if isinstance(a, SetTimer))
        assert 0 < timer.delay <= max(drain_grace_period / 2, 0.05)  # 50 ms is MIN_BACKOFF
        driver.timers.clear()
        assert driver.handle(TimerFired(timer.timer)) == [SubscribeToEndpoints()]


def test_new_discovery_address_is_polled_at_once(make_driver: DriverFactory) -> None:
    """The backoff after failures of the old address would delay updates from the new one."""
    driver = make_driver(must_subscribe=True)
    for _ in range(4):
        driver.handle(FAILED_POLL)
    assert driver.handle(DiscoveryAddressChanged()) == [SubscribeToEndpoints()]
    timer, _ = driver.handle(FAILED_POLL)
    assert isinstance(timer, SetTimer)
    assert timer.delay <= driver.settings.overload_window


def test_new_discovery_address_is_not_polled_where_updates_are_pushed(driver: Driver) -> None:
    assert driver.handle(DiscoveryAddressChanged()) == []
