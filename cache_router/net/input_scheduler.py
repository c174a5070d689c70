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
MAX_SMALL_INPUT = 4096  # bytes of input with which a connection comes before those that have more
MAX_TURNS_OF_SMALL = 3  # connections with small input in turn before the next one with a large one
MAX_LAG = 0.01  # seconds; above it, connections may have fewer commands in flight


class InputSource(Protocol):
    """A connection with input to process."""

    @property
    def input_size(self) -> int:
        """Number of bytes that have been read and not processed."""

    def process_input(self, until: float) -> bool:
        """Process input until a time of the monotonic clock; return whether some is left that may follow."""

    def on_input_processed(self) -> None:
        """Read on, unless the scheduler has more input of this connection to process first."""


class InputScheduler:
    """Processes the input of connections in turn, each for a QUANTUM, within the TURN_BUDGET of a turn.

    Connections with little input come before the others, so that a client with few requests does not wait for
    the backlogs of others. One in MAX_TURNS_OF_SMALL + 1 connections is one of these.

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
        self._small: deque[InputSource] = deque()
        self._large: deque[InputSource] = deque()
        self._turns_of_small = 0  # connections with small input since the last one with a large one
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
            self._process(source)
        else:
            self._enqueue(source, source.input_size > MAX_SMALL_INPUT)

    def schedule_later(self, source: InputSource) -> None:
        """Process the input of a connection in a later turn, not within this call."""
        if source not in self._waiting:
            self._enqueue(source, source.input_size > MAX_SMALL_INPUT)

    def remove(self, source: InputSource) -> None:
        """Forget a connection that has closed."""
        if source in self._waiting:
            self._waiting.discard(source)
            (self._small if source in self._small else self._large).remove(source)

    def _enqueue(self, source: InputSource, is_large: bool) -> None:
        self._statistics.count_deferred_input()
        self._waiting.add(source)
        (self._large if is_large else self._small).append(source)
        if self._wakeup is None:
            self._wakeup = asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        """Process connections until the budget of this turn is spent."""
        self._wakeup = None
        self._update_turn()
        while self._waiting and self._time_left > 0:
            source = self._next_queue().popleft()
            self._waiting.discard(source)
            self._process(source)
        if self._waiting and self._wakeup is None:
            self._wakeup = asyncio.get_running_loop().call_soon(self._run)

    def _next_queue(self) -> deque[InputSource]:
        """Return the queue of the connection that comes next."""
        self._turns_of_small += 1
        if not self._small or (self._large and self._turns_of_small > MAX_TURNS_OF_SMALL):
            self._turns_of_small = 0
            return self._large
        return self._small

    def _process(self, source: InputSource) -> None:
        size = source.input_size
        started_at = time.monotonic()
        has_more = source.process_input(started_at + QUANTUM)
        elapsed = time.monotonic() - started_at
        self._time_left -= elapsed
        self._statistics.add_time(TurnCause.CLIENT_INPUT, elapsed)
        # The sockets of all clients that send much would keep the event loop from the others: while others
        # wait, such a client is read again only in its turn.
        has_sent_much = size - source.input_size > MAX_SMALL_INPUT
        if (has_more or (has_sent_much and self._waiting)) and source not in self._waiting:
            self._enqueue(source, is_large=True)
        source.on_input_processed()

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
