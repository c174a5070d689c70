"""Eviction of clients' connections that exceed the descriptor budget or are overdue."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterator

from cache_router.net.client_connection_table import ClientConnectionTable, OpenConnection

# seconds within which a complete command must arrive; clients expect a reply within 3 s
COMMAND_TIMEOUT = 2.0
# seconds after which an idle connection may be closed while more than half of the budget is in use
IDLE_TIMEOUT = 2.0
# idle timeout of a connection that has sent a single command, in seconds
SINGLE_COMMAND_IDLE_TIMEOUT = 0.1
# seconds between checks for overdue connections
OVERDUE_CHECK_INTERVAL = 0.1
MAX_UNSENT_BYTES = 48 * 1024 * 1024  # bytes of replies that clients have not read, on all connections
INCOMPLETE_COMMAND_REPLY = "-ERR no whole command came"
log = logging.getLogger(__name__)


class Evictor:
    """Closes clients' connections that exceed the budget or are overdue."""

    def __init__(
        self, connections: ClientConnectionTable, max_connections: int, longest_client_timeout: float
    ) -> None:
        """Create an evictor for the connections of a table.

        Args:
            connections: The open connections.
            max_connections: Number of descriptors that clients may use.
            longest_client_timeout: Time in seconds after which no client waits for its reply.
        """
        self._connections = connections
        self._max_connections = max_connections
        self._longest_client_timeout = longest_client_timeout

    async def evict_excess(self) -> None:
        """Evict connections until at most `max_connections` are open; wait while none may be evicted.

        Without eviction the process would run out of descriptors for cache servers and discovery. While this
        method waits, no client is accepted, and further clients wait in the backlog.
        """
        while len(self._connections) > self._max_connections:
            candidate = next(self._candidates(), None)
            if candidate is not None:
                candidate.abort()
            else:
                await self._connections.wait_for_change()

    def _candidates(self) -> Iterator[OpenConnection]:
        """Iterate over the connections that may be evicted, in the order of eviction.

        1. Throttled connections, even with unread input: a client that keeps sending invalid commands is
           never idle.
        2. Connections that have awaited a command for too long.
        3. Idle connections that have sent a single command.
        4. Other idle connections, whose clients reuse them.
        """
        for connection in self._connections:
            if connection.is_throttled_only():
                yield connection
        for connection in self._connections.awaiting_beyond_grace():
            if not connection.has_unread_input():
                yield connection
        for connection in self._connections.idle_since:
            if connection.has_sent_single_command() and not connection.has_pending_io():
                yield connection
        for connection in self._connections.idle_since:
            if not connection.has_pending_io():
                yield connection

    async def close_overdue_periodically(self) -> None:
        """Close overdue connections every OVERDUE_CHECK_INTERVAL until cancelled."""
        while True:
            await asyncio.sleep(OVERDUE_CHECK_INTERVAL)
            try:
                self._close_overdue(asyncio.get_running_loop().time())
            except Exception:
                log.exception("closing overdue connections failed")  # later checks must still run

    def _close_overdue(self, now: float) -> None:
        self._reject_incomplete_commands(now)
        self._evict_unread_replies(now)
        self._evict_surplus_idle(now)
        self._evict_largest_unsent_replies()

    def _reject_incomplete_commands(self, now: float) -> None:
        """Close connections that have not completed a command within COMMAND_TIMEOUT."""
        for connection, since in list(self._connections.awaiting_command_since.items()):
            if now - since < COMMAND_TIMEOUT:
                break
            connection.close_with_error(INCOMPLETE_COMMAND_REPLY)

    def _evict_unread_replies(self, now: float) -> None:
        """Evict connections whose client has not read its last reply within the longest client timeout."""
        for connection, since in list(self._connections.idle_since.items()):
            if now - since > self._longest_client_timeout and connection.has_unsent_output():
                connection.abort()

    def _evict_largest_unsent_replies(self) -> None:
        """Evict the connections whose clients leave most unread, down to MAX_UNSENT_BYTES together."""
        unsent = {c: size for c in self._connections if (size := c.unsent_size())}
        excess = sum(unsent.values()) - MAX_UNSENT_BYTES
        while excess > 0:
            largest = max(unsent, key=unsent.__getitem__)
            excess -= unsent.pop(largest)
            largest.abort()

    def _evict_surplus_idle(self, now: float) -> None:
        """Evict idle connections, the longest idle first, down to half of the budget."""
        surplus = len(self._connections) - self._max_connections // 2
        for connection, since in list(self._connections.idle_since.items()):
            if surplus <= 0:
                break
            timeout = SINGLE_COMMAND_IDLE_TIMEOUT if connection.has_sent_single_command() else IDLE_TIMEOUT
            if now - since > timeout and not connection.has_pending_io():
                connection.abort()
                surplus -= 1
