"""The watch budget: a timeout, the backoff and the next poll together keep the notification deadline."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from cache_router.decisions.actions import Action, SetTimer, SubscribeToEndpoints
from cache_router.decisions.events import (
    DiscoveryAddressChanged,
    EndpointUpdate,
    EndpointUpdateKind,
    TimerFired,
    TimerKind,
)
from cache_router.decisions.router import Router
from cache_router.settings import MIN_BACKOFF, WatchBudget
from tests.support.driver import Driver
from tests.support.endpoint_lists import ENDPOINT_ENTRY, WatchRecorder, accept_poll, encode_endpoint_list
from tests.support.loopback import Peer, encode_http_response
from tests.support.router_inputs import entry, settings
from tests.support.router_scenarios import FAILED_POLL

SETTINGS = {
    "polled": settings(must_subscribe=True, overload_window=2.0, slow_start_duration=8.9),
    "pushed": settings(slow_start_duration=8.9),
}
# Duration of the nth failing poll, as a share of the poll's timeout.
FAILED_POLL_DURATIONS: dict[str, Callable[[int], float]] = {
    "hangs": lambda n: 1.0,
    "connection refused": lambda n: 0.0,
    "503": lambda n: 0.66,
    "mixed": lambda n: (1.0, 0.0, 0.66, 0.3)[n % 4],
}


def starts_poll(actions: list[Action]) -> bool:
    """Return whether one of the actions subscribes, which starts a poll of discovery."""
    return any(isinstance(a, SubscribeToEndpoints) for a in actions)


def fail_poll(driver: Driver, duration: float) -> float:
    """Let the poll that starts now fail after `duration` seconds; return the start time of the next one."""
    driver.now += duration
    timers = [a for a in driver.handle(FAILED_POLL) if isinstance(a, SetTimer)]
    timers = [timer for timer in timers if timer.timer.kind is TimerKind.ENDPOINT_POLL]
    driver.timers.clear()
    assert len(timers) == 1
    driver.now += timers[0].delay
    assert starts_poll(driver.handle(TimerFired(timers[0].timer)))
    return driver.now


@pytest.mark.parametrize("mode", SETTINGS)
@pytest.mark.parametrize("failure", FAILED_POLL_DURATIONS)
@pytest.mark.parametrize("seed", range(5))
def test_update_is_known_before_its_notification_deadline(mode: str, failure: str, seed: int) -> None:
    """After an outage of any length, a change is known within 6 s.

    Discovery recovers right after the start of a poll, and has a change. The next poll must get it in time.
    """
    conf = SETTINGS[mode]
    budget = conf.watch_budget
    driver = Driver(conf, seed)
    driver.update_endpoints(entry("a"))
    poll_started = driver.now
    for n in range(40):
        next_started = fail_poll(driver, FAILED_POLL_DURATIONS[failure](n) * budget.poll_timeout)
        assert next_started - poll_started + budget.response_timeout <= 6.0 - budget.scheduling_slack + 1e-6
        poll_started = next_started


@pytest.mark.parametrize("mode", SETTINGS)
def test_lost_first_poll_at_a_new_address_is_retried_in_time(mode: str) -> None:
    """Updates from the new address must be known within 4 s after SIGHUP."""
    driver = Driver(SETTINGS[mode])
    driver.update_endpoints(entry("a"))
    driver.advance(60.0)
    for _ in range(4):
        fail_poll(driver, 0.0)
    address_changed = driver.now
    driver.handle(DiscoveryAddressChanged())
    elapsed = fail_poll(driver, driver.settings.watch_budget.response_timeout) - address_changed
    assert elapsed <= 4.0 - driver.settings.watch_budget.response_timeout + MIN_BACKOFF + 1e-6


@pytest.mark.parametrize("mode", SETTINGS)
def test_parts_of_the_watch_budget_add_up_to_the_notification_deadline(mode: str) -> None:
    budget = SETTINGS[mode].watch_budget
    assert budget.long_poll_wait >= 1.0
    assert budget.scheduling_slack >= 0.05
    parts = (
        budget.long_poll_wait
        + budget.response_timeout
        + budget.max_backoff
        + budget.response_timeout
        + budget.scheduling_slack
    )
    assert parts == pytest.approx(budget.notification_deadline)
    assert budget.notification_deadline == 6.0


@pytest.mark.parametrize("timeout_share", [0.0, 1.0])
def test_polls_of_two_hundred_routers_are_spread_by_jitter(timeout_share: float) -> None:
    """All routers lose discovery at the same time; each of the next polls is spread over the backoff."""
    conf = SETTINGS["polled"]
    drivers = [Driver(conf, seed) for seed in range(200)]
    for driver in drivers:
        driver.update_endpoints(entry("a"))
    for _ in range(4):
        starts = sorted(
            fail_poll(driver, timeout_share * conf.watch_budget.poll_timeout) for driver in drivers
        )
        max_polls_per_100ms = max(sum(at <= start < at + 0.1 for start in starts) for at in starts)
        assert max_polls_per_100ms <= 60


async def test_poll_times_out_by_its_budget() -> None:
    """A long poll times out after its wait and the response timeout.

    A poll for the complete list, which has no wait, times out after the response timeout alone.
    """
    async with Peer() as peer:
        budget = WatchBudget(response_timeout=0.05, notification_deadline=600.0)
        recorder = WatchRecorder(peer, budget)
        first, link = await accept_poll(peer)
        assert f"wait_ms={int(budget.long_poll_wait * 1000)} " in first
        recorder.discovery.change_address(peer.address)
        recorder.discovery.subscribe()
        assert "wait_ms" not in (await accept_poll(peer))[0]
        # The poll fails by its timeout, and not at the notification deadline of ten minutes.
        assert await recorder.updates.get() is None
        recorder.discovery.subscribe()
        _, link = await accept_poll(peer)
        link.write(encode_http_response("200 OK", encode_endpoint_list(3, True, ENDPOINT_ENTRY)))
        assert await recorder.updates.get() is not None
        recorder.discovery.close()


def test_broken_long_subscriptions_are_renewed_with_jitter() -> None:
    """All routers lose their subscriptions at once; their next polls must not start at the same time."""
    conf = SETTINGS["polled"]
    delays = []
    for seed in range(100):
        router = Router(conf, seed, 0.0)
        router.handle(0.0, EndpointUpdate(EndpointUpdateKind.SNAPSHOT, (entry("a"),)))
        delays += [a.delay for a in router.handle(300.0, FAILED_POLL) if isinstance(a, SetTimer)]
    assert max(delays) - min(delays) > 0.4
