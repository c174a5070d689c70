"""Attempts of one router: the checks before an attempt is sent, its connection and its end."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from cache_router.decisions.events import AttemptStatus, LoadReport
from cache_router.endpoint import Endpoint
from scale_experiments.simulation.cache_server import CacheServer
from scale_experiments.simulation.connection_pool import SimulatedConnectionPool
from scale_experiments.simulation.context import SimulationContext
from scale_experiments.simulation.network import Location
from scale_experiments.simulation.origin import Origin
from scale_experiments.simulation.requests import Attempt, PendingRequest
from scale_experiments.simulation.statistics import CountedEvent

OnFinished = Callable[[Attempt, AttemptStatus, LoadReport | None], None]


class AttemptRunner:
    """Runs attempts at cache servers and at the origin, and calls `on_finished` once for each.

    `endpoints` maps names to the endpoints of the router's list. The router updates this mapping in place.
    """

    __slots__ = (
        "_caches",
        "_context",
        "_endpoints",
        "_on_finished",
        "_origin",
        "_servers_used",
        "location",
        "pool",
    )

    def __init__(
        self,
        context: SimulationContext,
        location: Location,
        endpoints: Mapping[str, Endpoint],
        caches: Mapping[str, CacheServer],
        origin: Origin,
        *,
        on_finished: OnFinished,
    ) -> None:
        self._context = context
        self._endpoints = endpoints
        self._caches = caches
        self._origin = origin
        self._on_finished = on_finished
        self.location = location
        self.pool = SimulatedConnectionPool(context, location, self)
        self._servers_used: set[str] = set()  # names; cleared by clear_servers_used()

    @property
    def servers_used_count(self) -> int:
        """Number of distinct cache servers to which attempts were started since `clear_servers_used`."""
        return len(self._servers_used)

    def clear_servers_used(self) -> None:
        """Restart the count of cache servers used."""
        self._servers_used.clear()

    def start(self, request: PendingRequest, server_name: str) -> None:
        """Start the next attempt of a request; it goes to the origin if no cache server has this name."""
        cache = self._caches.get(server_name)
        server = self._origin if cache is None else cache
        attempt = request.start_attempt(server.name, self._context.events.now)
        status = self.precondition(attempt)
        if attempt.number >= self._context.settings.max_attempts:
            status = AttemptStatus.NOT_SENT
        if status is not None:
            self.finish(attempt, status)
        elif cache is None:
            self._origin.start(attempt)
        else:
            self._servers_used.add(server_name)
            self._context.statistics.count(CountedEvent.ATTEMPT)
            self.pool.start(attempt, cache, self._endpoints[server_name].started_at)

    def precondition(self, attempt: Attempt) -> AttemptStatus | None:
        """Return the status of an attempt that may no longer be sent, or None if it may be sent."""
        if attempt.request.is_answered or attempt.request.is_overdue:
            return AttemptStatus.NOT_SENT
        endpoint = self._endpoints.get(attempt.server_name)
        return None if endpoint is not None and endpoint.is_ready else AttemptStatus.CONNECT_FAILED

    def abandon(self, attempt: Attempt, status: AttemptStatus) -> None:
        """Finish an attempt in flight without waiting for its response, and close its connection."""
        self.close_connection(attempt)
        if status is AttemptStatus.TIMEOUT:
            self._context.statistics.count(CountedEvent.TIMEOUT)
        self.finish(attempt, status)

    def drop(self, attempt: Attempt) -> None:
        """Discard an attempt in flight when the router stops: close its connection and report no result."""
        attempt.mark_finished()
        self.close_connection(attempt)

    def close_connection(self, attempt: Attempt) -> None:
        """Close the connection that an attempt was sent on, if there is one."""
        if attempt.connection is not None:
            self.pool.close(attempt.connection)

    def receive_response(self, attempt: Attempt, status: AttemptStatus, load_report: LoadReport) -> None:
        """Receive the response to an attempt from a cache server."""
        self.pool.receive_response(attempt, status, load_report)

    def finish(self, attempt: Attempt, status: AttemptStatus, load_report: LoadReport | None = None) -> None:
        """Finish an attempt and report its result, unless it is finished already."""
        if attempt.is_finished:
            return
        attempt.mark_finished()
        self._on_finished(attempt, status, load_report)
