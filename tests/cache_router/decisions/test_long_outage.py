"""An outage of discovery that lasts for many polls."""

from __future__ import annotations

import pytest

from cache_router.decisions.actions import SetTimer
from tests.support.driver import DriverFactory
from tests.support.router_scenarios import FAILED_POLL

FAILED_POLLS = 1100  # about three minutes of outage where updates are pushed and polls fail immediately


@pytest.mark.parametrize("must_subscribe", [False, True])
def test_each_failed_poll_of_a_long_outage_sets_a_timer_for_the_next(
    make_driver: DriverFactory, must_subscribe: bool
) -> None:
    """Without a timer for the next poll, the router would keep an outdated list after discovery recovers."""
    driver = make_driver(must_subscribe=must_subscribe)
    for call in range(FAILED_POLLS):
        timers = [action for action in driver.handle(FAILED_POLL) if isinstance(action, SetTimer)]
        assert len(timers) == 1, f"call {call}"
        assert timers[0].delay <= driver.settings.slow_start_duration
        driver.now += timers[0].delay
        driver.timers.clear()
