"""Counts and latencies of the load on one router; no I/O."""

from __future__ import annotations

from collections import Counter

from hdrh.histogram import HdrHistogram

from scale_experiments.emulators.messages.clients import (
    CONNECTIONS_OPENED,
    OPEN_CONNECTIONS,
    REQUESTS,
    RETRIES,
    SERVED,
)

MAX_LATENCY_US = 60_000_000  # longer latencies are recorded as this one
LATENCY_SIGNIFICANT_DIGITS = 2


def build_latency_histogram() -> HdrHistogram:
    """Return an empty histogram of latencies in microseconds."""
    return HdrHistogram(1, MAX_LATENCY_US, LATENCY_SIGNIFICANT_DIGITS)


class LoadStatistics:
    """Counts since the start, with one method for each counted event, and latencies of served requests."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()
        self._open_connections = 0
        self._connections_opened = 0
        self._latency = build_latency_histogram()

    @property
    def open_connections(self) -> int:
        """Number of open connections."""
        return self._open_connections

    def on_connected(self) -> None:
        """Count a new connection."""
        self._open_connections += 1
        self._connections_opened += 1

    def on_disconnected(self) -> None:
        """Count a connection as closed."""
        self._open_connections -= 1

    def on_request(self) -> None:
        """Count a request; its retry does not count as another request."""
        self._counts[REQUESTS] += 1

    def on_retry(self) -> None:
        """Count a retry."""
        self._counts[RETRIES] += 1

    def on_outcome(self, outcome: str, latency_s: float) -> None:
        """Count the outcome of a request and, if it was served, record its latency."""
        self._counts[outcome] += 1
        if outcome == SERVED:
            self._latency.record_value(max(1, min(MAX_LATENCY_US, round(latency_s * 1e6))))

    def restart_latency(self) -> None:
        """Discard the latencies recorded so far."""
        self._latency.reset()

    def add_to(self, counts: Counter[str], latency: HdrHistogram) -> None:
        """Add all counts to `counts` and all latencies to `latency`."""
        counts.update(self._counts)
        counts[OPEN_CONNECTIONS] += self._open_connections
        counts[CONNECTIONS_OPENED] += self._connections_opened
        latency.add(self._latency)
