"""The division of a turn of the event loop among the connections of clients."""

from __future__ import annotations

import asyncio
import time

import pytest

from cache_router.net import input_scheduler
from cache_router.net.input_scheduler import (
    MAX_LAG,
    MAX_PIPELINED_COMMANDS,
    MAX_SMALL_INPUT,
    QUANTUM,
    InputScheduler,
)
from cache_router.net.load_statistics import LoadStatistics


class Turns:
    """Turns of the event loop that a test numbers itself."""

    def __init__(self) -> None:
        self.started_at = 0.0
        self.lag = 0.0

    def next(self, lag: float = 0.0) -> None:
        self.started_at += 1.0
        self.lag = lag

    def ready_since(self, _descriptor: int) -> float:
        return self.started_at


class Source:
    """A connection with a number of commands, each of which takes a quantum."""

    def __init__(self, name: str, commands: int, order: list[str]) -> None:
        self.name = name
        self.commands = commands
        self._order = order

    @property
    def input_size(self) -> int:
        return self.commands * MAX_SMALL_INPUT

    def process_input(self, until: float) -> bool:
        if not self.commands:
            return False
        self._order.append(self.name)
        self.commands -= 1
        while time.monotonic() < until:
            pass
        return self.commands > 0

    def on_input_processed(self) -> None:
        pass


async def test_connection_with_much_input_does_not_delay_the_others() -> None:
    """Guards against one client that keeps the event loop from all others (issue 37)."""
    order: list[str] = []
    scheduler = InputScheduler(Turns(), LoadStatistics())
    scheduler.schedule(Source("flood", 100, order))
    for name in ("a", "b"):
        scheduler.schedule(Source(name, 1, order))
    await asyncio.sleep(0)
    assert order[:3] == ["flood", "a", "b"]


async def test_turn_ends_after_its_budget(monkeypatch: pytest.MonkeyPatch) -> None:
    """Timers and other descriptors are handled between two turns."""
    monkeypatch.setattr(input_scheduler, "TURN_BUDGET", 3 * QUANTUM)
    order: list[str] = []
    turns = Turns()
    scheduler = InputScheduler(turns, LoadStatistics())
    sources = [Source(str(n), 10, order) for n in range(5)]
    for expected in range(1, 5):
        turns.next()
        before = len(order)
        for source in sources:
            scheduler.schedule(source)
        await asyncio.sleep(0)
        assert 0 < len(order) - before <= 3, expected


async def test_all_input_is_processed_in_later_turns() -> None:
    order: list[str] = []
    turns = Turns()
    scheduler = InputScheduler(turns, LoadStatistics())
    sources = [Source(str(n), 10, order) for n in range(20)]
    for source in sources:
        scheduler.schedule(source)
    while any(source.commands for source in sources):
        turns.next()
        await asyncio.sleep(0)
    assert len(order) == 200


async def test_connection_that_has_closed_is_not_processed() -> None:
    order: list[str] = []
    turns = Turns()
    scheduler = InputScheduler(turns, LoadStatistics())
    flood = Source("flood", 100, order)
    scheduler.schedule(flood)
    before = list(order)
    scheduler.remove(flood)
    turns.next()
    await asyncio.sleep(0)
    assert order == before
    assert not scheduler.is_waiting(flood)


async def test_number_of_commands_in_flight_falls_with_the_lag_and_recovers() -> None:
    turns = Turns()
    scheduler = InputScheduler(turns, LoadStatistics())
    source = Source("a", 0, [])
    limits = []
    for lag in [2 * MAX_LAG] * 8 + [0.0] * 40:
        turns.next(lag)
        scheduler.schedule(source)
        limits.append(scheduler.pipeline_limit)
    assert limits[:6] == [16, 8, 4, 2, 1, 1]
    assert limits[-1] == MAX_PIPELINED_COMMANDS


async def test_connections_with_little_input_come_first() -> None:
    """Guards against requests that wait for the backlogs of hundreds of other clients (issue 37)."""
    order: list[str] = []
    turns = Turns()
    scheduler = InputScheduler(turns, LoadStatistics())
    floods = [Source("flood", 100, order) for _ in range(300)]
    for each in floods:
        scheduler.schedule(each)
    order.clear()
    for n in range(6):
        scheduler.schedule(Source(f"small{n}", 1, order))
    while "small5" not in order:
        turns.next()
        await asyncio.sleep(0)
    assert order.count("flood") <= 3


async def test_client_that_sends_much_is_read_again_only_in_its_turn() -> None:
    """Guards against sockets of a flood that keep the event loop from all others (issue 37)."""
    order: list[str] = []
    turns = Turns()
    scheduler = InputScheduler(turns, LoadStatistics())
    other, flood = Source("other", 100, order), Source("flood", 2, order)
    scheduler.schedule(other)
    scheduler.schedule(flood)
    while flood.commands:
        assert scheduler.is_waiting(flood)
        turns.next()
        await asyncio.sleep(0)
    for _ in range(3):
        turns.next()
        await asyncio.sleep(0)
    assert not scheduler.is_waiting(flood)


class SlowWriter(Source):
    """A connection with a part of a large command, which cannot be processed yet."""

    def process_input(self, until: float) -> bool:
        self._order.append(self.name)
        return False


async def test_incomplete_large_commands_are_read_on() -> None:
    """Guards against slow writers that keep the event loop busy and are not read (issue 37)."""
    order: list[str] = []
    turns = Turns()
    scheduler = InputScheduler(turns, LoadStatistics())
    flood = Source("flood", 1000, order)
    writers = [SlowWriter(f"writer{n}", 10, order) for n in range(5)]
    for each in (flood, *writers):
        scheduler.schedule(each)
    for _ in range(20):
        turns.next()
        await asyncio.sleep(0)
    assert scheduler.is_waiting(flood)
    assert not any(scheduler.is_waiting(writer) for writer in writers)
    assert order.count("writer0") == 1
