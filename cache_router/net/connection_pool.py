"""Connections to the servers of one protocol, which stay open between attempts."""

from __future__ import annotations

import asyncio
import errno
import logging
from collections.abc import Callable

from cache_router.decisions.events import AttemptStatus
from cache_router.net.address import parse_address
from cache_router.net.idle_connection_set import IdleConnectionSet
from cache_router.net.upstream_attempt import UpstreamAttempt, UpstreamResponse
from cache_router.net.upstream_connection import ConnectionOwner, UpstreamConnection

# seconds by which the pool closes an idle connection earlier than its server would
IDLE_MARGIN = 0.5
# Seconds for which a connection is not used after a response. A second response may follow and would be taken
# for the response to the next request (19 were seen, 1.1 to 3.2 ms after the first).
REUSE_DELAY = 0.01
DESCRIPTORS_EXHAUSTED = (errno.EMFILE, errno.ENFILE)
log = logging.getLogger(__name__)


class ConnectionPool:
    """The connections to servers that speak one protocol.

    A connection is being opened or established; one that is established carries an attempt or is idle.
    """

    def __init__(
        self,
        make_connection: Callable[[ConnectionOwner, str, object], UpstreamConnection],
        max_connections: int,
        connect_timeout: float,
        idle_timeout: float,
        reuse_delay: float = REUSE_DELAY,
    ) -> None:
        """Create an empty pool.

        Args:
            make_connection: Makes a connection from its owner, its address and the incarnation of its server.
            max_connections: Most connections to all servers together, established or being opened.
            connect_timeout: Seconds after which the opening of a connection fails.
            idle_timeout: Seconds after which servers close a connection that is idle.
            reuse_delay: Seconds after a response for which its connection is not used.
        """
        self._make_connection = make_connection
        self._max_connections = max_connections
        self._connect_timeout = connect_timeout
        self._reuse_delay = reuse_delay
        self._max_idle_time = max(0.0, idle_timeout - IDLE_MARGIN)
        self._established: set[UpstreamConnection] = set()
        self._connect_tasks: set[asyncio.Task[None]] = set()
        self._idle = IdleConnectionSet()

    @property
    def established_count(self) -> int:
        """How many connections are established."""
        return len(self._established)

    @property
    def connecting_count(self) -> int:
        """How many connections are being opened."""
        return len(self._connect_tasks)

    @property
    def idle_count(self) -> int:
        """How many connections are established and carry no attempt."""
        return len(self._idle)

    def start(self, attempt: UpstreamAttempt, address: str, incarnation: object = None) -> None:
        """Start an attempt on a server. It may finish before this returns.

        Args:
            attempt: What is requested, and for how long the router waits.
            address: The server's `host:port`.
            incarnation: Differs between a server and an earlier one at the same address; compared by
                equality.
        """
        connection = self._take_idle(address, incarnation)
        if connection is not None:
            connection.send(attempt)
        elif self._ensure_capacity():
            connect_task = asyncio.create_task(self._connect(attempt, address, incarnation))
            attempt.mark_connecting(connect_task)
            self._connect_tasks.add(connect_task)
            connect_task.add_done_callback(self._connect_tasks.discard)
        else:
            # with more descriptors the pool would keep clients from connecting; the server is not at fault
            attempt.finish(UpstreamResponse(AttemptStatus.NOT_SENT))

    async def _connect(self, attempt: UpstreamAttempt, address: str, incarnation: object) -> None:
        """Open a connection for an attempt, and send the attempt if its precondition still holds.

        Whatever happens, the attempt ends: the router waits for that.
        """
        try:
            await self._connect_and_send(attempt, address, incarnation)
        except Exception:
            log.exception("connection to %s", address)
            attempt.finish(UpstreamResponse(AttemptStatus.ERROR))

    async def _connect_and_send(self, attempt: UpstreamAttempt, address: str, incarnation: object) -> None:
        try:
            async with asyncio.timeout(self._connect_timeout):
                _, connection = await asyncio.get_running_loop().create_connection(
                    lambda: self._make_connection(self, address, incarnation), *parse_address(address)
                )
        # a time-out is an OSError, an address that can't be used a ValueError
        except (OSError, ValueError) as error:
            exhausted = isinstance(error, OSError) and error.errno in DESCRIPTORS_EXHAUSTED
            failure = AttemptStatus.NOT_SENT if exhausted else AttemptStatus.CONNECT_FAILED
            attempt.finish(UpstreamResponse(failure))
            return
        attempt.mark_connected()
        status = attempt.precondition()
        if status is None:
            connection.send(attempt)
            return
        if status is AttemptStatus.NOT_SENT:
            # the request is over, not the server: the connection serves another attempt
            self.on_idle(connection)
        else:
            connection.abort()
        attempt.finish(UpstreamResponse(status))

    def _take_idle(self, address: str, incarnation: object) -> UpstreamConnection | None:
        """Return the connection to a server that has been idle for longest, if it may be used.

        The one used last would be more likely to carry something that follows its last response late, which
        would be taken for the response to the next request.
        """
        idle_before = asyncio.get_running_loop().time() - self._reuse_delay
        while (connection := self._idle.longest_idle_to(address)) is not None:
            same_incarnation = connection.incarnation == incarnation
            if same_incarnation and self._idle.idle_since(connection) > idle_before:
                # all others became idle later
                return None
            self._idle.discard(connection)
            if same_incarnation and connection.is_usable():
                return connection
            connection.abort()
        return None

    def _ensure_capacity(self) -> bool:
        """Return whether another connection may be opened; an idle one is closed for it if need be."""
        if len(self._established) + len(self._connect_tasks) < self._max_connections:
            return True
        longest_idle = self._idle.longest_idle()
        if longest_idle is None:
            return False
        longest_idle.abort()
        return True

    def close_idle(self, address: str) -> None:
        """Close the idle connections to one address."""
        for connection in self._idle.connections_to(address):
            connection.abort()

    def close(self) -> None:
        """Close all connections and stop opening those that are not yet established."""
        for connection in list(self._established):
            connection.abort()
        for connect_task in self._connect_tasks:
            connect_task.cancel()

    # Called by the connections, whose owner this is

    def on_connected(self, connection: UpstreamConnection) -> None:
        """Count a connection that is established."""
        self._established.add(connection)

    def on_idle(self, connection: UpstreamConnection) -> None:
        """Keep a connection for the next attempt, until shortly before its server would close it."""
        now = asyncio.get_running_loop().time()
        connection.abort_after(self._max_idle_time)
        self._idle.add(connection, now)

    def on_closed(self, connection: UpstreamConnection) -> None:
        """Remove a connection that is closed or about to be."""
        self._established.discard(connection)
        self._idle.discard(connection)
