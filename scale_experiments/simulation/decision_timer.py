"""The processor time that the decision modules take."""

from __future__ import annotations

import time
from collections.abc import Iterable

from cache_router.decisions.actions import Action
from cache_router.decisions.events import Event
from cache_router.decisions.router import Router

CALLS_PER_TIMED_CALL = 16


class DecisionTimer:
    """Calls the decision modules, and measures the processor time of one in `CALLS_PER_TIMED_CALL` calls."""

    __slots__ = ("calls", "requests", "timed_calls", "timed_seconds")

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Measure from now on. Calls with a complete endpoint list, at the start, would distort the mean."""
        self.calls = self.timed_calls = 0
        self.timed_seconds = 0.0
        self.requests = 0  # accepted by routers

    def request_accepted(self) -> None:
        """Count a request that a router accepted."""
        self.requests += 1

    def handle(self, router: Router, now: float, event: Event) -> Iterable[Action]:
        """Give an event to a decision module, and return its actions."""
        self.calls += 1
        if self.calls % CALLS_PER_TIMED_CALL:
            return router.handle(now, event)
        start = time.thread_time()
        actions = router.handle(now, event)
        self.timed_seconds += time.thread_time() - start
        self.timed_calls += 1
        return actions

    def calls_per_request(self) -> float:
        """Mean number of calls of `Router.handle` for each request accepted."""
        return self.calls / max(1, self.requests)

    def seconds_per_call(self) -> float:
        """Mean processor time in seconds of the calls of `Router.handle` that were timed."""
        return self.timed_seconds / max(1, self.timed_calls)
