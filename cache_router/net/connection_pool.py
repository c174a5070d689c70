"""Connections kept open to servers, for the attempts that follow."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable

from cache_router.decisions.events import AttemptStatus
from cache_router.net.address import parse_address
from cache_router.net.command import Command
from cache_router.net.socket_state import has_unread_bytes
from cache_router.net.upstream_connection import (
    AttemptInFlight,
    Done,
    Precondition,
    UpstreamConnection,
    UpstreamResponse,
    no_precondition,
)

IDLE_MARGIN = 0.5  # seconds before the peer may close an idle connection at which it is no longer used
# seconds for which a connection rests after an answer: a second one may follow some milliseconds late, and
# would be taken for the answer to the next request (seen: 19 of them, 1.1 to 3.2 ms behind)
REUSE_DELAY = 0.01


class ConnectionPool:
    """The connections to servers that speak one protocol."""

    def __init__(
        self,
        make_connection: Callable[[ConnectionPool, str], UpstreamConnection],
        max_connections: int,
        connect_timeout: float,
        idle_timeout: float,
        reuse_delay: float = REUSE_DELAY,
    ) -> None:
        self.make_connection = make_connection
        self.max_connections = max_connections  # of descriptors
        self.connect_timeout = connect_timeout
        self.reuse_delay = reuse_delay
        self.idle_time = max(0.0, idle_timeout - IDLE_MARGIN)
        self.connections: set[UpstreamConnection] = set()
        self.connecting: set[asyncio.Task[None]] = set()
        self.idle: dict[UpstreamConnection, None] = {}  # of all addresses, longest first
        self.idle_by_address: dict[str, dict[UpstreamConnection, None]] = {}  # of each

    def start(
        self,
        address: str,
        command: Command,
        time_left: float,
        done: Done,
        incarnation: object = None,
        *,
        precondition: Precondition = no_precondition,
    ) -> AttemptInFlight:
        """Start an attempt on the process that is at an address now.

        A connection may be long in coming up: what has changed meanwhile is asked before the first byte.
        """
        attempt = AttemptInFlight(command, time_left, done)
        connection = self._take_idle(address, incarnation)
        if connection is not None:
            connection.begin(attempt)
        elif self._ensure_capacity():
            attempt.connecting = asyncio.create_task(
                self._connect(address, incarnation, attempt, precondition)
            )
            self.connecting.add(attempt.connecting)
            attempt.connecting.add_done_callback(self.connecting.discard)
        else:
            # guards against running out of descriptors, which would stop new clients as well
            attempt.finish(UpstreamResponse(AttemptStatus.NOT_SENT))  # not the server's fault
        return attempt

    async def _connect(
        self, address: str, incarnation: object, attempt: AttemptInFlight, precondition: Precondition
    ) -> None:
        try:
            async with asyncio.timeout(self.connect_timeout):
                _, connection = await asyncio.get_running_loop().create_connection(
                    lambda: self.make_connection(self, address), *parse_address(address)
                )
        except (OSError, ValueError) as e:  # a time-out is the one, an address that cannot be used the other
            full = isinstance(e, OSError) and e.errno in (errno.EMFILE, errno.ENFILE)
            failure = AttemptStatus.NOT_SENT if full else AttemptStatus.CONNECT_FAILED
            attempt.finish(UpstreamResponse(failure))
            return
        connection.incarnation = incarnation
        attempt.connecting = None
        status = precondition()
        if status is None:
            connection.begin(attempt)
            return
        if status is AttemptStatus.NOT_SENT:
            self.release(connection)  # it is the request that is over
        else:
            connection.abort()
        attempt.finish(UpstreamResponse(status))

    def _take_idle(self, address: str, incarnation: object) -> UpstreamConnection | None:
        """The kept connection idle for longest, if one still stands and has had its rest.

        Guards against what follows a good answer after a while: on the one used last it would more likely
        come behind the next request, and be taken for its answer.
        """
        idle_before = asyncio.get_running_loop().time() - self.reuse_delay
        while (connection := next(iter(self.idle_by_address.get(address, ())), None)) is not None:
            if connection.incarnation == incarnation and connection.idle_since > idle_before:
                return None  # and the others were kept later
            self._remove_idle(connection)
            usable = connection.incarnation == incarnation and not connection.transport.is_closing()
            # guards against resets: a close that came in since the loop last looked would lose the request
            if usable and not has_unread_bytes(connection.transport):
                return connection
            connection.abort()
        return None

    def _ensure_capacity(self) -> bool:
        if len(self.connections) + len(self.connecting) < self.max_connections:
            return True
        for connection in self.idle:
            connection.abort()
            return True
        return False

    def release(self, connection: UpstreamConnection) -> None:
        """Hold a connection for the next attempt until the server would close it."""
        connection.idle_since = asyncio.get_running_loop().time()
        connection.abort_after(self.idle_time)
        self.idle[connection] = None
        self.idle_by_address.setdefault(connection.address, {})[connection] = None

    def _remove_idle(self, connection: UpstreamConnection) -> None:
        connection.cancel_timeout()
        if connection in self.idle:
            del self.idle[connection]
            at = self.idle_by_address[connection.address]
            del at[connection]
            if not at:
                del self.idle_by_address[connection.address]

    def remove(self, connection: UpstreamConnection) -> None:
        """Note that a connection is closed."""
        self.connections.discard(connection)
        self._remove_idle(connection)

    def close_idle(self, address: str) -> None:
        """Close the kept connections to one address."""
        for connection in list(self.idle_by_address.get(address, ())):
            connection.abort()

    def close(self) -> None:
        """Close everything."""
        for connection in list(self.connections):
            connection.abort()
        for connecting in self.connecting:
            connecting.cancel()
