"""Divides the time of each turn of the event loop among the connections of clients."""

from __future__ import annotations

import asyncio
import math
import time
from collections import deque
from typing import Protocol

from cache_router.net.fair_selector import LoopTurns
from cache_router.net.load_statistics import LoadStatistics, TurnCause

MAX_PIPELINED_COMMANDS = 32  # commands per connection whose replies are pending

TURN_BUDGET = 0.001  # seconds of a turn that are spent on the input of clients
QUANTUM = 0.00025  # seconds for which one connection is processed before the next one
MAX_LAG = 0.01  # seconds; above it, connections may have fewer commands in flight


class InputSource(Protocol):
    """A connection with input to process."""

    def process_input(self, until: float) -> bool:
        """Process input until a time of the monotonic clock; return whether some is left that may follow."""


class InputScheduler:
    """Processes the input of connections in turn, each for a QUANTUM, within the TURN_BUDGET of a turn.

    As in FQ-CoDel (RFC 8290), connections whose input is processed at once come before those that have more
    than a QUANTUM of it, and wait their turn behind these before they come first again.

    While the event loop lags behind, each connection may have fewer commands in flight: the responses to
    them would keep the event loop from the other connections.

    Attributes:
        pipeline_limit: Number of commands of one connection that may be in flight.
    """

    def __init__(self, turns: LoopTurns, statistics: LoadStatistics) -> None:
        """Create a scheduler; `turns` measures the turns of the event loop, `statistics` counts."""
        self._statistics = statistics
        self.pipeline_limit = MAX_PIPELINED_COMMANDS
        self._turns = turns
        self._new: deque[InputSource] = deque()
        self._old: deque[InputSource] = deque()
        self._waiting: set[InputSource] = set()  # all that are in either queue
        self._wakeup: asyncio.Handle | None = None
        self._turn_started_at = -math.inf
        self._time_left = 0.0  # seconds left of this turn's budget
        self._limit_kept_until = 0.0

    @property
    def turns(self) -> LoopTurns:
        """The turns of the event loop."""
        return self._turns

    def is_waiting(self, source: InputSource) -> bool:
        """Return whether a connection has input that waits to be processed."""
        return source in self._waiting

    def schedule(self, source: InputSource) -> None:
        """Process the input of a connection: now if this turn has time left, otherwise in its turn."""
        if source in self._waiting:
            return
        self._update_turn()
        if not self._waiting and self._time_left > 0:
            self._process(source, is_new=True)
        else:
            self._enqueue(source, self._new)

    def schedule_later(self, source: InputSource) -> None:
        """Process the input of a connection in a later turn, not within this call."""
        if source not in self._waiting:
            self._enqueue(source, self._new)

    def remove(self, source: InputSource) -> None:
        """Forget a connection that has closed."""
        if source in self._waiting:
            self._waiting.discard(source)
            (self._new if source in self._new else self._old).remove(source)

    def _enqueue(self, source: InputSource, queue: deque[InputSource]) -> None:
        self._statistics.count_deferred_input()
        self._waiting.add(source)
        queue.append(source)
        if self._wakeup is None:
            self._wakeup = asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        """Process connections until the budget of this turn is spent."""
        self._wakeup = None
        self._update_turn()
        while self._waiting and self._time_left > 0:
            is_new = bool(self._new)
            source = (self._new or self._old).popleft()
            self._waiting.discard(source)
            self._process(source, is_new)
        if self._waiting and self._wakeup is None:
            self._wakeup = asyncio.get_running_loop().call_soon(self._run)

    def _process(self, source: InputSource, is_new: bool) -> None:
        started_at = time.monotonic()
        has_more = source.process_input(started_at + QUANTUM)
        elapsed = time.monotonic() - started_at
        self._time_left -= elapsed
        self._statistics.add_time(TurnCause.CLIENT_INPUT, elapsed)
        if source not in self._waiting and (has_more or (is_new and self._old)):
            self._enqueue(source, self._old)

    def _update_turn(self) -> None:
        """Start the budget of a new turn, and adapt the number of commands in flight to the lag."""
        started_at = self._turns.started_at
        if started_at == self._turn_started_at:
            return
        self._turn_started_at = started_at
        self._time_left = TURN_BUDGET
        lag = self._turns.lag
        if lag <= MAX_LAG:
            self.pipeline_limit = min(MAX_PIPELINED_COMMANDS, self.pipeline_limit + 1)
        elif started_at >= self._limit_kept_until:
            self.pipeline_limit = max(1, self.pipeline_limit // 2)
            self._limit_kept_until = started_at + lag
