"""A modelled cache server: its process, its cores, what it caches and the load that it reports."""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import replace

from cache_router.decisions.events import AttemptStatus, LoadReport
from cache_router.endpoint import Endpoint
from scale_experiments.simulation.connection import SimulatedConnection
from scale_experiments.simulation.connection_accounting import ConnectionCount
from scale_experiments.simulation.context import SimulationContext
from scale_experiments.simulation.network import location_of
from scale_experiments.simulation.requests import Attempt, ClientRequest
from scale_experiments.simulation.server import SimulatedServer
from scale_experiments.simulation.slow_start import capacity_share
from scale_experiments.simulation.statistics import CountedEvent

CELL_SIZE = 8  # cache servers
SERVICE_TIME_SMOOTHING = 0.1  # weight of the last request in the reported service time


class CacheServer(SimulatedServer):
    """A cache server. It warms up for `Settings.slow_start_duration` seconds after a restart."""

    __slots__ = (
        "_context",
        "_load_report",
        "_load_reported_at",
        "_service_time",
        "arrivals",
        "cached_keys",
        "connections",
        "received",
        "received_retries",
        "refuses_connections",
        "started_at",
    )

    def __init__(self, context: SimulationContext, index: int) -> None:
        model = context.model
        location = location_of(index, model)
        endpoint = Endpoint(
            f"s-{index:08x}", kind="std-1c", zone=f"z{location.zone}", cell=index // CELL_SIZE, weight=1.0
        )
        super().__init__(endpoint, location, model.cores, model.queue_per_core * max(1, model.cores))
        self._context = context
        self.connections = ConnectionCount(context.events.now)
        # while down: a process that died refuses connections, a machine that vanished stays silent
        self.refuses_connections = False
        self.started_at = 0.0  # of the process; connections to an earlier one are reset. 0: long ago
        self.cached_keys: OrderedDict[str, None] = OrderedDict()  # least recently used first
        self.arrivals: list[float] | None = None  # times of attempts received, once they are recorded
        self.received = 0  # attempts
        self.received_retries = 0  # second and later attempts of their request
        self._service_time = 0.0  # smoothed
        self._load_report = LoadReport(0.0, 0.0)
        self._load_reported_at = -math.inf

    def reset_statistics(self) -> None:
        """Count connections and attempts received from now on."""
        self.connections.reset(self._context.events.now)
        self.received = self.received_retries = 0

    def record_arrivals(self) -> None:
        """Record the time of each attempt received from now on in `arrivals`."""
        self.arrivals = []

    # Process

    def fail(self, *, is_silent: bool) -> None:
        """Lose the process with all that it holds, or the whole machine, which then stays silent."""
        self.is_up = False
        self.refuses_connections = not is_silent
        self.queue.clear()
        self.busy_cores = 0
        self.cached_keys.clear()
        self.started_at = self._context.events.now

    def restart(self) -> None:
        """Start again, with an empty cache and the capacity of a slow start."""
        now = self._context.events.now
        self.is_up = True
        self.refuses_connections = False
        self.started_at = now
        self.endpoint = replace(self.endpoint, started_at=now)
        self._service_time = 0.0
        self._load_reported_at = -math.inf

    def has_connection_capacity(self) -> bool:
        """Whether it accepts one more connection."""
        limit = self._context.model.max_connections
        return not limit or self.connections.current < limit

    def connection_opened(self) -> None:
        """Count one connection more."""
        self.connections.add(1, self._context.events.now)

    def connection_closed(self) -> None:
        """Count one connection less."""
        self.connections.add(-1, self._context.events.now)

    # Attempts

    def receive(self, attempt: Attempt, connection: SimulatedConnection) -> None:
        """Serve, queue or reject an attempt whose request has arrived on a connection.

        A server that is out of reach stays silent: the attempt ends when its router abandons it.
        """
        context, sender = self._context, attempt.sender
        if not context.network.is_reachable(sender.location, self):
            return
        if connection.process_started_at < self.started_at:
            sender.close_connection(attempt)
            latency = context.network.one_way_latency(sender.location, self.location)
            context.events.schedule(latency, sender.finish, attempt, AttemptStatus.RESET)
            return
        self.received += 1
        self.received_retries += attempt.number > 0
        if self.arrivals is not None:
            self.arrivals.append(context.events.now)
        if self.has_free_core:
            self._serve(attempt)
        elif len(self.queue) >= self.queue_capacity:
            self._respond(attempt, AttemptStatus.REJECTED)
        else:
            self.queue.append(attempt)

    def _serve(self, attempt: Attempt) -> None:
        self.busy_cores += 1
        context, model = self._context, self._context.model
        is_hit = self._is_hit(attempt.request.client_request)
        seconds = context.random.uniform(*model.service_time) if is_hit else model.miss_service_time
        seconds += model.handshake_core_time if attempt.needs_handshake else 0.0
        if self.started_at > 0:
            seconds /= capacity_share(context.settings, context.events.now - self.started_at)
        if self._service_time:
            self._service_time += SERVICE_TIME_SMOOTHING * (seconds - self._service_time)
        else:
            self._service_time = seconds
        status = AttemptStatus.OK if is_hit else AttemptStatus.MISS
        context.events.schedule(seconds, self._complete, attempt, status, self.started_at)

    def _complete(self, attempt: Attempt, status: AttemptStatus, process_started_at: float) -> None:
        if not self.is_up or self.started_at != process_started_at:
            return
        self.busy_cores -= 1
        if self.queue:
            self._serve(self.queue.popleft())
        if status is AttemptStatus.MISS:
            self._context.statistics.count(CountedEvent.MISS)
            attempt.request.mark_missed(self.name)
        self._respond(attempt, status)

    def _respond(self, attempt: Attempt, status: AttemptStatus) -> None:
        context, sender = self._context, attempt.sender
        now = context.events.now
        if now - self._load_reported_at > context.model.load_report_interval:
            self._load_reported_at = now
            self._load_report = LoadReport(self._service_time, float(len(self.queue)))
        if attempt.is_finished or not context.network.is_reachable(sender.location, self):
            return
        latency = context.network.one_way_latency(sender.location, self.location)
        context.events.schedule(latency, sender.receive_response, attempt, status, self._load_report)

    # Cached keys

    def _is_hit(self, request: ClientRequest) -> bool:
        model = self._context.model
        if not model.cached_objects:
            return self._context.random.random() < model.hit_share
        if request.key not in self.cached_keys:
            return False
        self.cached_keys.move_to_end(request.key)
        return True

    def preload(self, key: str) -> None:
        """Cache a key as the one that was used least recently of all."""
        self.cached_keys[key] = None
        self.cached_keys.move_to_end(key, last=False)

    def store(self, key: str) -> None:
        """Cache a key that was fetched, in place of the one that was used least recently."""
        self.cached_keys[key] = None
        if len(self.cached_keys) > self._context.model.cached_objects:
            self.cached_keys.popitem(last=False)

    def invalidate(self, key: str) -> None:
        """Drop a key that was written."""
        self.cached_keys.pop(key, None)
