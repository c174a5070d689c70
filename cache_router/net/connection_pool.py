"""Pool of persistent connections to the servers that speak one protocol."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from cache_router.decisions.events import AttemptStatus
from cache_router.net.address import parse_address
from cache_router.net.connect_faults import ConnectFaults
from cache_router.net.idle_connection_set import IdleConnectionSet
from cache_router.net.load_statistics import LoadStatistics
from cache_router.net.upstream_attempt import UpstreamAttempt, UpstreamResponse
from cache_router.net.upstream_connection import ConnectionOwner, UpstreamConnection

# Seconds before the idle timeout of a server at which the pool closes an idle connection to it.
IDLE_MARGIN = 0.5
# Seconds after a response during which its connection is not reused. Servers send a second response some
# milliseconds late; if it arrives while the connection is idle, it fails no attempt.
REUSE_DELAY = 0.01
log = logging.getLogger(__name__)


class ConnectionPool:
    """Opens, reuses and closes the connections to the servers that speak one protocol.

    A connection is either being opened or established. An established one carries an attempt or is idle.

    Attributes:
        statistics: Counts connects that fail for a fault of this machine.
    """

    def __init__(
        self,
        make_connection: Callable[[ConnectionOwner, str, object], UpstreamConnection],
        max_connections: int,
        connect_timeout: float,
        idle_timeout: float,
        reuse_delay: float = REUSE_DELAY,
        *,
        statistics: LoadStatistics | None = None,
    ) -> None:
        """Create an empty pool.

        Args:
            make_connection: Creates a connection, given its owner, its address and the incarnation of its
                server.
            max_connections: Maximum number of connections to all servers, established or being opened.
            connect_timeout: Seconds after which opening a connection fails.
            idle_timeout: Seconds after which servers close an idle connection.
            reuse_delay: Seconds after a response during which its connection is not reused.
            statistics: Counts connects that fail for a fault of this machine; new ones if None.
        """
        self.statistics = statistics or LoadStatistics()
        self._faults = ConnectFaults()
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
        """Number of established connections."""
        return len(self._established)

    @property
    def connecting_count(self) -> int:
        """Number of connections that are being opened."""
        return len(self._connect_tasks)

    @property
    def idle_count(self) -> int:
        """Number of established connections that carry no attempt."""
        return len(self._idle)

    def start(self, attempt: UpstreamAttempt, address: str, incarnation: object = None) -> None:
        """Start an attempt on a server. It may finish before this method returns.

        Args:
            attempt: The attempt, with its command and its deadline.
            address: `host:port` of the server.
            incarnation: Incarnation of the server. A connection to an incarnation that is not equal is not
                reused.
        """
        connection = self._take_idle(address, incarnation, attempt)
        if connection is not None:
            connection.send(attempt)
        elif self._ensure_capacity():
            connect_task = asyncio.create_task(self._connect(attempt, address, incarnation))
            attempt.mark_connecting(connect_task)
            self._connect_tasks.add(connect_task)
            connect_task.add_done_callback(self._connect_tasks.discard)
        else:
            # More connections would use up the descriptors that clients need. The server is not at fault.
            attempt.finish(UpstreamResponse(AttemptStatus.NOT_SENT))

    async def _connect(self, attempt: UpstreamAttempt, address: str, incarnation: object) -> None:
        """Open a connection for an attempt, and send the attempt if its precondition still holds.

        The attempt completes even on an unexpected exception, because the router waits for its outcome.
        """
        try:
            await self._connect_and_send(attempt, address, incarnation)
        except Exception:
            log.exception("connection to %s: attempt failed", address)
            attempt.finish(UpstreamResponse(AttemptStatus.ERROR))

    async def _connect_and_send(self, attempt: UpstreamAttempt, address: str, incarnation: object) -> None:
        try:
            async with asyncio.timeout(self._connect_timeout):
                _, connection = await asyncio.get_running_loop().create_connection(
                    lambda: self._make_connection(self, address, incarnation), *parse_address(address)
                )
        # TimeoutError is an OSError; an invalid address raises ValueError.
        except (OSError, ValueError) as error:
            status = self._faults.status_of(address, error)
            if status is AttemptStatus.NOT_SENT and isinstance(error, OSError):
                self.statistics.count_failed_connect(error)
            attempt.finish(UpstreamResponse(status))
            return
        self._faults.on_connected(address)
        attempt.mark_connected()
        refusal = attempt.precondition()
        if refusal is None:
            connection.send(attempt)
            return
        if refusal is AttemptStatus.NOT_SENT:
            # The request has ended, but the server is available: the connection is kept for another attempt.
            self.on_idle(connection)
        else:
            connection.abort()
        attempt.finish(UpstreamResponse(refusal))

    def _take_idle(
        self, address: str, incarnation: object, attempt: UpstreamAttempt
    ) -> UpstreamConnection | None:
        """Return the longest-idle connection to a server that may carry an attempt, if there is one.

        A late second response is least likely to arrive on the connection that has been idle for longest.
        """
        idle_before = asyncio.get_running_loop().time() - self._reuse_delay
        for connection in self._idle.connections_to(address):
            if connection.incarnation != incarnation:
                connection.abort()
            elif self._idle.idle_since(connection) > idle_before:
                # All other connections became idle later.
                return None
            elif connection.may_carry(attempt):
                self._idle.discard(connection)
                if connection.is_usable():
                    return connection
                connection.abort()
        return None

    def _ensure_capacity(self) -> bool:
        """Return whether another connection may be opened; close an idle one if the limit is reached."""
        if len(self._established) + len(self._connect_tasks) < self._max_connections:
            return True
        longest_idle = self._idle.longest_idle()
        if longest_idle is None:
            return False
        longest_idle.abort()
        return True

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle.connections_to(address):
            connection.abort()

    def close(self) -> None:
        """Close all established connections, and stop opening others."""
        for connection in list(self._established):
            connection.abort()
        for connect_task in self._connect_tasks:
            connect_task.cancel()

    # Callbacks of the connections, as their `ConnectionOwner`.

    def on_connected(self, connection: UpstreamConnection) -> None:
        """Add a connection that has been established."""
        self._established.add(connection)

    def on_idle(self, connection: UpstreamConnection) -> None:
        """Keep a connection for another attempt until `IDLE_MARGIN` before its server would close it."""
        now = asyncio.get_running_loop().time()
        connection.abort_after(self._max_idle_time)
        self._idle.add(connection, now)

    def on_closed(self, connection: UpstreamConnection) -> None:
        """Remove a connection that is closed or being aborted."""
        self._established.discard(connection)
        self._idle.discard(connection)
