"""Model of a cache server: its process, its connections and the attempts that it serves."""

from __future__ import annotations

from dataclasses import replace

from cache_router.decisions.events import AttemptStatus
from cache_router.endpoint import Endpoint
from scale_experiments.simulation.connection import SimulatedConnection
from scale_experiments.simulation.connection_accounting import ConnectionCount
from scale_experiments.simulation.context import SimulationContext
from scale_experiments.simulation.key_cache import KeyCache
from scale_experiments.simulation.load_reporting import LoadReporter
from scale_experiments.simulation.network import location_of
from scale_experiments.simulation.requests import Attempt
from scale_experiments.simulation.server import SimulatedServer
from scale_experiments.simulation.slow_start import capacity_share
from scale_experiments.simulation.statistics import CountedEvent

CELL_SIZE = 8  # cache servers in a cell


class CacheServer(SimulatedServer):
    """A cache server whose capacity is reduced for `Settings.slow_start_duration` seconds after a restart."""

    __slots__ = (
        "_load_reporter",
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
        queue_capacity = model.queue_per_core * max(1, model.cores)
        super().__init__(context, endpoint, location, cores=model.cores, queue_capacity=queue_capacity)
        self.connections = ConnectionCount(context.events.now)
        # Applies while the server is down. If only the process has failed, its machine refuses connections;
        # if the machine has failed, connecting to it times out.
        self.refuses_connections = False
        # Start time of the process, or failure time if it has failed; 0 means long ago. Connections to an
        # earlier process are reset.
        self.started_at = 0.0
        self.cached_keys = KeyCache(model.cached_objects)
        self.arrivals: list[float] | None = None  # arrival times of attempts; None until record_arrivals()
        self.received = 0  # attempts received
        self.received_retries = 0  # attempts received that were not the first of their request
        self._load_reporter = LoadReporter(model.load_report_interval)

    def reset_statistics(self) -> None:
        """Restart the statistics of connections and received attempts."""
        self.connections.reset(self._context.events.now)
        self.received = self.received_retries = 0

    def record_arrivals(self) -> None:
        """Start to record the arrival time of each attempt in `arrivals`."""
        self.arrivals = []

    # Process

    def fail(self, *, is_silent: bool) -> None:
        """Fail the process and discard its attempts and cached keys; if silent, fail the whole machine."""
        self.is_up = False
        self.refuses_connections = not is_silent
        self._discard_attempts()
        self.cached_keys.clear()
        self.started_at = self._context.events.now

    def restart(self) -> None:
        """Start a new process, with an empty cache and the reduced capacity of slow start."""
        now = self._context.events.now
        self.is_up = True
        self.refuses_connections = False
        self.started_at = now
        self.endpoint = replace(self.endpoint, started_at=now)
        self._load_reporter.restart()

    def has_connection_capacity(self) -> bool:
        """Return whether the server accepts one more connection."""
        limit = self._context.model.max_connections
        return not limit or self.connections.current < limit

    def connection_opened(self) -> None:
        """Count a connection that was opened."""
        self.connections.add(1, self._context.events.now)

    def connection_closed(self) -> None:
        """Count a connection that was closed."""
        self.connections.add(-1, self._context.events.now)

    # Attempts

    def receive(self, attempt: Attempt, connection: SimulatedConnection) -> None:
        """Serve, queue or reject an attempt that arrives on a connection.

        A server that is unreachable does not respond: its router abandons the attempt later.
        """
        if not self._is_reachable_from(attempt):
            return
        if connection.process_started_at < self.started_at:
            self._reset(attempt)
            return
        self.received += 1
        self.received_retries += attempt.number > 0
        if self.arrivals is not None:
            self.arrivals.append(self._context.events.now)
        if not self._serve_or_queue(attempt):
            self._respond(attempt, AttemptStatus.REJECTED)

    def _reset(self, attempt: Attempt) -> None:
        attempt.sender.close_connection(attempt)
        latency = self._one_way_latency(attempt)
        self._context.events.schedule(latency, attempt.sender.finish, attempt, AttemptStatus.RESET)

    def _serve(self, attempt: Attempt) -> None:
        is_hit = self._is_hit(attempt)
        seconds = self._service_seconds(attempt, is_hit=is_hit)
        self._load_reporter.add_service_time(seconds)
        status = AttemptStatus.OK if is_hit else AttemptStatus.MISS
        self._context.events.schedule(seconds, self._complete, attempt, status, self.started_at)

    def _is_hit(self, attempt: Attempt) -> bool:
        model = self._context.model
        if not model.cached_objects:
            return self._context.random.random() < model.hit_share
        return self.cached_keys.read(attempt.request.client_request.key)

    def _service_seconds(self, attempt: Attempt, *, is_hit: bool) -> float:
        context, model = self._context, self._context.model
        seconds = context.random.uniform(*model.service_time) if is_hit else model.miss_service_time
        if attempt.needs_handshake:
            seconds += model.handshake_core_time
        if self.started_at > 0:
            seconds /= capacity_share(context.settings, context.events.now - self.started_at)
        return seconds

    def _complete(self, attempt: Attempt, status: AttemptStatus, process_started_at: float) -> None:
        if not self.is_up or self.started_at != process_started_at:
            return  # the process that served the attempt has failed
        self._release_core()
        if status is AttemptStatus.MISS:
            self._context.statistics.count(CountedEvent.MISS)
            attempt.request.mark_missed(self.name)
        self._respond(attempt, status)

    def _respond(self, attempt: Attempt, status: AttemptStatus) -> None:
        events = self._context.events
        # The report is renewed even if the response is lost, since the server cannot detect that.
        load_report = self._load_reporter.report(events.now, len(self._queue))
        if attempt.is_finished or not self._is_reachable_from(attempt):
            return
        latency = self._one_way_latency(attempt)
        events.schedule(latency, attempt.sender.receive_response, attempt, status, load_report)
