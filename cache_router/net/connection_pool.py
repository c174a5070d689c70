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
    always_allowed,
)

IDLE_MARGIN = 0.5  # seconds before the peer may close an idle connection at which it is no longer used
# seconds for which a connection rests after an answer: a second one may follow some milliseconds late, and
# would be taken for the answer to the next request (seen: 19 of them, 1.1 to 3.2 ms behind)
REST = 0.01


class ConnectionPool:
    """The connections to servers that speak one protocol."""

    def __init__(
        self,
        make: Callable[[ConnectionPool, str], UpstreamConnection],
        budget: int,
        dial_timeout: float,
        idle: float,
        rest: float = REST,
    ) -> None:
        self.make = make
        self.budget = budget  # of descriptors
        self.dial_timeout = dial_timeout
        self.rest = rest
        self.idle_time = max(0.0, idle - IDLE_MARGIN)
        self.connections: set[UpstreamConnection] = set()
        self.dials: set[asyncio.Task[None]] = set()
        self.idle: dict[UpstreamConnection, None] = {}  # of all addresses, longest first
        self.idle_at: dict[str, dict[UpstreamConnection, None]] = {}  # of each

    def start(
        self,
        address: str,
        command: Command,
        time_left: float,
        done: Done,
        process: object = None,
        *,
        precondition: Precondition = always_allowed,
    ) -> AttemptInFlight:
        """Start an attempt on the process that is at an address now.

        A connection may be long in coming up: what has changed meanwhile is asked before the first byte.
        """
        exchange = AttemptInFlight(command, time_left, done)
        kept = self._take(address, process)
        if kept is not None:
            kept.begin(exchange)
        elif self._has_room():
            exchange.dial = asyncio.create_task(self._dial(address, process, exchange, precondition))
            self.dials.add(exchange.dial)
            exchange.dial.add_done_callback(self.dials.discard)
        else:
            # guards against running out of descriptors, which would stop new clients as well
            exchange.finish(UpstreamResponse(AttemptStatus.NOT_SENT))  # not the server's fault
        return exchange

    async def _dial(
        self, address: str, process: object, exchange: AttemptInFlight, precondition: Precondition
    ) -> None:
        try:
            async with asyncio.timeout(self.dial_timeout):
                _, connection = await asyncio.get_running_loop().create_connection(
                    lambda: self.make(self, address), *parse_address(address)
                )
        except (OSError, ValueError) as e:  # a time-out is the one, an address that cannot be used the other
            full = isinstance(e, OSError) and e.errno in (errno.EMFILE, errno.ENFILE)
            failure = AttemptStatus.NOT_SENT if full else AttemptStatus.CONNECT_FAILED
            exchange.finish(UpstreamResponse(failure))
            return
        connection.process = process
        exchange.dial = None
        status = precondition()
        if status is None:
            connection.begin(exchange)
            return
        if status is AttemptStatus.NOT_SENT:
            self.keep(connection)  # it is the request that is over
        else:
            connection.drop()
        exchange.finish(UpstreamResponse(status))

    def _take(self, address: str, process: object) -> UpstreamConnection | None:
        """The kept connection idle for longest, if one still stands and has had its rest.

        Guards against what follows a good answer after a while: on the one used last it would more likely
        come behind the next request, and be taken for its answer.
        """
        rested = asyncio.get_running_loop().time() - self.rest
        while (connection := next(iter(self.idle_at.get(address, ())), None)) is not None:
            if connection.process == process and connection.kept_at > rested:
                return None  # and the others were kept later
            self._leave_idle(connection)
            usable = connection.process == process and not connection.transport.is_closing()
            # guards against resets: a close that came in since the loop last looked would lose the request
            if usable and not has_unread_bytes(connection.transport):
                return connection
            connection.drop()
        return None

    def _has_room(self) -> bool:
        if len(self.connections) + len(self.dials) < self.budget:
            return True
        for connection in self.idle:
            connection.drop()
            return True
        return False

    def keep(self, connection: UpstreamConnection) -> None:
        """Hold a connection for the next attempt until the server would close it."""
        connection.kept_at = asyncio.get_running_loop().time()
        connection.expire_in(self.idle_time)
        self.idle[connection] = None
        self.idle_at.setdefault(connection.address, {})[connection] = None

    def _leave_idle(self, connection: UpstreamConnection) -> None:
        connection.stop_expiry()
        if connection in self.idle:
            del self.idle[connection]
            at = self.idle_at[connection.address]
            del at[connection]
            if not at:
                del self.idle_at[connection.address]

    def forget(self, connection: UpstreamConnection) -> None:
        """Note that a connection is closed."""
        self.connections.discard(connection)
        self._leave_idle(connection)

    def close_idle(self, address: str) -> None:
        """Close the kept connections to one address."""
        for connection in list(self.idle_at.get(address, ())):
            connection.drop()

    def close(self) -> None:
        """Close everything."""
        for connection in list(self.connections):
            connection.drop()
        for dial in self.dials:
            dial.cancel()
