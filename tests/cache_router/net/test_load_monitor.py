"""Counters of the load on the event loop, and the lines that are logged about them."""

from __future__ import annotations

import errno
import os

import pytest

from cache_router.log_limit import LogLimit
from cache_router.net.load_monitor import MIN_EVENTS, LoadMonitor
from cache_router.net.load_statistics import MAX_TURN, LoadStatistics, TurnCause


def test_overload_is_logged_at_its_start_at_growing_intervals_and_at_its_end(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level("INFO")
    statistics, log_limit = LoadStatistics(), LogLimit()
    log_limit.omitted_lines = 3
    monitor = LoadMonitor(statistics, log_limit)
    monitor.check()
    for _ in range(9):
        for _ in range(MIN_EVENTS):
            statistics.count_rejected_request()
        monitor.check()
    monitor.check()
    monitor.check()
    starts = [line.partition(": ")[0] for line in caplog.messages]
    assert starts == ["event loop is overloaded"] * 4 + ["event loop is no longer overloaded"]
    assert "90 requests rejected" in caplog.messages[-1]
    assert "3 log lines omitted" in caplog.messages[-1]


def test_few_events_are_no_overload(caplog: pytest.LogCaptureFixture) -> None:
    statistics = LoadStatistics()
    monitor = LoadMonitor(statistics, LogLimit())
    for _ in range(5):
        statistics.count_rejected_request()
        monitor.check()
    assert not caplog.messages


def test_long_turns_are_counted_by_cause() -> None:
    statistics = LoadStatistics()
    statistics.add_time(TurnCause.RESPONSES, 0.9 * MAX_TURN)
    statistics.on_turn_ended(MAX_TURN)
    assert not statistics.long_turns
    statistics.add_time(TurnCause.RESPONSES, MAX_TURN)
    statistics.add_time(TurnCause.TIMERS, 0.1 * MAX_TURN)
    statistics.on_turn_ended(1.5 * MAX_TURN)
    statistics.on_turn_ended(2 * MAX_TURN)
    assert statistics.long_turns == {TurnCause.RESPONSES: 1, TurnCause.OTHER: 1}
    assert "2 turns over 0.01 s (1 other, 1 responses), longest 0.020 s" in str(statistics)


def test_failed_calls_are_counted_by_error() -> None:
    statistics = LoadStatistics()
    for number in (errno.ENFILE, errno.ENOBUFS, errno.ENOBUFS):
        statistics.count_failed_accept(OSError(number, os.strerror(number)))
    statistics.count_failed_connect(OSError(errno.EADDRNOTAVAIL, "x"))
    assert "3 accepts failed (1 ENFILE, 2 ENOBUFS)" in str(statistics)
    assert "1 connects failed (1 EADDRNOTAVAIL)" in str(statistics)
    assert statistics.overload_events == 4
