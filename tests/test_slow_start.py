"""Cold servers under what all routers of a fleet send them together: thirty in step on one clock."""

from __future__ import annotations

import heapq
import math
import random
from bisect import bisect_left
from itertools import count
from typing import Any

import pytest

from cache_router.decisions import hedging
from cache_router.decisions import slow_start as ramp
from cache_router.decisions.actions import Fail, Reject, Send, SetTimer
from cache_router.decisions.events import (
    AttemptCompleted,
    AttemptStatus,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    Request,
    TimerFired,
)
from cache_router.decisions.model import Server
from cache_router.decisions.router import Router
from cache_router.endpoint import Endpoint
from tests.driver import Driver, entry, settings
from tests.router_scenarios import primary_servers

ROUTERS, CACHES, START = 30, 10, 5.0
LATENCY = 0.02
STEADY = AttemptStatus.OK, LATENCY


class Fleet:
    """Routers that share nothing but the list, caches that serve at once, and what reaches the cold one."""

    def __init__(self, seed: int, capacity: float, hot: float = 0.0, held: int = 0) -> None:
        self.conf = settings(router_count=ROUTERS)
        self.capacity, self.random, self.hot = capacity, random.Random(seed), hot
        self.held, self.rate = held, capacity * CACHES
        self.order = count()
        self.events: list[tuple[float, int, int, Event]] = []
        self.ended: set[str] = set()
        self.attempts: dict[str, int] = {}
        self.at_cold: list[float] = []
        self.key = next(k for k in map(str, count()) if self.first_choice(k) == "cold")
        self.routers: dict[int, Router] = {}

    def entries(self) -> tuple[Endpoint, ...]:
        return *(entry(f"s{i}") for i in range(CACHES)), entry("cold", started_at=START)

    def first_choice(self, key: str) -> str:
        router = Router(settings(), 1, START)
        router.handle(START, EndpointUpdate(EndpointUpdateKind.SNAPSHOT, self.entries()))
        (send, *_) = router.handle(START, Request("r", "read", 1.0, key))
        return send.server if isinstance(send, Send) else ""

    def start(self, number: int, now: float) -> None:
        self.routers[number] = Router(self.conf, self.random.getrandbits(30), now)
        for n in range(self.held):
            self.feed(now, number, Request(f"held{number}-{n}", "read", 1.0, self.key))
        known = self.entries() if now >= START else self.entries()[:-1]
        self.feed(now, number, EndpointUpdate(EndpointUpdateKind.SNAPSHOT, known))

    def answer(self) -> tuple[AttemptStatus, float]:
        return STEADY

    def feed(self, now: float, number: int, event: Event) -> None:
        for action in self.routers[number].handle(now, event):
            if isinstance(action, Send):
                attempt = self.attempts[action.request_id] = self.attempts.get(action.request_id, -1) + 1
                if action.server == "cold":
                    self.at_cold.append(now)
                status, latency = self.answer()
                over = status is AttemptStatus.OK
                outcome = AttemptCompleted(action.request_id, attempt, status, over, latency)
                self.later(now + latency, number, outcome)
            elif isinstance(action, SetTimer):
                self.later(now + action.delay, number, TimerFired(action.timer))
            elif isinstance(action, Reject | Fail):
                self.ended.add(action.request_id)

    def later(self, at: float, number: int, event: Event) -> None:
        heapq.heappush(self.events, (at, next(self.order), number, event))

    def run(self, restarts: dict[float, range]) -> float:
        """Play until the server is warm; answers with the worst excess over what a window allows."""
        changes = sorted([*restarts, START])
        busy = [self.random.choice((1, 1, 1, 4)) for _ in range(ROUTERS)]
        now = 0.0
        for n in count():
            now += self.random.expovariate(self.rate)
            if now > START + self.conf.slow_start_duration:
                return self.excess()
            while changes and changes[0] <= now:
                at = changes.pop(0)
                for number in range(ROUTERS) if at == START else ():
                    if number in self.routers:
                        self.feed(at, number, EndpointUpdate(EndpointUpdateKind.SNAPSHOT, self.entries()))
                for number in restarts.get(at, ()):
                    self.start(number, at)
            while self.events and self.events[0][0] <= now:
                at, _, number, event = heapq.heappop(self.events)
                self.feed(at, number, event)
            number = self.random.choices(range(ROUTERS), busy)[0]
            if number in self.routers:
                key = self.key if self.random.random() < self.hot else f"k{self.random.randrange(20_000)}"
                self.feed(now, number, Request(f"r{n}", "read", 1.0, key))
        raise AssertionError

    def excess(self) -> float:
        worst, conf = -math.inf, self.conf
        for i, at in enumerate(self.at_cold):
            share = (
                conf.slow_start_initial_share
                + (1 - conf.slow_start_initial_share) * (at - START) / conf.slow_start_duration
            )
            most = conf.overload_multiple * share * self.capacity * conf.overload_window
            sent = bisect_left(self.at_cold, at + conf.overload_window) - i
            worst = max(worst, sent - most - 2 * math.sqrt(most) - 2)
        return worst


class Failing(Fleet):
    def answer(self) -> tuple[AttemptStatus, float]:
        draw = self.random.random()
        if draw < 0.2:
            return AttemptStatus.RESET, 0.005
        return (AttemptStatus.TIMEOUT, 1.0) if draw < 0.3 else STEADY


ALL = range(ROUTERS)
CASES: dict[str, tuple[type[Fleet], dict[str, Any], dict[float, range]]] = {
    "any key": (Fleet, {}, {0.0: ALL}),
    "hot key": (Fleet, {"hot": 0.3}, {0.0: ALL}),
    "hot key, errors and answers lost": (Failing, {"hot": 0.3}, {0.0: ALL}),
    "hot key, all just started": (Fleet, {"hot": 0.3}, {START: ALL}),
    "hot key, all just started with some waiting": (Fleet, {"hot": 0.3, "held": 3}, {START: ALL}),
    "hot key, restarts": (Fleet, {"hot": 0.3}, {0.0: ALL, START + 1: ALL[:15], START + 3: ALL[10:]}),
}


@pytest.mark.parametrize("case", CASES)
@pytest.mark.parametrize("capacity", [20.0, 100.0])
def test_all_routers_together_keep_within_what_a_cold_server_bears(case: str, capacity: float) -> None:
    """A share of points holds for many keys alike; all sent one hot key to the server just started."""
    make, options, restarts = CASES[case]
    for seed in range(3):
        fleet = make(seed, capacity, **options)
        assert fleet.run(restarts) <= 0
        assert len(fleet.at_cold) > capacity  # of some five times as much that it could serve meanwhile


def test_a_cold_server_is_sent_to_where_no_other_is() -> None:
    """With nothing warm no router knows what is borne, and a budget of nothing would refuse everybody."""
    driver = Driver(settings(router_count=ROUTERS))
    driver.update_endpoints(entry("a", started_at=driver.now), entry("b", started_at=driver.now))
    assert None not in [driver.request(f"r{n}", key=f"k{n}", finish=True) for n in range(20)]


@pytest.mark.parametrize(("siblings", "copy"), [(1, "b"), (ROUTERS, "a")])
def test_a_second_copy_at_a_cold_server_comes_out_of_its_budget(siblings: int, copy: str) -> None:
    """One that still answered others was asked again whatever it had been sent."""
    driver = Driver(settings(router_count=siblings))
    driver.update_endpoints(entry("a"), entry("b", started_at=driver.now))
    cold = driver.server("b")
    cold.concurrency.latency, cold.slow_start_quota = 0.01, ramp.SlowStartQuota(0.01)
    name = next(n for n in map(str, count()) if driver.request(n) == "b")
    cold.concurrency.unanswered_since = driver.now + 0.001  # it has answered others since
    driver.advance(hedging.LATENCY_FACTOR * 0.01)
    assert driver.servers_tried[name] == ["b", copy]


def test_warming_server_gets_its_share_and_not_more() -> None:
    """A surge of a thousand requests in a second just after a start: not the full arcs."""
    driver = Driver(
        settings(
            slow_start_duration=10.0, slow_start_initial_share=0.3, overload_multiple=2.0, overload_window=1.0
        )
    )
    driver.update_endpoints(entry("a"), entry("b"), entry("c"))
    for n in range(4000):
        if n == 3000:
            driver.update_endpoints(entry("a"), entry("b"), entry("c"), entry("d", started_at=driver.now))
        driver.now += 0.01 if n < 3000 else 0.001
        driver.request(f"r{n}", key=f"k{n}", finish=True)
    cold = sum(s == ["d"] for s in driver.servers_tried.values())
    assert 5 < cold < 1000 / 4 * 0.45


def test_warm_server_gets_all_its_arcs_again() -> None:
    driver = Driver(settings(slow_start_duration=10.0, slow_start_initial_share=0.3))
    driver.update_endpoints(entry("a"), entry("b", started_at=driver.now))
    driver.now += 10.0
    sent = [driver.request(f"r{n}", key=f"k{n}", finish=True) for n in range(400)]
    assert sent.count("b") > 120


def test_a_cold_server_has_its_warm_up_share_of_keys_at_every_router() -> None:
    """Budgets of each router, always letting one through, added up to an overload at hundreds of them."""
    shares = []
    for age in (0.0, 5.0, 10.0):
        driver = Driver(settings(slow_start_duration=10.0, slow_start_initial_share=0.3))
        driver.update_endpoints(*(entry(f"s{i}") for i in range(9)), entry("cold", started_at=driver.now))
        driver.now += age
        shares.append(primary_servers(driver, "r").count("cold") / 2000 * 10)
    assert shares == sorted(shares)
    assert shares == pytest.approx([0.3, 0.65, 1.0], abs=0.2)


def test_a_cold_server_takes_no_spills() -> None:
    """In a burst, what crowded neighbours could not take pushed over a server just started."""
    driver = Driver(settings())
    driver.update_endpoints(*(entry(n) for n in "abc"), entry("d", started_at=driver.now))
    for n in range(300):
        for s in "abc":
            driver.server(s).concurrency.limit = 0.0
        driver.request(f"r{n}", key=f"k{n}", finish=f"r{n}" in driver.servers_tried)
    assert sum("d" in s for s in driver.servers_tried.values()) < 300 / 4 * 0.5


def usable_share(driver: Driver, server: Server) -> float:
    """Share of a server's points that count now."""
    router = driver.router
    return router.slow_start.usable_share(server.endpoint, router.health.success_rate, driver.now)


def test_a_cold_server_gets_less_while_answers_fail() -> None:
    """In an overload clients retried all that failed, and the multiple pushed over servers just started."""
    driver = Driver(settings(slow_start_initial_share=0.3, max_attempts=1))
    driver.update_endpoints(*(entry(n) for n in "abc"), entry("d", started_at=driver.now))
    assert primary_servers(driver, "a").count("d") > 80
    cold = driver.server("d")
    assert usable_share(driver, cold) == pytest.approx(0.3)
    for n in range(20):
        if driver.request(f"f{n}", key=f"k{n}") is not None:
            driver.complete_attempt(f"f{n}", AttemptStatus.TIMEOUT)
    assert usable_share(driver, cold) < 0.3 / 4
