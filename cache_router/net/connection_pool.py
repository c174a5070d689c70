"""Connections to the servers of one protocol, kept open between attempts."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable

from cache_router.decisions.events import AttemptStatus
from cache_router.net.address import parse_address
from cache_router.net.socket_state import has_unread_bytes
from cache_router.net.upstream_attempt import UpstreamAttempt, UpstreamResponse
from cache_router.net.upstream_connection import UpstreamConnection

# seconds before the server may close an idle connection at which the pool closes it
IDLE_MARGIN = 0.5
# seconds for which a connection is not used after a response: a second one may follow some milliseconds late,
# and would be taken for the response to the next request (19 were seen, 1.1 to 3.2 ms after the first)
REUSE_DELAY = 0.01
DESCRIPTORS_EXHAUSTED = (errno.EMFILE, errno.ENFILE)


class ConnectionPool:
    """The connections to servers that speak one protocol.

    A connection is up or being opened (`connecting`); one that is up carries an attempt or is idle.
    """

    def __init__(
        self,
        make_connection: Callable[[ConnectionPool, str], UpstreamConnection],
        max_connections: int,
        connect_timeout: float,
        idle_timeout: float,
        reuse_delay: float = REUSE_DELAY,
    ) -> None:
        """Create an empty pool.

        Args:
            make_connection: Makes the protocol of a connection of this pool to an address.
            max_connections: How many may be up or being opened at once, to all servers together.
            connect_timeout: Seconds that opening one may take.
            idle_timeout: Seconds after which servers close a connection that is idle.
            reuse_delay: Seconds after a response for which its connection is not used.
        """
        self.make_connection = make_connection
        self.max_connections = max_connections
        self.connect_timeout = connect_timeout
        self.reuse_delay = reuse_delay
        self.idle_time = max(0.0, idle_timeout - IDLE_MARGIN)
        self.connections: set[UpstreamConnection] = set()
        self.connecting: set[asyncio.Task[None]] = set()
        # ordered sets: the connection that has been idle for longest comes first
        self.idle: dict[UpstreamConnection, None] = {}
        self.idle_by_address: dict[str, dict[UpstreamConnection, None]] = {}

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
            connection.begin(attempt)
        elif self._ensure_capacity():
            connecting = asyncio.create_task(self._connect(attempt, address, incarnation))
            attempt.mark_connecting(connecting)
            self.connecting.add(connecting)
            connecting.add_done_callback(self.connecting.discard)
        else:
            # with more descriptors the pool would keep clients from connecting; the server is not at fault
            attempt.finish(UpstreamResponse(AttemptStatus.NOT_SENT))

    async def _connect(self, attempt: UpstreamAttempt, address: str, incarnation: object) -> None:
        """Open a connection for an attempt, and begin the attempt if its precondition still holds."""
        try:
            async with asyncio.timeout(self.connect_timeout):
                _, connection = await asyncio.get_running_loop().create_connection(
                    lambda: self.make_connection(self, address), *parse_address(address)
                )
        # a time-out is an OSError, an address that can't be used a ValueError
        except (OSError, ValueError) as error:
            exhausted = isinstance(error, OSError) and error.errno in DESCRIPTORS_EXHAUSTED
            failure = AttemptStatus.NOT_SENT if exhausted else AttemptStatus.CONNECT_FAILED
            attempt.finish(UpstreamResponse(failure))
            return
        connection.incarnation = incarnation
        attempt.mark_connected()
        status = attempt.precondition()
        if status is None:
            connection.begin(attempt)
            return
        if status is AttemptStatus.NOT_SENT:
            # the request is over, not the server: the connection serves another attempt
            self.release(connection)
        else:
            connection.abort()
        attempt.finish(UpstreamResponse(status))

    def _take_idle(self, address: str, incarnation: object) -> UpstreamConnection | None:
        """The connection to a server that has been idle for longest, past its reuse delay and still open.

        The one used last would be more likely to carry something that follows its last response late, which
        would be taken for the response to the next request.
        """
        idle_before = asyncio.get_running_loop().time() - self.reuse_delay
        while (connection := next(iter(self.idle_by_address.get(address, ())), None)) is not None:
            if connection.incarnation == incarnation and connection.idle_since > idle_before:
                # all others became idle later
                return None
            self._remove_idle(connection)
            usable = connection.incarnation == incarnation and not connection.transport.is_closing()
            # a close that arrived since the event loop last looked would lose the request
            if usable and not has_unread_bytes(connection.transport):
                return connection
            connection.abort()
        return None

    def _ensure_capacity(self) -> bool:
        """Whether another connection may be opened; one that is idle is closed for it if need be."""
        if len(self.connections) + len(self.connecting) < self.max_connections:
            return True
        idle_longest = next(iter(self.idle), None)
        if idle_longest is None:
            return False
        idle_longest.abort()
        return True

    def release(self, connection: UpstreamConnection) -> None:
        """Keep a connection for the next attempt, until shortly before its server would close it."""
        connection.idle_since = asyncio.get_running_loop().time()
        connection.abort_after(self.idle_time)
        self.idle[connection] = None
        self.idle_by_address.setdefault(connection.address, {})[connection] = None

    def _remove_idle(self, connection: UpstreamConnection) -> None:
        """Take a connection from those that are idle, and stop its timer."""
        connection.cancel_timeout()
        if connection in self.idle:
            del self.idle[connection]
            same_address = self.idle_by_address[connection.address]
            del same_address[connection]
            if not same_address:
                del self.idle_by_address[connection.address]

    def remove(self, connection: UpstreamConnection) -> None:
        """Forget a connection that is closed or about to be."""
        self.connections.discard(connection)
        self._remove_idle(connection)

    def close_idle(self, address: str) -> None:
        """Close the idle connections to one address."""
        for connection in list(self.idle_by_address.get(address, ())):
            connection.abort()

    def close(self) -> None:
        """Close all connections and stop opening those that are not yet up."""
        for connection in list(self.connections):
            connection.abort()
        for connecting in self.connecting:
            connecting.cancel()
