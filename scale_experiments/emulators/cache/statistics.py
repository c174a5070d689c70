"""Counts of the events at one cache server; no I/O."""

from __future__ import annotations

from scale_experiments.emulators.messages.caches import CacheCounters


class CacheStatistics:
    """Counts since the start of a cache server, with one method for each counted event."""

    def __init__(self) -> None:
        self._accepted = 0
        self._handshakes = 0
        self._hits = 0
        self._misses = 0
        self._rejected = 0
        self._open_sum = 0.0  # sum of open connections over all samples
        self._max_open = 0

    def on_connected(self, open_connections: int, *, is_over_limit: bool) -> None:
        """Count a new connection, which `open_connections` includes.

        A connection that exceeds the limit has no handshake.
        """
        self._accepted += 1
        self._max_open = max(self._max_open, open_connections)
        self._handshakes += not is_over_limit

    def on_hit(self) -> None:
        """Count a request whose key the cache server has."""
        self._hits += 1

    def on_miss(self) -> None:
        """Count a request whose key the cache server lacks, or a write."""
        self._misses += 1

    def on_rejected(self) -> None:
        """Count a rejected request."""
        self._rejected += 1

    def on_sample(self, open_connections: int) -> None:
        """Record a sample of the number of open connections."""
        self._open_sum += open_connections

    def counters(self, open_connections: int) -> CacheCounters:
        """Return all counts, with the number of connections that are open now."""
        return CacheCounters(
            accepted=self._accepted,
            handshakes=self._handshakes,
            requests=self._hits + self._misses + self._rejected,
            hits=self._hits,
            misses=self._misses,
            rejected=self._rejected,
            open_sum=self._open_sum,
            max_open=self._max_open,
            open=open_connections,
        )
