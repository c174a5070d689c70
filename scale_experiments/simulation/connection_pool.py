"""Model of one router's connection pool to cache servers, by the rules listed in `network_rules`."""

from __future__ import annotations

from typing import Protocol

from cache_router.decisions.events import AttemptStatus, LoadReport
from scale_experiments.simulation.cache_server import CacheServer
from scale_experiments.simulation.connection import SimulatedConnection
from scale_experiments.simulation.connection_accounting import ConnectionCount
from scale_experiments.simulation.context import SimulationContext
from scale_experiments.simulation.idle_connections import IdleConnections
from scale_experiments.simulation.network import Location
from scale_experiments.simulation.network_rules import IDLE_MARGIN
from scale_experiments.simulation.requests import Attempt
from scale_experiments.simulation.statistics import CountedEvent

CLOCK_TOLERANCE = 1e-6  # seconds by which rounding may make the check of the idle timeout too early


class AttemptOwner(Protocol):
    """Interface through which a pool checks and finishes the attempts of its router."""

    def precondition(self, attempt: Attempt) -> AttemptStatus | None:
        """Return the status of an attempt that may no longer be sent, or None if it may be sent."""

    def finish(self, attempt: Attempt, status: AttemptStatus, load_report: LoadReport | None = None) -> None:
        """Finish an attempt and report its result."""


class SimulatedConnectionPool:
    """The connections of one router to all cache servers."""

    __slots__ = ("_context", "_idle_time", "_location", "_owner", "connections", "idle")

    def __init__(self, context: SimulationContext, location: Location, owner: AttemptOwner) -> None:
        self._context = context
        self._location = location
        self._owner = owner
        self.connections = ConnectionCount(context.events.now)
        self.idle = IdleConnections()
        self._idle_time = max(0.0, context.settings.connection_idle_timeout - IDLE_MARGIN)

    def start(self, attempt: Attempt, server: CacheServer, listed_start: float) -> None:
        """Send an attempt on an idle or a new connection; if neither is possible, finish it as not sent."""
        connection = self._take_idle(server, listed_start)
        if connection is not None:
            self._send(attempt, connection, server)
        elif self._ensure_capacity():
            self._connect(attempt, server, listed_start)
        else:
            self._owner.finish(attempt, AttemptStatus.NOT_SENT)

    def receive_response(self, attempt: Attempt, status: AttemptStatus, load_report: LoadReport) -> None:
        """Keep the attempt's connection for reuse, and finish the attempt.

        A response to a finished attempt, on a closed connection or from an unreachable server is ignored.
        """
        connection = attempt.connection
        if attempt.is_finished or connection is None or not connection.is_open:
            return
        if self._context.network.is_reachable(self._location, connection.server):
            self._keep(connection)
            self._owner.finish(attempt, status, load_report)

    def close(self, connection: SimulatedConnection) -> None:
        """Close a connection, if it is open."""
        if not connection.is_open:
            return
        self.idle.discard(connection)
        self.connections.add(-1, self._context.events.now)
        connection.mark_closed()

    def close_idle(self, server: str) -> None:
        """Close the idle connections to one server."""
        for connection in self.idle.to_server(server):
            self.close(connection)

    def close_all_idle(self) -> None:
        """Close the idle connections to all servers."""
        for connection in self.idle.all():
            self.close(connection)

    def _take_idle(self, server: CacheServer, listed_start: float) -> SimulatedConnection | None:
        latest = self._context.events.now - self._context.model.reuse_delay
        while True:
            connection = self.idle.longest_idle_to(server.name)
            if connection is None or connection.idle_since > latest:
                return None
            self.idle.discard(connection)
            if connection.listed_start == listed_start:
                return connection
            self.close(connection)

    def _ensure_capacity(self) -> bool:
        """Return whether another connection may be opened; close an idle one to make that possible."""
        if self.connections.current < self._context.model.router_descriptors:
            return True
        longest_idle = self.idle.longest_idle()
        if longest_idle is None:
            return False
        self.close(longest_idle)
        return True

    def _send(self, attempt: Attempt, connection: SimulatedConnection, server: CacheServer) -> None:
        attempt.use_connection(connection)
        latency = self._context.network.one_way_latency(self._location, server.location)
        self._context.events.schedule(latency, server.receive, attempt, connection)

    def _connect(self, attempt: Attempt, server: CacheServer, listed_start: float) -> None:
        context = self._context
        context.statistics.count(CountedEvent.CONNECT)
        connection = SimulatedConnection(server, listed_start)
        attempt.use_connection(connection)
        self.connections.add(1, context.events.now)
        round_trip = 2 * context.network.one_way_latency(self._location, server.location)
        if not context.network.is_reachable(self._location, server) and not server.refuses_connections:
            timeout = context.settings.connect_timeout
            context.events.schedule(timeout, self._connect_failed, connection, attempt)
        elif server.refuses_connections or not server.has_connection_capacity():
            context.events.schedule(round_trip, self._connect_failed, connection, attempt)
        else:
            connection.mark_accepted(server.started_at)
            server.connection_opened()
            seconds = round_trip * context.model.handshake_round_trips
            context.events.schedule(seconds, self._connected, connection, attempt, server)

    def _connect_failed(self, connection: SimulatedConnection, attempt: Attempt) -> None:
        self._context.statistics.count(CountedEvent.CONNECT_FAILED)
        self.close(connection)
        self._owner.finish(attempt, AttemptStatus.CONNECT_FAILED)

    def _connected(self, connection: SimulatedConnection, attempt: Attempt, server: CacheServer) -> None:
        if not connection.is_open:
            return
        context = self._context
        if not context.network.is_reachable(self._location, server):
            time_left = attempt.sent_at + context.settings.connect_timeout - context.events.now
            context.events.schedule(max(0.0, time_left), self._connect_failed, connection, attempt)
            return
        context.statistics.count(CountedEvent.HANDSHAKE)
        status = self._owner.precondition(attempt)
        if status is None:
            attempt.mark_handshake()
            self._send(attempt, connection, server)
            return
        if status is AttemptStatus.NOT_SENT:
            self._keep(connection)  # only the request has ended; the connection is usable
        else:
            self.close(connection)
        self._owner.finish(attempt, status)

    def _keep(self, connection: SimulatedConnection) -> None:
        self.idle.add(connection, self._context.events.now)
        if not connection.is_expiry_scheduled:
            self._schedule_expiry(connection, self._idle_time)

    def _schedule_expiry(self, connection: SimulatedConnection, delay: float) -> None:
        connection.mark_expiry_scheduled()
        self._context.events.schedule(delay, self._check_expiry, connection)

    def _check_expiry(self, connection: SimulatedConnection) -> None:
        connection.mark_expiry_checked()
        if not connection.is_open or not connection.is_idle:
            return
        # The connection may have been used and become idle again since the check was scheduled.
        time_left = connection.idle_since + self._idle_time - self._context.events.now
        if time_left > CLOCK_TOLERANCE:
            self._schedule_expiry(connection, time_left)
        else:
            self.close(connection)
