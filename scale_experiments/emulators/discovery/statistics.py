"""Counters of the discovery emulator; no I/O."""

from __future__ import annotations

from collections import deque
from dataclasses import asdict

from scale_experiments.emulators.messages.common import ProcessUsage
from scale_experiments.emulators.messages.discovery import DiscoveryStats

BUCKET_S = 0.1  # width of an interval in which polls are counted
MAX_BUCKETS = 6000  # number of the latest intervals that are kept


class DiscoveryStatistics:
    """Counters since the start, with one method per counted event; times are in seconds."""

    def __init__(self) -> None:
        self._polls = 0
        self._connections = 0
        self._answered = 0
        self._rejected = 0
        self._bytes_in = 0
        self._bytes_out = 0
        self._polls_over_time: deque[list[float]] = deque(maxlen=MAX_BUCKETS)  # [bucket number, polls]
        self._notification_s = 0.0  # time from the latest change until the last response to it was written
        self._notified_polls = 0

    def on_connected(self) -> None:
        """Count a new connection."""
        self._connections += 1

    def on_received(self, byte_count: int) -> None:
        """Count received bytes."""
        self._bytes_in += byte_count

    def on_sent(self, byte_count: int) -> None:
        """Count sent bytes."""
        self._bytes_out += byte_count

    def on_poll(self, now: float) -> None:
        """Count a poll, also in the bucket of its time."""
        self._polls += 1
        bucket = now // BUCKET_S
        if self._polls_over_time and self._polls_over_time[-1][0] == bucket:
            self._polls_over_time[-1][1] += 1
        else:
            self._polls_over_time.append([bucket, 1])

    def on_answered(self) -> None:
        """Count a poll that is answered with a complete list or with changes."""
        self._answered += 1

    def on_rejected(self) -> None:
        """Count a poll that is answered with status 503."""
        self._rejected += 1

    def on_change(self, waiting_polls: int) -> None:
        """Record the number of polls that waited for a change."""
        self._notified_polls = waiting_polls

    def on_change_sent(self, duration_s: float) -> None:
        """Record the time that the responses to all polls that waited for a change have taken."""
        self._notification_s = duration_s

    def stats(
        self, *, index: int, open_connections: int, waiting: int, usage: ProcessUsage
    ) -> DiscoveryStats:
        """Return all counters, with the current index, connections, waiting polls and process usage."""
        return DiscoveryStats(
            polls=self._polls,
            connections=self._connections,
            answered=self._answered,
            rejected=self._rejected,
            bytes_in=self._bytes_in,
            bytes_out=self._bytes_out,
            notification_s=self._notification_s,
            notified_polls=self._notified_polls,
            index=index,
            open=open_connections,
            waiting=waiting,
            bucket_s=BUCKET_S,
            polls_over_time=list(self._polls_over_time),
            **asdict(usage),
        )
