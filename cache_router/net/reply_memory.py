"""The memory of complete replies that wait behind pending ones, on the connections of all clients."""

from __future__ import annotations

from cache_router.net.load_statistics import LoadStatistics


class ReplyMemory:
    """Counts the bytes of the replies that are complete and wait behind a pending one of their connection."""

    def __init__(self, statistics: LoadStatistics) -> None:
        """Create an account without replies; `statistics` gets its largest size."""
        self._statistics = statistics
        self.waiting_bytes = 0

    def add(self, size: int) -> None:
        """Count a reply of `size` bytes that has to wait."""
        self.waiting_bytes += size
        self._statistics.on_waiting_replies(self.waiting_bytes)

    def remove(self, size: int) -> None:
        """Count no longer a reply of `size` bytes, which has been passed on or discarded."""
        self.waiting_bytes -= size
