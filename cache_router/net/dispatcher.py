"""The dispatcher between the decision module and the sockets.

It passes commands, responses and timers to the decision module as events, executes the actions that the
decision module returns, in their order, and decides nothing itself. `request_table` holds the requests in
flight, `endpoint_table` the endpoints, and `attempt_runner` runs the attempts.
"""

from __future__ import annotations

import asyncio
import logging
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from cache_router.decisions.actions import (
    Action,
    Cancel,
    CloseIdleConnections,
    Fail,
    LogMessage,
    Reject,
    Send,
    SetTimer,
    SubscribeToEndpoints,
)
from cache_router.decisions.events import (
    AttemptCompleted,
    ClientDisconnected,
    DiscoveryAddressChanged,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    Request,
    ShutdownStarted,
    TimerFired,
)
from cache_router.decisions.router import Router
from cache_router.net.attempt_runner import AttemptRunner
from cache_router.net.clock import Clock
from cache_router.net.command import (
    CLASS_FIELD,
    COST_HINT_FIELD,
    IDEMPOTENCY_KEY_FIELD,
    Command,
    CommandError,
)
from cache_router.net.connection_pool import ConnectionPool
from cache_router.net.endpoint_table import EndpointTable, EndpointUpdateError, NetworkEndpoint
from cache_router.net.event_recovery import FAILED_REPLY, EventRecovery
from cache_router.net.load_statistics import LoadStatistics, TurnCause
from cache_router.net.request_table import RequestInFlight, RequestTable
from cache_router.net.server_start_times import ServerStartTimes
from cache_router.net.used_ids import reuse_delay
from cache_router.settings import Idempotency, RequestClass, Settings

# Seconds by which the router's deadline precedes the client's deadline. The client measures its deadline from
# the time at which it sends the request. The network takes 1.3 ms at most in each direction and this process
# 1.4 ms at the 99th percentile; the remainder covers a busy core.
DEADLINE_MARGIN = 0.02
# digits of a cost hint in microseconds; a longer number might not fit a float
MAX_COST_HINT_DIGITS = 12

# Causes of the time that an event takes; that of a request is a part of the time for its client's input.
TURN_CAUSES = {
    AttemptCompleted: TurnCause.RESPONSES,
    EndpointUpdate: TurnCause.ENDPOINT_UPDATES,
    TimerFired: TurnCause.TIMERS,
}

log = logging.getLogger(__name__)


def read_cost_hint(command: Command) -> float | None:
    """Return the client's estimate of the cost in seconds, or None if it is missing or malformed."""
    hint = command.info.get(COST_HINT_FIELD, "")
    return int(hint) / 1e6 if hint.isdigit() and len(hint) <= MAX_COST_HINT_DIGITS else None


def encode_rejection(retry_after: float) -> bytes:
    """Return the reply that a request was rejected, with its Retry-After in milliseconds unless it is 0 s."""
    retry_after_ms = math.ceil(retry_after * 1000)
    return b"-BUSY %d\r\n" % retry_after_ms if retry_after_ms else b"-BUSY\r\n"


@dataclass(slots=True, frozen=True)
class RequestDelays:
    """The delays of a request by the event loop, in seconds, which the client's deadline includes."""

    waited: float  # time since its arrival
    lag: float  # time for which its response is likely to wait


NO_DELAYS = RequestDelays(waited=0.0, lag=0.0)


class Dispatcher:
    """Accepts requests, passes events to the decision module, and executes its actions and timers.

    All methods run in the event loop's thread.

    Attributes:
        settings: The operators' settings.
        statistics: Counters of the load on the event loop.
        router: The decision module, which handles the events.
        requests: The requests in flight.
        endpoints: The endpoints that the router knows.
    """

    def __init__(
        self,
        settings: Settings,
        seed: int,
        caches: ConnectionPool,
        origins: ConnectionPool,
        subscribe: Callable[[], None],
        *,
        statistics: LoadStatistics | None = None,
    ) -> None:
        """Create a dispatcher without endpoints.

        Args:
            settings: The operators' settings.
            seed: Seed of the decision module's random numbers.
            caches: Connections to cache servers.
            origins: Connections to origins.
            subscribe: Called when the decision module requests a poll for endpoint updates.
            statistics: Counters of the load on the event loop; new ones if None.
        """
        self.settings = settings
        self.statistics = statistics or LoadStatistics()
        self._subscribe = subscribe
        self._clock = Clock()
        self.router = Router(settings, seed, self._clock.now())
        origin_kind = settings.origin_kind if settings.cache_aside else None
        self.endpoints = EndpointTable(caches, origins, origin_kind)
        self._start_times = ServerStartTimes(settings, self._clock)
        self.requests = RequestTable(self._on_deadline, self._clock, reuse_delay(settings))
        self._attempts = AttemptRunner(
            settings,
            self._clock,
            self.requests,
            self.endpoints,
            post=self.post,
            on_client_disconnected=self.on_client_disconnected,
        )
        self._events: deque[Event] = deque()
        self._is_handling = False
        self._recovery = EventRecovery(settings, self.requests, subscribe, self.post)

    def post(self, event: Event) -> None:
        """Queue an event for the decision module, and handle it unless another one is being handled."""
        self._events.append(event)
        if not self._is_handling:
            self._handle_events()

    def _handle_events(self) -> None:
        """Handle the queued events, including those that are posted during this call."""
        self._is_handling = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._is_handling = False
            # Finished requests are not released earlier: the decision module may return an attempt for a
            # request that it has just ended, and must be notified that this attempt was not sent.
            self.requests.release_finished()

    def _handle(self, event: Event) -> None:
        """Pass one event to the decision module, and execute its actions.

        An exception in either is logged once. If the decision module raises, the actions that it decided
        before are executed, and `EventRecovery` handles the event, so that no other event is affected.
        """
        started_at = self._clock.now()
        try:
            actions = self.router.handle(started_at, event)
        except Exception:
            log.exception("event %s can't be handled", type(event).__name__)
            self._execute_all(self.router.decided_actions())
            self._recovery.recover_from(event)
        else:
            self._execute_all(actions)
        cause = TURN_CAUSES.get(type(event))
        if cause is not None:
            self.statistics.add_time(cause, self._clock.now() - started_at)

    def _execute_all(self, actions: list[Action]) -> None:
        for action in actions:
            try:
                self._execute(action)
            except Exception:
                log.exception("action %s can't be carried out", type(action).__name__)

    def _execute(self, action: Action) -> None:
        match action:
            case Send():
                self._attempts.start(action)
            case Reject():
                self._reject(action)
            case Fail():
                self.requests.respond(action.request_id, FAILED_REPLY)
            case Cancel():
                self._attempts.cancel(action)
            case CloseIdleConnections():
                self.endpoints.close_idle_connections(action.server)
            case SetTimer():
                loop = asyncio.get_running_loop()
                loop.call_later(action.delay, self.post, TimerFired(action.timer))
            case SubscribeToEndpoints():
                self._subscribe()
            case LogMessage():
                log.info("%s", action.message)

    # Endpoints

    def has_ready_cache(self) -> bool:
        """Return whether any cache server may be sent new requests."""
        return self.endpoints.has_ready_cache()

    def on_discovery_address_changed(self) -> None:
        """Notify the decision module that endpoint updates come from another address from now on."""
        self.post(DiscoveryAddressChanged())

    def on_watch_failed(self, discovery_address: str) -> None:
        """Notify the decision module that the watch on the endpoint list has failed."""
        self.post(EndpointUpdate(EndpointUpdateKind.FAILED, discovery_address=discovery_address))

    def on_endpoint_update(self, kind: EndpointUpdateKind, endpoints: list[NetworkEndpoint]) -> None:
        """Apply a complete endpoint list, or the changed entries of one.

        Raises:
            EndpointUpdateError: The update was not applied; a complete list must be received.
        """
        endpoints = self._start_times.convert(kind, endpoints)
        self.endpoints.apply(kind, endpoints)
        update = EndpointUpdate(kind, tuple(e.entry for e in endpoints))
        self.post(update)
        if self._recovery.has_failed(update):
            raise EndpointUpdateError("the endpoint list can't be applied")

    # Requests

    def accept(
        self,
        command: Command,
        respond: Callable[[bytes], None],
        is_connected: Callable[[], bool],
        delays: RequestDelays = NO_DELAYS,
    ) -> None:
        """Accept a request.

        Args:
            command: The request.
            respond: Called once with the final answer, unless the client disconnects first.
            is_connected: Returns whether the client is connected according to the kernel.
            delays: What the event loop takes of the client's time.

        Raises:
            CommandError: The request can't be accepted; `respond` is then never called.
        """
        request_id = command.request_id.decode()
        request_class = self._check(command, request_id)
        time_allowed = max(0.0, command.deadline_ms / 1000 - DEADLINE_MARGIN)
        if 0 < time_allowed <= delays.waited + delays.lag or not self.requests.has_memory_for(command):
            self._reject_at_once(respond, delays)
            return
        time_left = max(0.0, time_allowed - delays.waited)
        time_left = self.requests.add(
            request_id, command, time_left, respond=respond, is_connected=is_connected
        )
        key = command.key.decode("latin-1")
        cost_hint = read_cost_hint(command)
        self.post(Request(request_id, request_class.name, time_left, key, cost_hint, command.is_write))

    def _check(self, command: Command, request_id: str) -> RequestClass:
        """Return the class of a request that may be accepted.

        Raises:
            CommandError: The request can't be accepted.
        """
        # Two requests in flight under one id would get each other's answers.
        if self.requests.is_id_used(request_id):
            raise CommandError("this request id is in use")
        request_class = self.settings.classes.get(command.info.get(CLASS_FIELD, ""))
        if request_class is None:
            raise CommandError("class is unknown")
        # Without the key a server can't distinguish a retry from a second request, and would execute both.
        if request_class.idempotency is Idempotency.WITH_KEY and not command.info.get(IDEMPOTENCY_KEY_FIELD):
            raise CommandError("k is missing")
        return request_class

    def on_client_disconnected(self, request_id: str) -> None:
        """Close a request whose client has disconnected, and notify the decision module."""
        if self.requests.close(request_id):
            self.post(ClientDisconnected(request_id))

    def start_shutdown(self, seconds: float) -> None:
        """Answer all requests within `seconds` from now, including those that are accepted later."""
        self.requests.limit_deadlines(seconds)
        self.post(ShutdownStarted(seconds))

    def _on_deadline(self, request: RequestInFlight) -> None:
        """Time out the attempts of a request; fail the request soon after if the decisions leave it open."""
        self._attempts.time_out_all(request)
        if not request.is_closed:
            self._recovery.fail_after_grace(request.request_id)

    def _reject(self, action: Reject) -> None:
        """Reply that a request was rejected."""
        self.requests.respond(action.request_id, encode_rejection(action.retry_after))

    def _reject_at_once(self, respond: Callable[[bytes], None], delays: RequestDelays) -> None:
        """Reject a request before any decision: this process has no time or memory left for it."""
        self.statistics.count_rejected_request()
        retry_after = min(self.settings.max_retry_after, delays.waited + delays.lag)
        respond(encode_rejection(retry_after))
