"""The table of clients' open connections and their states."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator, Mapping
from contextlib import suppress
from typing import Protocol

from cache_router.net.fair_selector import LoopTurns, UnmeasuredTurns
from cache_router.net.input_scheduler import InputScheduler
from cache_router.net.load_statistics import LoadStatistics
from cache_router.net.reply_memory import ReplyMemory

READ_BUFFER_SIZE = 64 * 1024  # bytes
# seconds that a client has to send a command before it may be evicted, however many connections there are
FIRST_COMMAND_GRACE = 0.05


class OpenConnection(Protocol):
    """The methods of a client's connection that the listener and the evictor use."""

    def has_sent_single_command(self) -> bool:
        """Return whether exactly one complete command has arrived."""

    def has_unread_input(self) -> bool:
        """Return whether a command may wait in the socket."""

    def unsent_size(self) -> int:
        """Return the number of bytes of replies that are still buffered."""

    def has_unsent_output(self) -> bool:
        """Return whether a part of a reply is still buffered."""

    def has_pending_io(self) -> bool:
        """Return whether a part of a reply is buffered, or a new command may wait in the socket."""

    def is_throttled_only(self) -> bool:
        """Return whether the connection is throttled, has no reply pending and is not closing."""

    def close_if_between_requests(self) -> None:
        """Close the connection unless a part of a command has arrived."""

    def close_with_error(self, error: str) -> None:
        """Send an error line after the pending replies, and close."""

    def abort(self) -> None:
        """Close immediately, discard buffered output, and leave the table."""


class ClientConnectionTable:
    """The open connections of clients, and the times since which they are idle or await a command.

    Connections report each change of their state to the table; the listener and the evictor read it. A
    connection on which a reply is pending, or that is throttled or closing, is neither idle nor awaiting a
    command. Times are those of the event loop, in seconds.
    """

    def __init__(self, turns: LoopTurns | None = None, statistics: LoadStatistics | None = None) -> None:
        """Create an empty table; an event loop need not run yet.

        `turns` measures the turns of the event loop, if it has a `FairSelector`, `statistics` its load.
        """
        statistics = statistics or LoadStatistics()
        self.input_scheduler = InputScheduler(turns or UnmeasuredTurns(), statistics)
        self.reply_memory = ReplyMemory(statistics)
        self.draining = False  # whether connections close as soon as no reply is pending on them
        # One buffer serves all connections: each copies its bytes out before another connection reads.
        self.read_buffer = memoryview(bytearray(READ_BUFFER_SIZE))
        self._open: dict[OpenConnection, None] = {}  # ordered set, in order of acceptance
        self._awaiting_command_since: dict[OpenConnection, float] = {}
        self._idle_since: dict[OpenConnection, float] = {}
        self._changed = asyncio.Event()  # wakes `wait_for_change`

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._open)

    def __iter__(self) -> Iterator[OpenConnection]:
        """Iterate over the open connections in order of acceptance."""
        return iter(self._open)

    @property
    def awaiting_command_since(self) -> Mapping[OpenConnection, float]:
        """The times since which connections await their first command or the rest of one, earliest first."""
        return self._awaiting_command_since

    @property
    def idle_since(self) -> Mapping[OpenConnection, float]:
        """The times at which the idle connections became idle, earliest first."""
        return self._idle_since

    def awaiting_beyond_grace(self) -> Iterator[OpenConnection]:
        """Iterate over the connections that have awaited a command for longer than FIRST_COMMAND_GRACE."""
        now = asyncio.get_running_loop().time()
        return (c for c, since in self._awaiting_command_since.items() if now - since > FIRST_COMMAND_GRACE)

    # Reports of connections

    def on_accepted(self, connection: OpenConnection) -> None:
        """Add a new connection, which awaits its first command."""
        self._open[connection] = None
        self.on_awaiting_command(connection)

    def on_data_received(self, connection: OpenConnection) -> None:
        """Mark a connection as not idle; if it is idle after this data, its idle time starts again."""
        self._idle_since.pop(connection, None)

    def on_busy(self, connection: OpenConnection) -> None:
        """Mark a connection as busy: it has a reply pending, is throttled or is closing."""
        self._awaiting_command_since.pop(connection, None)
        self._idle_since.pop(connection, None)

    def on_awaiting_command(self, connection: OpenConnection) -> None:
        """Mark a connection as awaiting its first command, or the rest of an incomplete one."""
        self._idle_since.pop(connection, None)
        self._enter_state(self._awaiting_command_since, connection)

    def on_idle(self, connection: OpenConnection) -> None:
        """Mark a connection as idle: its commands are answered and no part of another has arrived."""
        self._awaiting_command_since.pop(connection, None)
        self._enter_state(self._idle_since, connection)

    def on_closed(self, connection: OpenConnection) -> None:
        """Remove a connection; one that was removed before is ignored."""
        self._open.pop(connection, None)
        self._awaiting_command_since.pop(connection, None)
        self._idle_since.pop(connection, None)
        self.notify_change()

    def _enter_state(self, state: dict[OpenConnection, float], connection: OpenConnection) -> None:
        # A timer or a late reply may report the state of a connection that has closed. If that connection
        # entered the table again, it would stay there, and the evictor would examine a closed socket.
        if connection in self._open and connection not in state:
            state[connection] = asyncio.get_running_loop().time()
            self.notify_change()

    # Changes of the table

    def start_draining(self) -> None:
        """Set `draining`: each connection, even if accepted later, closes once no reply is pending on it."""
        self.draining = True

    def notify_change(self) -> None:
        """Wake the caller of `wait_for_change`."""
        self._changed.set()

    async def wait_for_change(self) -> None:
        """Wait until a connection closes, becomes idle or starts to await a command.

        Returns after FIRST_COMMAND_GRACE at the latest: by then the grace period has ended for the newest
        connections that have sent nothing.
        """
        self._changed.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout(FIRST_COMMAND_GRACE):
                await self._changed.wait()
