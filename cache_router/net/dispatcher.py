"""Connects the decision module to the sockets.

Turns what happens on sockets into events, carries out the actions that the decision module answers in their
order, and decides nothing. `request_table` keeps the requests in flight, `endpoint_table` the endpoints, and
`attempt_runner` runs the attempts.
"""

from __future__ import annotations

import asyncio
import logging
import math
from collections import deque
from collections.abc import Callable

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
from cache_router.net.endpoint_table import EndpointTable, NetworkEndpoint
from cache_router.net.request_table import RequestInFlight, RequestTable
from cache_router.settings import Idempotency, Settings

# Seconds before the client's deadline, which counts from its send. Measured: the way takes 1.3 ms at most in
# each direction and this process 1.4 ms at the 99th percentile; the rest is for a core that others keep busy.
DEADLINE_MARGIN = 0.02
MAX_COST_HINT_DIGITS = 12  # of microseconds; longer numbers might not fit a float
log = logging.getLogger(__name__)


class Dispatcher:
    """One router: its events and actions, its timers, and the requests that it accepts.

    Times are seconds on `clock`; all methods run in the event loop's thread.
    """

    def __init__(
        self,
        settings: Settings,
        seed: int,
        caches: ConnectionPool,
        origins: ConnectionPool,
        subscribe: Callable[[], None],
    ) -> None:
        """`subscribe` is called when the decision module asks for endpoint updates."""
        self.settings = settings
        self.subscribe = subscribe
        self.clock = Clock()
        self.router = Router(settings, seed, self.clock.now())
        origin_kind = settings.origin_kind if settings.cache_aside else None
        self.endpoints = EndpointTable(caches, origins, origin_kind)
        self.requests = RequestTable(self._on_deadline, self.clock)
        self.attempts = AttemptRunner(
            settings,
            self.clock,
            self.requests,
            self.endpoints,
            post=self.post,
            on_client_disconnected=self.on_client_disconnected,
        )
        self.events: deque[Event] = deque()
        self.handling = False

    def post(self, event: Event) -> None:
        """Hand an event to the decision module, after the events whose actions are being carried out."""
        self.events.append(event)
        if self.handling:
            return
        self.handling = True
        try:
            while self.events:
                for action in self.router.handle(self.clock.now(), self.events.popleft()):
                    self._execute(action)
        finally:
            self.handling = False
            # Not earlier: the decision module may still send for a request that it has just ended, and must
            # be notified that this attempt was not sent.
            self.requests.release_finished()

    def _execute(self, action: Action) -> None:
        match action:
            case Send():
                self.attempts.start(action)
            case Reject():
                self._reject(action)
            case Fail():
                self.requests.respond(action.request_id, b"-ERR failed\r\n")
            case Cancel():
                self.attempts.cancel(action)
            case CloseIdleConnections():
                self.endpoints.close_idle_connections(action.server)
            case SetTimer():
                loop = asyncio.get_running_loop()
                loop.call_later(action.delay, self.post, TimerFired(action.timer))
            case SubscribeToEndpoints():
                self.subscribe()
            case LogMessage():
                log.info("%s", action.message)

    # Endpoints

    def has_ready_cache(self) -> bool:
        """Whether any cache server may be sent new requests."""
        return self.endpoints.has_ready_cache()

    def on_discovery_address_changed(self) -> None:
        """Endpoint updates come from another discovery from now on."""
        self.post(DiscoveryAddressChanged())

    def on_watch_failed(self) -> None:
        """The watch on the endpoint list has ended with a failure."""
        self.post(EndpointUpdate(EndpointUpdateKind.FAILED))

    def on_endpoint_update(self, kind: EndpointUpdateKind, endpoints: list[NetworkEndpoint]) -> None:
        """Take over a complete endpoint list, or the changed entries of one."""
        self.endpoints.apply(kind, endpoints)
        self.post(EndpointUpdate(kind, tuple(e.entry for e in endpoints)))

    # Requests

    def accept(
        self, command: Command, respond: Callable[[bytes], None], is_connected: Callable[[], bool]
    ) -> None:
        """Accept a request; `respond` takes its one final answer, unless its client disconnects first.

        Raises `CommandError` when the request can't be accepted; `respond` is then never called.
        """
        request_id = command.request_id.decode()
        # two requests in flight under one id would get each other's answers
        if self.requests.is_id_used(request_id):
            raise CommandError("this request id is in use")
        request_class = self.settings.classes.get(command.info.get(CLASS_FIELD, ""))
        if request_class is None:
            raise CommandError("class is unknown")
        # without its key no server could tell a retry from a second request, and would carry out both
        if request_class.idempotency is Idempotency.WITH_KEY and not command.info.get(IDEMPOTENCY_KEY_FIELD):
            raise CommandError("k is missing")
        time_left = max(0.0, command.deadline_ms / 1000 - DEADLINE_MARGIN)
        time_left = self.requests.add(
            request_id, command, time_left, respond=respond, is_connected=is_connected
        )
        hint = command.info.get(COST_HINT_FIELD, "")
        cost_hint = int(hint) / 1e6 if hint.isdigit() and len(hint) <= MAX_COST_HINT_DIGITS else None
        key = command.key.decode("latin-1")
        self.post(Request(request_id, request_class.name, time_left, key, cost_hint, command.is_write))

    def on_client_disconnected(self, request_id: str) -> None:
        """The client of a request has closed its connection."""
        if self.requests.close(request_id):
            self.post(ClientDisconnected(request_id))

    def start_shutdown(self, seconds: float) -> None:
        """Answer every request, also those still to be accepted, within so many seconds from now."""
        self.requests.limit_deadlines(seconds)
        self.post(ShutdownStarted(seconds))

    def _on_deadline(self, request: RequestInFlight) -> None:
        self.attempts.time_out_all(request)

    def _reject(self, action: Reject) -> None:
        """Answer that a request was not carried out, with the milliseconds until a retry makes sense."""
        retry_after_ms = math.ceil(action.retry_after * 1000)
        answer = b"-BUSY %d\r\n" % retry_after_ms if retry_after_ms else b"-BUSY\r\n"
        self.requests.respond(action.request_id, answer)
