"""Routers on one simulated clock, whose caches answer after a fixed latency; one of the caches warms up."""

from __future__ import annotations

import heapq
import math
import random
from bisect import bisect_left
from itertools import count

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

ROUTERS, CACHES, START = 30, 10, 5.0
LATENCY = 0.02
STEADY = AttemptStatus.OK, LATENCY


class FleetSimulation:
    """Routers that share nothing but the endpoint list, and caches that answer after a fixed latency.

    Records when an attempt reaches the one cache that warms up. `capacity` is that of each cache, in requests
    a second; `hot_share` the share of requests for one key of the warming cache; `queued` the number of such
    requests that each router has accepted before its first endpoint list. Times are in seconds.
    """

    def __init__(self, seed: int, capacity: float, hot_share: float = 0.0, queued: int = 0) -> None:
        """Choose a hot key, and start no router yet."""
        self.settings = settings(router_count=ROUTERS)
        self.capacity = capacity
        self.random = random.Random(seed)
        self.hot_share = hot_share
        self.queued = queued
        self.request_rate = capacity * CACHES
        self.event_order = count()
        self.events: list[tuple[float, int, int, Event]] = []  # time, order, router, event
        self.attempts: dict[str, int] = {}
        self.sent_to_warming: list[float] = []
        self.hot_key = next(k for k in map(str, count()) if self.first_choice(k) == "warming")
        self.routers: dict[int, Router] = {}

    def endpoint_update(self, now: float) -> EndpointUpdate:
        """All servers that are listed at a time: the warming one is the last, from its start on."""
        endpoints = *(entry(f"s{i}") for i in range(CACHES)), entry("warming", started_at=START)
        return EndpointUpdate(EndpointUpdateKind.SNAPSHOT, endpoints if now >= START else endpoints[:-1])

    def first_choice(self, key: str) -> str:
        """The server to which a router sends a key at the start of the warming server."""
        router = Router(settings(), 1, START)
        router.handle(START, self.endpoint_update(START))
        (send, *_) = router.handle(START, Request("r", "read", 1.0, key))
        return send.server if isinstance(send, Send) else ""

    def start_router(self, number: int, now: float) -> None:
        """Start a router, or start it again."""
        self.routers[number] = Router(self.settings, self.random.getrandbits(30), now)
        for n in range(self.queued):
            self.handle(now, number, Request(f"queued{number}-{n}", "read", 1.0, self.hot_key))
        self.handle(now, number, self.endpoint_update(now))

    def answer(self) -> tuple[AttemptStatus, float]:
        """The status and the latency of the next attempt."""
        return STEADY

    def handle(self, now: float, number: int, event: Event) -> None:
        """Give one router an event, and schedule the events that its actions cause."""
        for action in self.routers[number].handle(now, event):
            if isinstance(action, Send):
                self.send(now, number, action)
            elif isinstance(action, SetTimer):
                self.schedule(now + action.delay, number, TimerFired(action.timer))

    def send(self, now: float, number: int, action: Send) -> None:
        """Record an attempt and schedule its end."""
        attempt = self.attempts[action.request_id] = self.attempts.get(action.request_id, -1) + 1
        if action.server == "warming":
            self.sent_to_warming.append(now)
        status, latency = self.answer()
        is_final = status is AttemptStatus.OK
        completed = AttemptCompleted(action.request_id, attempt, status, is_final, latency)
        self.schedule(now + latency, number, completed)

    def schedule(self, at: float, number: int, event: Event) -> None:
        """Schedule an event of a router."""
        heapq.heappush(self.events, (at, next(self.event_order), number, event))

    def run(self, restarts: dict[float, range]) -> float:
        """Run until the server is warm; returns the worst excess over what a window allows."""
        changes = sorted([*restarts, START])
        request_shares = [self.random.choice((1, 1, 1, 4)) for _ in range(ROUTERS)]
        now = 0.0
        for n in count():
            now += self.random.expovariate(self.request_rate)
            if now > START + self.settings.slow_start_duration:
                break
            while changes and changes[0] <= now:
                self.change(changes.pop(0), restarts)
            while self.events and self.events[0][0] <= now:
                at, _, number, event = heapq.heappop(self.events)
                self.handle(at, number, event)
            number = self.random.choices(range(ROUTERS), request_shares)[0]
            if number in self.routers:
                is_hot = self.random.random() < self.hot_share
                key = self.hot_key if is_hot else f"k{self.random.randrange(20_000)}"
                self.handle(now, number, Request(f"r{n}", "read", 1.0, key))
        return self.worst_excess()

    def change(self, at: float, restarts: dict[float, range]) -> None:
        """Update all routers at the start of the warming server, and start those routers that restart now."""
        if at == START:
            for number in range(ROUTERS):
                if number in self.routers:
                    self.handle(at, number, self.endpoint_update(at))
        for number in restarts.get(at, ()):
            self.start_router(number, at)

    def worst_excess(self) -> float:
        """The most attempts that a window had above its bound, two standard deviations and two attempts."""
        worst, conf = -math.inf, self.settings
        initial_share = conf.slow_start_initial_share
        for i, at in enumerate(self.sent_to_warming):
            share = initial_share + (1 - initial_share) * (at - START) / conf.slow_start_duration
            bound = conf.overload_multiple * share * self.capacity * conf.overload_window
            sent = bisect_left(self.sent_to_warming, at + conf.overload_window) - i
            worst = max(worst, sent - bound - 2 * math.sqrt(bound) - 2)
        return worst


class FailingFleetSimulation(FleetSimulation):
    """Resets a fifth of the attempts and loses the answers of a tenth."""

    def answer(self) -> tuple[AttemptStatus, float]:
        """A reset, a timeout or an ordinary answer."""
        draw = self.random.random()
        if draw < 0.2:
            return AttemptStatus.RESET, 0.005
        return (AttemptStatus.TIMEOUT, 1.0) if draw < 0.3 else STEADY
