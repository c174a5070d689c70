"""The decisions of a router, as a state machine without I/O and without a clock.

A host passes `events` with the time to `Router.handle`, and executes the `actions` that it returns. This
module creates the parts of a router and dispatches each event to the part that handles it:

- `request_lifecycle`: requests, attempts, hedged requests, shutdown;
- `origin_scheduler`: the queue for the origin;
- `subscription`: polls of discovery;
- `idle_connection_closer`: idle connections.
"""

import random

from cache_router.decisions import events
from cache_router.decisions.action_buffer import ActionBuffer
from cache_router.decisions.actions import Action
from cache_router.decisions.admission_control import AdmissionControl
from cache_router.decisions.attempt_feedback import AttemptFeedback
from cache_router.decisions.attempt_sender import AttemptSender
from cache_router.decisions.endpoint_polling import EndpointPoller
from cache_router.decisions.endpoints import EndpointList
from cache_router.decisions.events import EndpointUpdateKind, Timer, TimerKind
from cache_router.decisions.fleet_health import FleetHealth
from cache_router.decisions.hedging import Hedging
from cache_router.decisions.idle_connection_closer import IdleConnectionCloser
from cache_router.decisions.idle_connections import IdleConnections
from cache_router.decisions.key_popularity import KeyPopularity
from cache_router.decisions.open_requests import OpenRequests
from cache_router.decisions.origin_queue import OriginQueue
from cache_router.decisions.origin_scheduler import OriginScheduler
from cache_router.decisions.outlier_detection import OutlierDetector
from cache_router.decisions.overload_backoff import OverloadBackoff
from cache_router.decisions.pending_request import Attempt, PendingRequest
from cache_router.decisions.request_lifecycle import RequestLifecycle
from cache_router.decisions.retry_policy import RetryBudget, RetryPolicy
from cache_router.decisions.server_selection import ServerSelector
from cache_router.decisions.slow_start import SlowStart
from cache_router.decisions.subscription import EndpointSubscription
from cache_router.settings import Settings

# multiple of the shortest latency objective; longer than ordinary pauses between the responses of a server,
# but short enough that the detection of a silent server is still useful
SILENCE_TIMEOUT_FACTOR = 1.0


class Router:
    """Makes the decisions of one router.

    All parts share one random number generator, so that a seed reproduces every decision.
    """

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        generator = random.Random(seed)
        shortest_objective = min(c.latency_objective for c in settings.classes.values())
        silence_timeout = SILENCE_TIMEOUT_FACTOR * shortest_objective
        self.settings = settings
        self.now = now  # time of the event handled last
        self._actions = ActionBuffer()
        # state of the servers
        self.endpoints = EndpointList(settings)
        longest_timeout = max(c.client_timeout for c in settings.classes.values())
        self.health = FleetHealth(longest_timeout)
        self.slow_start = SlowStart(settings, generator, now)
        self.outliers = OutlierDetector(settings.slow_start_duration, generator)
        self.overload = OverloadBackoff(settings, shortest_objective, generator)
        self.idle_connections = IdleConnections(settings, shortest_objective, now)
        # rules for a single request
        self.retry_policy = RetryPolicy(settings)
        self.retry_budget = RetryBudget()
        self.admission = AdmissionControl(settings, self.health, generator)
        popularity = KeyPopularity(settings.slow_start_duration, now)
        shared = self.endpoints, self.slow_start, self.health
        self.selector = ServerSelector(*shared, self.retry_policy, popularity, silence_timeout, generator)
        self.hedging = Hedging(*shared, self.retry_policy, self.retry_budget, self.selector, settings)
        self.feedback = AttemptFeedback(*shared, self.outliers, self.overload, self.idle_connections)
        # parts that add the actions for an event
        poller = EndpointPoller(settings, generator, now)
        self.subscription = EndpointSubscription(settings, poller, self._actions)
        self.idle_connection_closer = IdleConnectionCloser(
            settings, self.endpoints, self.idle_connections, self._actions
        )
        self.open_requests = OpenRequests(
            settings, self.endpoints, self.health, self.retry_policy, self._actions
        )
        self.sender = AttemptSender(self.hedging, self.slow_start, self._actions)
        self.queue = OriginQueue()
        self.origin_scheduler = self._create_origin_scheduler()
        self.requests = self._create_request_lifecycle()
        timed_parts = self.subscription, self.idle_connection_closer, self.sender, self.origin_scheduler
        self._timers = {part.timers.kind: part.timers for part in timed_parts}

    @property
    def pending(self) -> dict[str, PendingRequest]:
        """Requests without a final answer, keyed by request id."""
        return self.open_requests.by_id

    @property
    def attempts(self) -> dict[tuple[str, int], Attempt]:
        """Attempts in flight, keyed by request id and attempt number; includes those of ended requests."""
        return self.sender.in_flight

    def handle(self, now: float, event: events.Event) -> list[Action]:
        """Handle one event at `now`, in seconds on a monotonic clock, and return the actions for it."""
        self.now = now
        actions = self._actions.start_event()
        if isinstance(event, events.AttemptCompleted):
            self.requests.on_attempt_completed(event, now)
        elif isinstance(event, events.Request):
            self.requests.on_request(event, now)
        elif isinstance(event, events.TimerFired):
            self._on_timer(event.timer, now)
        elif isinstance(event, events.EndpointUpdate):
            self._on_endpoint_update(event, now)
        elif isinstance(event, events.DiscoveryAddressChanged):
            self.subscription.on_address_changed(now)
        elif isinstance(event, events.ShutdownStarted):
            self.requests.on_shutdown(event.answer_within, now)
        elif isinstance(event, events.ClientDisconnected):
            self.requests.on_client_disconnected(event.request_id)
        else:
            self.requests.on_response_started(event.request_id)
        return actions

    def decided_actions(self) -> list[Action]:
        """Return the actions for the last event, also those decided before an exception ended its handling.

        The host executes them even then, because the router's state already includes them: an attempt that
        counts as in flight must be sent.
        """
        return self._actions.decided()

    def _on_timer(self, timer: Timer, now: float) -> None:
        if not self._timers[timer.kind].take(timer):
            return
        if timer.kind is TimerKind.ENDPOINT_POLL:
            self.subscription.on_poll_timer()
        elif timer.kind is TimerKind.IDLE_CONNECTIONS:
            self.idle_connection_closer.on_timer(timer.target, now)
        elif timer.kind is TimerKind.HEDGE:
            self.requests.on_hedge_timer(timer.target, now)
        else:
            self.origin_scheduler.on_deadline_timer(timer.target, now)

    def _on_endpoint_update(self, update: events.EndpointUpdate, now: float) -> None:
        """Apply an update to the endpoint list, then notify the parts that depend on the list."""
        if update.kind is EndpointUpdateKind.FAILED:
            self.subscription.on_failure(update.discovery_address, now)
            return
        if self.endpoints.apply(update):
            self._on_endpoints_changed(now)
        # The subscription comes last: a poll whose update cannot be applied must not count as a success.
        self.subscription.on_update(update.kind is EndpointUpdateKind.CACHED, now)

    def _on_endpoints_changed(self, now: float) -> None:
        caches = self.endpoints.caches
        self.slow_start.on_endpoint_update(caches, self.endpoints.total_size)
        self.outliers.on_endpoint_update(server.failures for server in caches)
        self.requests.on_endpoint_update(now)

    def _create_origin_scheduler(self) -> OriginScheduler:
        return OriginScheduler(
            settings=self.settings,
            endpoints=self.endpoints,
            queue=self.queue,
            retry_policy=self.retry_policy,
            open_requests=self.open_requests,
            sender=self.sender,
            actions=self._actions,
        )

    def _create_request_lifecycle(self) -> RequestLifecycle:
        return RequestLifecycle(
            settings=self.settings,
            endpoints=self.endpoints,
            health=self.health,
            retry_policy=self.retry_policy,
            retry_budget=self.retry_budget,
            selector=self.selector,
            admission=self.admission,
            feedback=self.feedback,
            idle_connections=self.idle_connections,
            idle_connection_closer=self.idle_connection_closer,
            open_requests=self.open_requests,
            sender=self.sender,
            origin_scheduler=self.origin_scheduler,
        )
