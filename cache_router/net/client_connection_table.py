"""The open connections of clients and which of them are between requests."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import suppress
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cache_router.net.client_connection import ClientConnection

READ_BUFFER_SIZE = 64 * 1024  # bytes
# seconds that a new client has to send its first command, however many connections there are
FIRST_COMMAND_GRACE = 0.05


class ClientConnectionTable:
    """Every open connection of a client, and since when it owes the next command.

    Connections notify the table of each change of their state; the listener and the evictor read it.
    `awaiting_command` and `idle` map a connection to the event loop's time, in seconds, at which it entered
    that state, the earliest first. One on which a reply is pending, or that is closing, is in neither.
    """

    def __init__(self) -> None:
        """Create an empty table; an event loop need not run yet."""
        self.awaiting_command: dict[ClientConnection, float] = {}  # a first command, or the rest of one
        self.idle: dict[ClientConnection, float] = {}
        self.draining = False  # connections close as soon as no reply is pending on them
        # shared by all connections: each takes out what was read before another one reads
        self.read_buffer = memoryview(bytearray(READ_BUFFER_SIZE))
        self._open: dict[ClientConnection, None] = {}  # in order of acceptance
        self._changed = asyncio.Event()  # a connection has closed, or begun to await a command

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._open)

    def __iter__(self) -> Iterator[ClientConnection]:
        """Iterate over the open connections in order of acceptance."""
        return iter(self._open)

    def __contains__(self, connection: ClientConnection) -> bool:
        """Return whether a connection is open."""
        return connection in self._open

    def on_accepted(self, connection: ClientConnection) -> None:
        """Add a new connection, which awaits its first command."""
        self._open[connection] = None
        self.on_awaiting_command(connection)

    def on_data_received(self, connection: ClientConnection) -> None:
        """Note that a connection is not idle; if it is again after this data, its idle time starts anew."""
        self.idle.pop(connection, None)

    def on_busy(self, connection: ClientConnection) -> None:
        """Note that a connection has a reply pending, is throttled or is closing."""
        self.awaiting_command.pop(connection, None)
        self.idle.pop(connection, None)

    def on_awaiting_command(self, connection: ClientConnection) -> None:
        """Note that no command has come yet on a connection, or only a part of the next one."""
        self.idle.pop(connection, None)
        self._enter(self.awaiting_command, connection)

    def on_idle(self, connection: ClientConnection) -> None:
        """Note that all commands of a connection are answered and that no part of another has come."""
        self.awaiting_command.pop(connection, None)
        self._enter(self.idle, connection)

    def _enter(self, state: dict[ClientConnection, float], connection: ClientConnection) -> None:
        # A timer or a late reply may notify of a connection that has closed. It has no socket any more, so
        # entering it again would break the evictor's look at its socket.
        if connection in self._open and connection not in state:
            state[connection] = asyncio.get_running_loop().time()
            self._changed.set()

    def on_closed(self, connection: ClientConnection) -> None:
        """Remove a connection; one that was removed before is ignored."""
        self._open.pop(connection, None)
        self.awaiting_command.pop(connection, None)
        self.idle.pop(connection, None)
        self.notify()

    def start_draining(self) -> None:
        """Let every connection, also one accepted later, close once no reply is pending on it."""
        self.draining = True

    def awaiting_beyond_grace(self) -> Iterator[ClientConnection]:
        """Iterate over the connections that have owed a command for longer than FIRST_COMMAND_GRACE."""
        now = asyncio.get_running_loop().time()
        return (c for c, since in self.awaiting_command.items() if now - since > FIRST_COMMAND_GRACE)

    def notify(self) -> None:
        """Wake whoever waits for a change."""
        self._changed.set()

    async def wait_for_change(self) -> None:
        """Wait until a connection closes or begins to await a command, for FIRST_COMMAND_GRACE at most.

        After that time the newest connections, if they are silent, are past their grace.
        """
        self._changed.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout(FIRST_COMMAND_GRACE):
                await self._changed.wait()
