"""The clock for changes of the list: time-out, pause and the next call's own time add up to one budget."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import pytest

from cache_router.decisions.actions import Action, SetTimer, SubscribeToEndpoints
from cache_router.decisions.events import (
    DiscoveryAddressChanged,
    EndpointUpdate,
    EndpointUpdateKind,
    Timer,
    TimerFired,
    TimerKind,
)
from cache_router.decisions.router import Router
from cache_router.settings import MIN_BACKOFF, WatchBudget
from tests.driver import Driver, entry, settings
from tests.loopback import Peer, http, run
from tests.router_scenarios import FAILED_CALL
from tests.test_net_discovery import LINE, WatchRecorder, call, message

WAYS = {
    "asked": settings(must_subscribe=True, overload_window=2.0, slow_start_duration=8.9),
    "pushed": settings(slow_start_duration=8.9),
}
# how long a call takes that fails, as a share of the time after which it is given up
CALLS: dict[str, Callable[[int], float]] = {
    "hangs": lambda n: 1.0,
    "refused": lambda n: 0.0,
    "503 in turn": lambda n: 0.66,
    "in all ways": lambda n: (1.0, 0.0, 0.66, 0.3)[n % 4],
}


def subscribes(actions: list[Action]) -> bool:
    return any(isinstance(a, SubscribeToEndpoints) for a in actions)


def failed_call(driver: Driver, took: float) -> float:
    """A call that begins now and fails; answers with when the next one begins."""
    driver.now += took
    timers = [a for a in driver.handle(FAILED_CALL) if isinstance(a, SetTimer)]
    timers = [timer for timer in timers if timer.timer.kind is TimerKind.ENDPOINT_POLL]
    driver.timers.clear()
    assert len(timers) == 1
    driver.now += timers[0].delay
    assert subscribes(driver.handle(TimerFired(Timer(TimerKind.ENDPOINT_POLL))))
    return driver.now


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("failure", CALLS)
@pytest.mark.parametrize("seed", range(5))
def test_a_change_is_learnt_before_it_counts_as_told(way: str, failure: str, seed: int) -> None:
    """Discovery comes back right after a call has begun, and has a change: 6 s until that call's successor
    is answered, after an outage of any length."""
    conf = WAYS[way]
    budget = conf.watch_budget
    driver = Driver(conf, seed)
    driver.update_endpoints(entry("a"))
    began = driver.now
    for n in range(40):
        after = failed_call(driver, CALLS[failure](n) * budget.call_timeout)
        assert after - began + budget.response_timeout <= 6.0 - budget.scheduling_slack + 1e-6
        began = after


@pytest.mark.parametrize("way", WAYS)
def test_a_lost_first_call_at_a_new_address_is_made_up_for_in_time(way: str) -> None:
    """What the new discovery has counts as told 4 s after SIGHUP."""
    driver = Driver(WAYS[way])
    driver.update_endpoints(entry("a"))
    driver.advance(60.0)
    for _ in range(4):
        failed_call(driver, 0.0)
    moved = driver.now
    driver.handle(DiscoveryAddressChanged())
    spent = failed_call(driver, driver.settings.watch_budget.response_timeout) - moved
    assert spent <= 4.0 - driver.settings.watch_budget.response_timeout + MIN_BACKOFF + 1e-6


@pytest.mark.parametrize("way", WAYS)
def test_the_parts_of_the_budget_add_up(way: str) -> None:
    budget = WAYS[way].watch_budget
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


@pytest.mark.parametrize("took", [0.0, 1.0])
def test_two_hundred_routers_do_not_call_in_step(took: float) -> None:
    """All lose discovery at one instant; the next calls are spread over the pause, also the later ones."""
    conf = WAYS["asked"]
    drivers = [Driver(conf, seed) for seed in range(200)]
    for driver in drivers:
        driver.update_endpoints(entry("a"))
    for _ in range(4):
        calls = sorted(failed_call(driver, took * conf.watch_budget.call_timeout) for driver in drivers)
        most = max(sum(at <= c < at + 0.1 for c in calls) for at in calls)
        assert most <= 60


def test_a_call_is_given_up_by_its_budget() -> None:
    """With a wait after its wait and turn; for a whole list, which waits for nothing, after its turn."""

    async def scenario() -> None:
        async with Peer() as peer:
            budget = WatchBudget(response_timeout=0.05, notification_deadline=600.0)
            recorder = WatchRecorder(peer, budget)
            first, link = await call(peer)
            assert f"wait_ms={int(budget.long_poll_wait * 1000)} " in first
            recorder.discovery.change_address(peer.address)
            recorder.discovery.subscribe()
            assert "wait_ms" not in (await call(peer))[0]
            assert await recorder.updates.get() is None  # and not after ten minutes
            recorder.discovery.subscribe()
            _, link = await call(peer)
            link.write(http("200 OK", message(3, True, LINE)))
            assert await recorder.updates.get() is not None
            recorder.discovery.close()

    run(scenario)


def test_a_subscription_that_breaks_after_long_is_not_renewed_in_step() -> None:
    """Where the list comes without calls in between, all instances lose it at once, and have no call out."""
    conf = replace(WAYS["asked"])
    delays = []
    for seed in range(100):
        router = Router(conf, seed, 0.0)
        router.handle(0.0, EndpointUpdate(EndpointUpdateKind.SNAPSHOT, (entry("a"),)))
        delays += [a.delay for a in router.handle(300.0, FAILED_CALL) if isinstance(a, SetTimer)]
    assert max(delays) - min(delays) > 0.4
