"""Dispatch of events to one router's decision module, and of the actions that it returns."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from cache_router.decisions.actions import Action
from cache_router.decisions.events import Event
from cache_router.decisions.router import Router
from scale_experiments.simulation.context import SimulationContext

SEED_BITS = 48  # size of the seed of a decision module


class DecisionLoop:
    """Passes events to a decision module and calls `execute` with each action that it returns."""

    __slots__ = ("_context", "_decisions", "_events", "_execute", "_is_handling")

    def __init__(self, context: SimulationContext, execute: Callable[[Action], None]) -> None:
        self._context = context
        self._execute = execute
        self._decisions = Router(context.settings, context.random.getrandbits(SEED_BITS), context.events.now)
        self._events: deque[Event] = deque()
        self._is_handling = False

    def handle(self, event: Event) -> None:
        """Handle an event at once or, if another event is being handled, directly after that event."""
        self._events.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        now, timer = self._context.events.now, self._context.decision_timer
        while self._events:
            for action in timer.handle(self._decisions, now, self._events.popleft()):
                self._execute(action)
        self._is_handling = False
