"""The events of one router's decision module, and the actions that the module answers with."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from cache_router.decisions.actions import Action
from cache_router.decisions.events import Event
from cache_router.decisions.router import Router
from scale_experiments.simulation.context import SimulationContext

SEED_BITS = 48  # of the seed that each decision module is created with


class DecisionLoop:
    """Gives events to a decision module, and its actions to `carry_out`."""

    __slots__ = ("_carry_out", "_context", "_decisions", "_events", "_is_handling")

    def __init__(self, context: SimulationContext, carry_out: Callable[[Action], None]) -> None:
        self._context = context
        self._carry_out = carry_out
        self._decisions = Router(context.settings, context.random.getrandbits(SEED_BITS), context.events.now)
        self._events: deque[Event] = deque()
        self._is_handling = False

    def handle(self, event: Event) -> None:
        """Handle an event now, or after the current one if an action has caused it."""
        self._events.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        now, timer = self._context.events.now, self._context.decision_timer
        while self._events:
            for action in timer.handle(self._decisions, now, self._events.popleft()):
                self._carry_out(action)
        self._is_handling = False
