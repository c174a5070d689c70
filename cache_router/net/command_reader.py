"""Reads the commands of one client from the bytes of its connection, with the times of their arrival."""

from __future__ import annotations

from collections import deque
from typing import Literal

from cache_router.net.command import MAX_INFO_SIZE, MAX_KEY_SIZE, MAX_VALUE_SIZE
from cache_router.net.resp import INCOMPLETE, Incompleteness, Message, RespReader

# bytes buffered for an incomplete command
MAX_COMMAND_SIZE = MAX_VALUE_SIZE + MAX_KEY_SIZE + MAX_INFO_SIZE + 4096
MAX_COMMAND_PARTS = 16  # items of the array that encodes a command


class CommandReader:
    """Takes bytes as they arrive, and returns the parts of complete commands.

    Times are in seconds of the monotonic clock.
    """

    def __init__(self, unread_since: float | None = None) -> None:
        """Create a reader without bytes; `unread_since` is as in `mark_unread_since`."""
        self.count = 0  # number of commands returned
        self._reader = RespReader(MAX_COMMAND_PARTS, MAX_VALUE_SIZE, MAX_COMMAND_SIZE)
        self._received = 0  # number of bytes received on the connection
        # the position behind each received chunk that has not been processed, and the time of its arrival
        self._chunks: deque[tuple[int, float]] = deque()
        self._unread_since = unread_since

    def mark_unread_since(self, time: float) -> None:
        """Record that the next bytes may have waited unread since `time`; an earlier time stays in force."""
        if self._unread_since is None:
            self._unread_since = time

    def mark_all_read(self) -> None:
        """Record that no byte waits unread: what is received from now on has not waited before."""
        self._unread_since = None

    def feed(self, data: memoryview, ready_since: float) -> None:
        """Add received bytes, which the event loop has known to be ready since a time."""
        arrived_at = ready_since
        if self._unread_since is not None:
            arrived_at = min(arrived_at, self._unread_since)
            self._unread_since = None
        self._received += len(data)
        self._chunks.append((self._received, arrived_at))
        self._reader.feed(data)

    def next(self) -> Message | Literal[Incompleteness.INCOMPLETE]:
        """Return the parts of the next command, or `INCOMPLETE` if its end has not arrived yet.

        Raises:
            RespError: The input is not RESP2 or exceeds a limit.
        """
        parts = self._reader.next()
        if parts is INCOMPLETE:
            self._chunks.clear()  # the last byte of the next command has not arrived
        else:
            self.count += 1
        return parts

    def last_arrived_at(self) -> float:
        """Return the earliest time at which the last byte of the command returned last can have arrived."""
        processed = self._received - self._reader.buffered_size
        while self._chunks[0][0] < processed:
            self._chunks.popleft()
        return self._chunks[0][1]

    @property
    def buffered_size(self) -> int:
        """Number of bytes that are buffered and not part of a returned command."""
        return self._reader.buffered_size

    def is_empty(self) -> bool:
        """Return whether no byte of a further command is buffered."""
        return self._reader.is_empty()

    def clear(self) -> None:
        """Discard the buffered bytes."""
        self._reader.clear()
