"""Eviction of clients' connections: within the budget of descriptors, and of those that are overdue."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator

from cache_router.net.client_connection import ClientConnection
from cache_router.net.client_connection_table import ClientConnectionTable

# seconds for a whole command to arrive; a client is owed an answer within 3 s
COMMAND_TIMEOUT = 2.0
# seconds after which an idle connection may be closed while more than half of the budget is in use
IDLE_TIMEOUT = 2.0
# the same for one that has sent a single command
SINGLE_COMMAND_IDLE_TIMEOUT = 0.1
# seconds between checks for overdue connections
OVERDUE_CHECK_INTERVAL = 0.1


class Evictor:
    """Closes connections of clients that are over the budget or overdue."""

    def __init__(
        self, connections: ClientConnectionTable, max_connections: int, longest_client_timeout: float
    ) -> None:
        """Evict from a table.

        `max_connections` is the share of the process's descriptors that clients may use, and
        `longest_client_timeout` the time in seconds after which no client waits for its answer any more.
        """
        self.connections = connections
        self.max_connections = max_connections
        self.longest_client_timeout = longest_client_timeout

    async def evict_excess(self) -> None:
        """Evict until the budget holds; wait while every connection has a request in flight.

        The process would run out of descriptors for cache servers and discovery otherwise. While this
        waits, nothing is accepted and further clients wait in the backlog.
        """
        while len(self.connections) > self.max_connections:
            candidate = next(self._candidates(), None)
            if candidate is not None:
                self._evict(candidate)
            else:
                await self.connections.wait_for_change()

    def _candidates(self) -> Iterator[ClientConnection]:
        """The connections that may be evicted, in the order in which they are to go.

        One that has just sent an error goes first, whatever it has sent behind it: it is never idle, as the
        next error follows the last. Then go those that owe a command, and then idle ones, of which clients
        that have sent a single command come before regular ones.
        """
        for connection in self.connections:
            if connection.is_throttled_only():
                yield connection
        for connection in self.connections.awaiting_beyond_grace():
            if not connection.has_unread_input():
                yield connection
        for connection in self.connections.idle:
            if connection.commands_received == 1 and not connection.has_pending_io():
                yield connection
        for connection in self.connections.idle:
            if not connection.has_pending_io():
                yield connection

    async def close_overdue_periodically(self) -> None:
        """Close overdue connections every OVERDUE_CHECK_INTERVAL until cancelled."""
        while True:
            await asyncio.sleep(OVERDUE_CHECK_INTERVAL)
            now = asyncio.get_running_loop().time()
            self._reject_incomplete_commands(now)
            self._evict_unread_replies(now)
            self._evict_surplus_idle(now)

    def _reject_incomplete_commands(self, now: float) -> None:
        """Close connections that have sent nothing, or a part of a command, for too long."""
        for connection, since in list(self.connections.awaiting_command.items()):
            if now - since < COMMAND_TIMEOUT:
                break
            if not connection.transport.is_closing():
                connection.close_with_error("-ERR no whole command came")

    def _evict_unread_replies(self, now: float) -> None:
        """Evict connections whose client has not read its last reply and can't be waiting for it any more."""
        for connection, since in list(self.connections.idle.items()):
            if now - since > self.longest_client_timeout and connection.has_unsent_output():
                self._evict(connection)

    def _evict_surplus_idle(self, now: float) -> None:
        """Evict idle connections, the longest idle first, down to half of the budget."""
        surplus = len(self.connections) - self.max_connections // 2
        for connection, since in list(self.connections.idle.items()):
            if surplus <= 0:
                break
            timeout = IDLE_TIMEOUT if connection.commands_received > 1 else SINGLE_COMMAND_IDLE_TIMEOUT
            if now - since > timeout and not connection.has_pending_io():
                self._evict(connection)
                surplus -= 1

    def _evict(self, connection: ClientConnection) -> None:
        connection.transport.abort()
        # now: the event loop reports an aborted connection as lost only later
        self.connections.on_closed(connection)
