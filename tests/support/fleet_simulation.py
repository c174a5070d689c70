"""Simulation of routers on one clock and of caches with a fixed latency. One cache warms up."""

from __future__ import annotations

import heapq
import math
import random
from bisect import bisect_left
from itertools import count
from typing import NamedTuple

from cache_router.decisions.actions import Send, SetTimer
from cache_router.decisions.events import (
    AttemptCompleted,
    AttemptStatus,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    Request,
    TimerFired,
)
from cache_router.decisions.router import Router
from tests.support.router_inputs import entry, settings

ROUTER_COUNT = 30
CACHE_COUNT = 10  # number of caches without the warming one
WARMING_STARTED_AT = 5.0  # seconds
KEY_COUNT = 20_000  # number of keys without the hot one
REQUEST_SHARES = (1, 1, 1, 4)  # relative request rates; each router draws one at random
# Latencies in seconds
LATENCY = 0.02
RESET_LATENCY = 0.005
TIMEOUT_LATENCY = 1.0
SUCCESSFUL_COMPLETION = AttemptStatus.OK, LATENCY


class ScheduledEvent(NamedTuple):
    """An event that a router receives later; `order` breaks ties between events at the same time."""

    time: float
    order: int
    router_number: int
    event: Event


class FleetSimulation:
    """Routers that share only the endpoint list, and caches that respond after a fixed latency.

    Times are in seconds.

    Attributes:
        sent_to_warming: times of the attempts that were sent to the cache that warms up.
        hot_key: a key whose primary server is that cache.
    """

    def __init__(self, seed: int, capacity: float, hot_share: float = 0.0, queued: int = 0) -> None:
        """Choose a hot key; routers are started by `run`.

        Args:
            seed: the seed of all random draws.
            capacity: the capacity of each cache, in requests per second.
            hot_share: the share of requests for the hot key.
            queued: the number of requests for the hot key that each router accepts before its first endpoint
                list.
        """
        self.settings = settings(router_count=ROUTER_COUNT)
        self.capacity = capacity
        self.random = random.Random(seed)
        self.hot_share = hot_share
        self.queued = queued
        self.request_rate = capacity * CACHE_COUNT
        self.event_order = count()
        self.events: list[ScheduledEvent] = []  # a heap
        self.attempts: dict[str, int] = {}  # number of the last attempt of each request
        self.sent_to_warming: list[float] = []
        self.hot_key = next(k for k in map(str, count()) if self.primary_server(k) == "warming")
        self.routers: dict[int, Router] = {}

    def endpoint_update(self, now: float) -> EndpointUpdate:
        """Return a complete endpoint list at time `now`; it includes the warming cache from its start on."""
        endpoints = (
            *(entry(f"s{i}") for i in range(CACHE_COUNT)),
            entry("warming", started_at=WARMING_STARTED_AT),
        )
        return EndpointUpdate(
            EndpointUpdateKind.SNAPSHOT, endpoints if now >= WARMING_STARTED_AT else endpoints[:-1]
        )

    def primary_server(self, key: str) -> str:
        """Return the server to which a router sends a key when the warming cache starts."""
        router = Router(settings(), 1, WARMING_STARTED_AT)
        router.handle(WARMING_STARTED_AT, self.endpoint_update(WARMING_STARTED_AT))
        (send, *_) = router.handle(WARMING_STARTED_AT, Request("r", "read", 1.0, key))
        return send.server if isinstance(send, Send) else ""

    def start_router(self, number: int, now: float) -> None:
        """Start or restart a router."""
        self.routers[number] = Router(self.settings, self.random.getrandbits(30), now)
        for n in range(self.queued):
            self.handle(now, number, Request(f"queued{number}-{n}", "read", 1.0, self.hot_key))
        self.handle(now, number, self.endpoint_update(now))

    def draw_completion(self) -> tuple[AttemptStatus, float]:
        """Return the status and the latency of the next attempt."""
        return SUCCESSFUL_COMPLETION

    def handle(self, now: float, number: int, event: Event) -> None:
        """Give one router an event, and schedule the events that follow from its actions."""
        for action in self.routers[number].handle(now, event):
            if isinstance(action, Send):
                self.send(now, number, action)
            elif isinstance(action, SetTimer):
                self.schedule(now + action.delay, number, TimerFired(action.timer))

    def send(self, now: float, number: int, action: Send) -> None:
        """Record an attempt, and schedule its completion."""
        attempt = self.attempts[action.request_id] = self.attempts.get(action.request_id, -1) + 1
        if action.server == "warming":
            self.sent_to_warming.append(now)
        status, latency = self.draw_completion()
        is_final = status is AttemptStatus.OK
        completed = AttemptCompleted(action.request_id, attempt, status, is_final, latency)
        self.schedule(now + latency, number, completed)

    def schedule(self, at: float, number: int, event: Event) -> None:
        """Schedule an event of a router."""
        heapq.heappush(self.events, ScheduledEvent(at, next(self.event_order), number, event))

    def run(self, restarts: dict[float, range]) -> float:
        """Run until the warming cache has its full capacity.

        Args:
            restarts: for each time, the numbers of the routers that start or restart.

        Returns:
            The largest excess of attempts over the limit of a window, as `worst_excess` returns it.
        """
        change_times = sorted([*restarts, WARMING_STARTED_AT])
        request_shares = [self.random.choice(REQUEST_SHARES) for _ in range(ROUTER_COUNT)]
        now = 0.0
        for n in count():
            now += self.random.expovariate(self.request_rate)
            if now > WARMING_STARTED_AT + self.settings.slow_start_duration:
                break
            while change_times and change_times[0] <= now:
                self.apply_changes(change_times.pop(0), restarts)
            while self.events and self.events[0].time <= now:
                due = heapq.heappop(self.events)
                self.handle(due.time, due.router_number, due.event)
            number = self.random.choices(range(ROUTER_COUNT), request_shares)[0]
            if number in self.routers:
                self.handle(now, number, Request(f"r{n}", "read", 1.0, self.draw_key()))
        return self.worst_excess()

    def draw_key(self) -> str:
        """Draw the key of the next request."""
        is_hot = self.random.random() < self.hot_share
        return self.hot_key if is_hot else f"k{self.random.randrange(KEY_COUNT)}"

    def apply_changes(self, at: float, restarts: dict[float, range]) -> None:
        """Update the running routers at the start of the warming cache, and start routers that are due."""
        if at == WARMING_STARTED_AT:
            for number in range(ROUTER_COUNT):
                if number in self.routers:
                    self.handle(at, number, self.endpoint_update(at))
        for number in restarts.get(at, ()):
            self.start_router(number, at)

    def worst_excess(self) -> float:
        """Return the largest number of attempts in a window beyond its limit and a statistical tolerance.

        The tolerance is two standard deviations of the expected count, plus two attempts.
        """
        worst, conf = -math.inf, self.settings
        initial_share = conf.slow_start_initial_share
        for i, at in enumerate(self.sent_to_warming):
            share = initial_share + (1 - initial_share) * (at - WARMING_STARTED_AT) / conf.slow_start_duration
            bound = conf.overload_multiple * share * self.capacity * conf.overload_window
            sent = bisect_left(self.sent_to_warming, at + conf.overload_window) - i
            worst = max(worst, sent - bound - 2 * math.sqrt(bound) - 2)
        return worst


class FailingFleetSimulation(FleetSimulation):
    """Resets a fifth of the attempts, and loses the responses to a tenth."""

    def draw_completion(self) -> tuple[AttemptStatus, float]:
        """Draw a reset, a timeout or a success."""
        draw = self.random.random()
        if draw < 0.2:
            return AttemptStatus.RESET, RESET_LATENCY
        if draw < 0.3:
            return AttemptStatus.TIMEOUT, TIMEOUT_LATENCY
        return SUCCESSFUL_COMPLETION


class NoWarmServerSimulation(FleetSimulation):
    """Removes all other caches when the warming one starts, which then gets the requests of all of them."""

    def endpoint_update(self, now: float) -> EndpointUpdate:
        """Return a complete endpoint list at time `now`: the other caches, then the warming one alone."""
        if now < WARMING_STARTED_AT:
            return super().endpoint_update(now)
        warming = entry("warming", started_at=WARMING_STARTED_AT)
        return EndpointUpdate(EndpointUpdateKind.SNAPSHOT, (warming,))
