"""Every decision of a router, as a state machine without I/O and without a clock.

A host hands `events` to `Router.handle` with the time, and carries out the `actions` that it answers with.
This module dispatches events and owns the life of a request; other decisions have modules of their own.
"""

import random

from cache_router.decisions import actions, events
from cache_router.decisions.actions import Action
from cache_router.decisions.admission_control import AdmissionControl
from cache_router.decisions.attempt_feedback import AttemptFeedback
from cache_router.decisions.endpoint_polling import EndpointPoller
from cache_router.decisions.endpoints import EndpointList
from cache_router.decisions.events import AttemptCompleted, AttemptStatus, Request, Timer, TimerKind
from cache_router.decisions.fleet_health import FleetHealth
from cache_router.decisions.hedging import Hedging
from cache_router.decisions.idle_connections import IdleConnections
from cache_router.decisions.key_popularity import KeyPopularity
from cache_router.decisions.origin_queue import OriginQueue, latest_start
from cache_router.decisions.outlier_detection import OutlierDetector
from cache_router.decisions.overload_backoff import OverloadBackoff
from cache_router.decisions.pending_request import Attempt, PendingRequest
from cache_router.decisions.retry_policy import RetryBudget, RetryPolicy
from cache_router.decisions.server import Server
from cache_router.decisions.server_selection import ServerSelector
from cache_router.decisions.slow_start import SlowStart
from cache_router.settings import Idempotency, RequestClass, Settings

CACHE_LATENCY_TARGET = 0.25  # of the latency objective; slower on average: too many attempts are in flight
ORIGIN_LATENCY_TARGET = 0.5  # the same for the origin, which is slow by nature
SILENCE_TIMEOUT = 1.0  # shortest latency objectives; longer than ordinary pauses, soon enough to matter


class Router:
    """The decisions of one router; its parts share a generator, so that a seed reproduces every decision.

    Over 200 lines, as the life of a request is easier to follow in one class than in several that call back.
    """

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        generator = random.Random(seed)
        shortest_objective = min(c.latency_objective for c in settings.classes.values())
        self.settings = settings
        self.now = now
        self.pending: dict[str, PendingRequest] = {}
        self.attempts: dict[tuple[str, int], Attempt] = {}  # in flight, also those of ended requests
        self._actions: list[Action] = []
        self.endpoints = EndpointList(settings)
        self.poller = EndpointPoller(settings, generator, now)
        self.queue = OriginQueue()
        self.health = FleetHealth()
        self.retry_policy = RetryPolicy(settings)
        self.retry_budget = RetryBudget()
        self.slow_start = SlowStart(settings, generator, now)
        self.outliers = OutlierDetector(settings.slow_start_duration, generator)
        self.overload = OverloadBackoff(settings, shortest_objective, generator)
        self.idle_connections = IdleConnections(settings, shortest_objective, now)
        self.admission = AdmissionControl(settings, self.health, generator)
        popularity = KeyPopularity(settings.slow_start_duration, now)
        silence_timeout = SILENCE_TIMEOUT * shortest_objective
        shared = self.endpoints, self.slow_start, self.health
        self.selector = ServerSelector(*shared, self.retry_policy, popularity, silence_timeout, generator)
        self.hedging = Hedging(*shared, self.retry_policy, self.retry_budget, self.selector, settings)
        self.feedback = AttemptFeedback(*shared, self.outliers, self.overload, self.idle_connections)

    def handle(self, now: float, event: events.Event) -> list[Action]:
        """Take one event at `now`, in seconds on a clock that never falls; the actions that it calls for."""
        self.now = now
        self._actions = []
        if isinstance(event, AttemptCompleted):
            self._on_attempt_completed(event)
        elif isinstance(event, Request):
            self._on_request(event)
        elif isinstance(event, events.TimerFired):
            self._on_timer(event.timer)
        elif isinstance(event, events.EndpointUpdate):
            self._on_endpoint_update(event)
        elif isinstance(event, events.DiscoveryAddressChanged):
            self.poller.on_address_changed(now)
            self._subscribe()
        elif isinstance(event, events.ShutdownStarted):
            self._on_shutdown(event)
        elif event.request_id in self.pending:
            pending = self.pending[event.request_id]
            if isinstance(event, events.ClientDisconnected):
                self._forget(pending)
            else:
                pending.response_started = True
        return self._actions

    # Endpoints

    def _on_endpoint_update(self, update: events.EndpointUpdate) -> None:
        if update.kind is events.EndpointUpdateKind.FAILED:
            self._poll_later()
            return
        is_cached = update.kind is events.EndpointUpdateKind.CACHED
        self.poller.on_update(is_cached, self.now)
        if is_cached:
            self._subscribe()
        if not self.endpoints.apply(update):
            return
        caches = self.endpoints.caches
        self.slow_start.on_endpoint_update(caches, self.endpoints.total_size)
        self.outliers.on_endpoint_update(server.failures for server in caches)
        for pending in self.queue.pop_all():
            if pending.is_queued:
                pending.is_queued = False
                self._advance(pending)

    def _poll_later(self) -> None:
        backoff = self.poller.on_failure(self.now)
        self._actions.append(actions.SetTimer(backoff, Timer(TimerKind.ENDPOINT_POLL)))
        message = f"discovery out of reach, {self.poller.failures} in a row"
        self._actions.append(actions.LogMessage(message))

    def _subscribe(self) -> None:
        if self.settings.must_subscribe:
            self._actions.append(actions.SubscribeToEndpoints())

    # The life of a request

    def _on_request(self, request: Request) -> None:
        request_class = self.settings.classes.get(request.request_class)
        if request_class is None:
            request_class = RequestClass(request.request_class, 0.0, Idempotency.NOT_IDEMPOTENT)
        time_left = request.time_left - self.settings.clock_resolution
        deadline = self.now + min(time_left, request_class.latency_objective)
        to_origin = self.settings.cache_aside and request.is_write
        pending = PendingRequest(request, request_class, deadline, to_origin)
        self.pending[request.request_id] = pending
        self.idle_connections.on_request()
        self.retry_budget.on_request()
        self._advance(pending)

    def _advance(self, pending: PendingRequest) -> None:
        """Send the next attempt, queue the request for one, or end it."""
        to_cache = self.endpoints.ring.size and not pending.to_origin
        origin = None if to_cache else self.endpoints.least_loaded_origin()
        server = self.selector.choose(pending, self.now) if to_cache else origin
        if self.now >= pending.deadline or (pending.attempts and not self._may_retry(pending, server)):
            self._end(pending)
        elif not to_cache:
            self._enqueue(pending)
        elif server is None or self.admission.must_shed(server, pending.deadline - self.now):
            self._end(pending)
        else:
            self._send(pending, server)

    def _may_retry(self, pending: PendingRequest, server: Server | None) -> bool:
        return server is not None and self.retry_policy.permits_attempt(pending, server, self.now)

    def _send(self, pending: PendingRequest, server: Server) -> None:
        request_id = pending.request.request_id
        target = CACHE_LATENCY_TARGET if server.is_cache else ORIGIN_LATENCY_TARGET
        attempt = Attempt(server, target * pending.request_class.latency_objective, self.now)
        self.attempts[request_id, len(pending.attempts)] = attempt
        pending.attempts.append(attempt)
        server.concurrency.on_attempt_sent(self.now)
        self.slow_start.on_attempt_sent(server, self.now)
        self._actions.append(actions.Send(request_id, server.endpoint.name))
        hedge_delay = self.hedging.delay(pending, server, self.now)
        if hedge_delay is not None:
            self._actions.append(actions.SetTimer(hedge_delay, Timer(TimerKind.HEDGE, request_id)))

    def _end(self, pending: PendingRequest) -> None:
        """Give the final answer: a rejection where the class permits one, else a failure."""
        if pending.response_started or pending.has_open_attempts():
            return
        request_id = pending.request.request_id
        if self.retry_policy.permits_rejection(pending):
            self._actions.append(actions.Reject(request_id, self._retry_after(pending)))
        else:
            self._actions.append(actions.Fail(request_id))
        self._forget(pending)

    def _retry_after(self, pending: PendingRequest) -> float:
        """Seconds until what stood in the way is over; a retry before that would meet it again."""
        origin = self.endpoints.least_loaded_origin() if pending.to_origin else None
        latency = origin.concurrency.latency if origin is not None else self.health.queueing_latency
        return min(self.settings.max_retry_after, latency)

    def _forget(self, pending: PendingRequest) -> None:
        request_id = pending.request.request_id
        pending.is_queued = False
        del self.pending[request_id]
        if not self.settings.cancellation_allowed:
            return
        for number, attempt in enumerate(pending.attempts):
            if attempt.is_open:
                self._actions.append(actions.Cancel(request_id, number))

    def _on_shutdown(self, event: events.ShutdownStarted) -> None:
        deadline = self.now + event.answer_within - self.settings.clock_resolution
        for pending in self.pending.values():
            pending.deadline = min(pending.deadline, deadline)
            if pending.is_queued:
                self._set_queue_timer(pending)

    # Attempts

    def _on_attempt_completed(self, event: AttemptCompleted) -> None:
        attempt = self.attempts.pop((event.request_id, event.attempt_number), None)
        if attempt is None:
            return
        attempt.is_open = False
        attempt.may_have_executed = event.status not in events.NOT_EXECUTED
        self.feedback.on_attempt_completed(attempt, event, self.now)
        self._close_idle_connections(attempt.server)
        pending = self.pending.get(event.request_id)
        if pending is not None:
            self._on_request_progress(pending, event)
        if not attempt.server.is_cache:
            self._serve_queue()

    def _on_request_progress(self, pending: PendingRequest, event: AttemptCompleted) -> None:
        if event.request_closed or event.status is AttemptStatus.OK:
            self._forget(pending)
        elif not pending.is_queued and (
            event.status is AttemptStatus.MISS or not pending.has_open_attempts()
        ):
            self._on_failed_attempt(pending, event.status)

    def _on_failed_attempt(self, pending: PendingRequest, status: AttemptStatus) -> None:
        """Go to the origin after a miss; after anything else retry while the budget lasts."""
        if status is AttemptStatus.MISS and self.settings.cache_aside:
            pending.to_origin = True
        elif status is AttemptStatus.ERROR and not self.settings.cache_aside:
            # the caches fetch by themselves: with a failing origin each retry would be another fetch
            pending.deadline = self.now
        elif not pending.to_origin and not self.retry_budget.take(status, self.health.success_rate):
            pending.deadline = self.now
        self._advance(pending)

    # Timers

    def _on_timer(self, timer: Timer) -> None:
        if timer.kind is TimerKind.ENDPOINT_POLL:
            self._actions.append(actions.SubscribeToEndpoints())
        elif timer.kind is TimerKind.IDLE_CONNECTIONS:
            server = self.endpoints.servers.get(timer.subject)
            if server is not None:
                self._close_idle_connections(server)
        elif (pending := self.pending.get(timer.subject)) is None:
            return
        elif timer.kind is TimerKind.HEDGE:
            self._send_hedge(pending)
        elif pending.is_queued:
            self._on_queue_timer(pending)

    def _send_hedge(self, pending: PendingRequest) -> None:
        server = self.hedging.choose_server(pending, self.now)
        if server is not None:
            self._send(pending, server)

    def _close_idle_connections(self, server: Server) -> None:
        cache_count = len(self.endpoints.caches)
        time_left = self.idle_connections.time_left(server.concurrency, cache_count, self.now)
        if time_left is None:
            return
        name = server.endpoint.name
        if time_left < self.settings.clock_resolution:
            self._actions.append(actions.CloseIdleConnections(name))
        elif time_left < self.settings.connection_idle_timeout:
            self._actions.append(actions.SetTimer(time_left, Timer(TimerKind.IDLE_CONNECTIONS, name)))

    # The queue for the origin

    def _enqueue(self, pending: PendingRequest) -> None:
        pending.is_queued = True
        self._set_queue_timer(pending)
        self.queue.push(pending)
        self._serve_queue()

    def _set_queue_timer(self, pending: PendingRequest) -> None:
        """A timer, so that a queued request is answered in time whatever happens."""
        latest = latest_start(pending, self.endpoints.least_loaded_origin())
        timer = Timer(TimerKind.QUEUE_DEADLINE, pending.request.request_id)
        self._actions.append(actions.SetTimer(max(0.0, latest - self.now), timer))

    def _on_queue_timer(self, pending: PendingRequest) -> None:
        latest = latest_start(pending, self.endpoints.least_loaded_origin())
        # half a step of the clock is allowed: rounding may fire a timer a little early
        if self.now >= latest - self.settings.clock_resolution / 2:
            self._end(pending)
        else:
            self._set_queue_timer(pending)

    def _serve_queue(self) -> None:
        """Send queued requests while the origin has capacity, and end those that are too late."""
        if not self.queue:
            return
        while (origin := self.endpoints.least_loaded_origin()) is not None:
            if not origin.concurrency.has_capacity():
                break
            pending = self.queue.pop()
            if pending is None:
                break
            if self._is_in_time(pending, origin) and self._may_retry(pending, origin):
                self._send(pending, origin)
            else:
                self._end(pending)
        for pending in self.queue.overdue(self.endpoints.least_loaded_origin(), self.now):
            self._end(pending)
        self.queue.drop_ended()

    def _is_in_time(self, pending: PendingRequest, origin: Server) -> bool:
        """Whether an answer can be back in time; an idle origin gets one request anyway, to learn by."""
        if origin.concurrency.in_flight:
            return self.now < latest_start(pending, origin)
        return self.now < pending.deadline
