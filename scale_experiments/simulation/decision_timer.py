"""Measurement of the processor time of the decision modules."""

from __future__ import annotations

import time
from collections.abc import Iterable

from cache_router.decisions.actions import Action
from cache_router.decisions.events import Event
from cache_router.decisions.router import Router

CALLS_PER_TIMED_CALL = 16  # one of this many calls is timed


class DecisionTimer:
    """Calls the decision modules, and measures the processor time of every `CALLS_PER_TIMED_CALL`-th call."""

    __slots__ = ("calls", "requests", "timed_calls", "timed_seconds")

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Restart the measurement.

        A reset after the start of the fleet excludes the calls with complete endpoint lists, which would
        distort the mean.
        """
        self.calls = self.timed_calls = 0
        self.timed_seconds = 0.0
        self.requests = 0  # requests accepted by routers

    def request_accepted(self) -> None:
        """Count a request that a router has accepted."""
        self.requests += 1

    def handle(self, router: Router, now: float, event: Event) -> Iterable[Action]:
        """Pass an event to a decision module, and return its actions."""
        self.calls += 1
        if self.calls % CALLS_PER_TIMED_CALL:
            return router.handle(now, event)
        start = time.thread_time()
        actions = router.handle(now, event)
        self.timed_seconds += time.thread_time() - start
        self.timed_calls += 1
        return actions

    def calls_per_request(self) -> float:
        """Return the mean number of `Router.handle` calls per accepted request."""
        return self.calls / max(1, self.requests)

    def seconds_per_call(self) -> float:
        """Return the mean processor time, in seconds, of the timed `Router.handle` calls."""
        return self.timed_seconds / max(1, self.timed_calls)
