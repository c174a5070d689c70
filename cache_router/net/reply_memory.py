"""The memory of replies that are behind a pending one, on the connections of all clients."""

from __future__ import annotations

from cache_router.net.command import MAX_VALUE_SIZE
from cache_router.net.load_statistics import LoadStatistics

MAX_REPLY_SIZE = MAX_VALUE_SIZE + 64  # bytes of a bulk string with its length and line ends
MAX_PIPELINED_REPLY_BYTES = 32 * 1024 * 1024  # bytes of replies behind a pending one, on all connections


class ReplyMemory:
    """Reserves the memory of replies that are behind a pending one of their connection.

    A command that waits for no other needs no reservation: its reply is written as soon as it is complete.
    """

    def __init__(self, statistics: LoadStatistics) -> None:
        """Create an account without reservations; `statistics` records its largest size."""
        self._statistics = statistics
        self._reserved = 0  # bytes

    def has_room(self) -> bool:
        """Return whether memory is left for one more reply of any size."""
        return self._reserved + MAX_REPLY_SIZE <= MAX_PIPELINED_REPLY_BYTES

    def change(self, reserved_before: int, reserved: int) -> None:
        """Change the reservation of one reply; sizes are in bytes, 0 for none."""
        self._reserved += reserved - reserved_before
        self._statistics.on_pipelined_reply_bytes(self._reserved)
