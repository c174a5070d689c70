"""Hosts the decision module: its clock and timers, and the table of requests and attempts.

Turns what happens on sockets into events, carries out the actions in order, and decides nothing.
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
    AttemptCompleted,
    AttemptStatus,
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
from cache_router.endpoint import EndpointState
from cache_router.net.clock import Clock
from cache_router.net.command import Command, CommandError
from cache_router.net.connection_pool import ConnectionPool
from cache_router.net.endpoint_table import NetworkEndpoint
from cache_router.net.load_report import parse_load_report
from cache_router.net.request_table import RequestAttempt, RequestInFlight
from cache_router.settings import Idempotency, Settings

# before the client's deadline, which counts from its send: measured, the way takes 1.3 ms at most in each
# direction and this process 1.4 ms at the 99th percentile; the rest is for a core that others keep busy
DEADLINE_MARGIN = 0.02
ID_REUSE_DELAY = 2.0  # seconds at least for which the id of an ended request is not accepted again
MAX_COST_HINT_DIGITS = 12
log = logging.getLogger(__name__)


class Dispatcher:
    """One router and what it has going on."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        servers: ConnectionPool,
        origin: ConnectionPool,
        subscribe: Callable[[], None],
    ) -> None:
        self.settings = settings
        self.servers = servers
        self.origin = origin
        self.subscribe = subscribe
        self.clock = Clock()
        self.router = Router(settings, seed, self.clock.now())
        self.endpoints: dict[str, NetworkEndpoint] = {}
        self.requests: dict[str, RequestInFlight] = {}
        self.recently_used_ids: set[str] = set()  # ids of ended requests
        self.previously_used_ids: set[str] = set()
        self.ids_rotated_at = self.clock.now()
        self.release_candidates: list[str] = []  # names of requests that may be forgotten
        self.events: deque[Event] = deque()
        self.handling = False
        self.shutdown_deadline = math.inf  # by then nothing may be owed

    def post(self, event: Event) -> None:
        """Hand an event to the module; one that comes while actions are carried out waits its turn."""
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
            # not before: the module may still send for a request that it has just ended, which is moot
            for name in self.release_candidates:
                self._release(name)
            self.release_candidates.clear()

    def _execute(self, action: Action) -> None:
        match action:
            case Send():
                self._start_attempt(action)
            case Reject():
                self._reject(action)
            case Fail():
                self._respond(action.request_id, b"-ERR failed\r\n")
            case Cancel():
                self._cancel_attempt(action)
            case CloseIdleConnections():
                if (endpoint := self.endpoints.get(action.server)) is not None:
                    self._pool_of(endpoint).close_idle(endpoint.address)
            case SetTimer():
                loop = asyncio.get_running_loop()
                loop.call_later(action.delay, self.post, TimerFired(action.token))
            case SubscribeToEndpoints():
                self.subscribe()
            case LogMessage():
                log.info("%s", action.message)

    # The list

    def has_ready_cache(self) -> bool:
        """Whether any cache server may be sent to."""
        return any(e.entry.is_ready and not self._is_origin(e) for e in self.endpoints.values())

    def on_discovery_address_changed(self) -> None:
        """The list is told elsewhere from now on."""
        self.post(DiscoveryAddressChanged())

    def on_watch_failed(self) -> None:
        self.post(EndpointUpdate(EndpointUpdateKind.FAILED))

    def on_endpoint_update(self, kind: EndpointUpdateKind, endpoints: list[NetworkEndpoint]) -> None:
        """Take a list or its changes."""
        updated = {e.entry.name: None if e.entry.state is EndpointState.REMOVED else e for e in endpoints}
        unlisted = () if kind is EndpointUpdateKind.DELTA else tuple(self.endpoints)
        for name in dict.fromkeys((*unlisted, *updated)):
            old, new = self.endpoints.pop(name, None), updated.get(name)
            if new is not None:
                self.endpoints[name] = new
            # guards the descriptors, and the next process at an address: nothing more is sent to one that
            # ends, and a machine that vanished never closes what was kept to it
            if old is not None and (
                new is None or not new.entry.is_ready or new.incarnation != old.incarnation
            ):
                self._pool_of(old).close_idle(old.address)
        self.post(EndpointUpdate(kind, tuple(e.entry for e in endpoints)))

    def _is_origin(self, endpoint: NetworkEndpoint) -> bool:
        return self.settings.cache_aside and endpoint.entry.kind == self.settings.origin_kind

    def _pool_of(self, endpoint: NetworkEndpoint) -> ConnectionPool:
        return self.origin if self._is_origin(endpoint) else self.servers

    # Requests

    def accept(
        self, command: Command, respond: Callable[[bytes], None], is_connected: Callable[[], bool]
    ) -> None:
        """Take a request that is owed one `answer`, or say why it can't be accepted."""
        name = command.request.decode()
        # guards the table: two requests under one id would get each other's answers; and a client against
        # another that repeats its id, just ended, to be served with what was its own
        if name in self.requests or name in self.recently_used_ids or name in self.previously_used_ids:
            raise CommandError("this request id is in use")
        request_class = self.settings.classes.get(command.info.get("c", ""))
        if request_class is None:
            raise CommandError("class is unknown")
        # guards against a second effect: no server could tell a repeat of it
        if request_class.idempotency is Idempotency.WITH_KEY and not command.info.get("k"):
            raise CommandError("k is missing")
        time_left = max(0.0, command.deadline_ms / 1000 - DEADLINE_MARGIN)
        now = self.clock.now()
        time_left = max(0.0, min(time_left, self.shutdown_deadline - now))
        request = self.requests[name] = RequestInFlight(command, now + time_left, respond, is_connected)
        request.deadline_timer = asyncio.get_running_loop().call_later(time_left, self._on_deadline, name)
        cost_hint = command.info.get("h", "")
        event = Request(
            name,
            request_class.name,
            time_left,
            command.key.decode("latin-1"),
            # guards against a number too large for a float
            int(cost_hint) / 1e6 if cost_hint.isdigit() and len(cost_hint) <= MAX_COST_HINT_DIGITS else None,
            command.write,
        )
        self.post(event)

    def on_client_disconnected(self, name: str) -> None:
        """The client of a request closed its connection."""
        request = self.requests.get(name)
        if request is not None and not request.is_closed:
            self._mark_closed(request, name)
            self.post(ClientDisconnected(name))

    def start_shutdown(self, seconds: float) -> None:
        """Answer all that is taken, now or later, before so many seconds are over."""
        now = self.clock.now()
        self.shutdown_deadline = now + seconds
        loop = asyncio.get_running_loop()
        for name, request in self.requests.items():
            if request.deadline > self.shutdown_deadline and request.deadline_timer is not None:
                request.deadline_timer.cancel()
                request.deadline = self.shutdown_deadline
                request.deadline_timer = loop.call_later(seconds, self._on_deadline, name)
        self.post(ShutdownStarted(seconds))

    def _on_deadline(self, name: str) -> None:
        """The deadline: attempts still out time out."""
        request = self.requests[name]
        request.deadline_passed = True
        for attempt in list(request.attempts.values()):  # the module may answer, and so end it, on the way
            self._on_attempt_timeout(request, attempt)

    def _respond(self, name: str, answer: bytes) -> None:
        """Give a request its one answer."""
        request = self.requests.get(name)
        if request is not None and not request.is_closed:
            self._mark_closed(request, name)
            request.respond(answer)

    def _mark_closed(self, request: RequestInFlight, name: str) -> None:
        """Nothing is owed any more; kept only for what is still out."""
        request.is_closed = True
        self.release_candidates.append(name)

    def _release(self, name: str) -> None:
        """Guards memory: a request with its value is not kept until a deadline far off."""
        request = self.requests.get(name)
        if request is not None and request.is_closed and not request.attempts:
            del self.requests[name]
            now = self.clock.now()
            if now - self.ids_rotated_at > ID_REUSE_DELAY:
                self.previously_used_ids, self.recently_used_ids, self.ids_rotated_at = (
                    self.recently_used_ids,
                    set(),
                    now,
                )
            self.recently_used_ids.add(name)
            if request.deadline_timer is not None:
                request.deadline_timer.cancel()

    def _reject(self, action: Reject) -> None:
        """A refusal at once, that tells the client when to come back if the module has advice."""
        pause = math.ceil(action.retry_after * 1000)
        self._respond(action.request_id, b"-BUSY %d\r\n" % pause if pause else b"-BUSY\r\n")

    # Attempts

    def _start_attempt(self, action: Send) -> None:
        request = self.requests.get(action.request_id)
        if request is None:
            log.error("a send for %s, which is long over", action.request_id)
            return
        now = self.clock.now()
        attempt = RequestAttempt(request.attempts_started, now)
        request.attempts_started += 1
        request.attempts[attempt.number] = attempt
        endpoint = self.endpoints.get(action.server)
        status = self._precondition(request, endpoint)
        if attempt.number >= self.settings.max_attempts:
            status = AttemptStatus.NOT_SENT
        if status is not None or endpoint is None:
            self._complete_attempt(request, attempt, status or AttemptStatus.CONNECT_FAILED)
            return
        time_left = request.deadline - now
        if action.timeout is not None and action.timeout < time_left:
            time_left = action.timeout
            loop = asyncio.get_running_loop()
            attempt.timeout_timer = loop.call_later(time_left, self._on_attempt_timeout, request, attempt)

        def on_completed(status: AttemptStatus, value: bytes, report: bytes) -> None:
            self._complete_attempt(request, attempt, status, value, report)

        attempt.upstream = self._pool_of(endpoint).start(
            endpoint.address,
            request.command,
            time_left,
            on_completed,
            endpoint.incarnation,
            precondition=lambda: self._precondition(request, endpoint),
        )

    def _precondition(
        self, request: RequestInFlight, endpoint: NetworkEndpoint | None
    ) -> AttemptStatus | None:
        """How an attempt ends, none of it written, that is too late for its client or its server."""
        name = request.command.request.decode()
        if not request.is_closed and not request.is_connected():
            self.on_client_disconnected(name)
        if request.is_closed or request.deadline_passed:
            return AttemptStatus.NOT_SENT
        current = self.endpoints.get(endpoint.entry.name) if endpoint is not None else None
        # guards the rule on drains: a server that has begun to leave, or went, is sent nothing new
        if (
            endpoint is None
            or current is None
            or not current.entry.is_ready
            or current.incarnation != endpoint.incarnation
        ):
            return AttemptStatus.CONNECT_FAILED
        return None

    def _cancel_attempt(self, action: Cancel) -> None:
        request = self.requests.get(action.request_id)
        attempt = request.attempts.get(action.attempt_number) if request is not None else None
        if request is not None and attempt is not None:
            self._abandon_attempt(request, attempt, AttemptStatus.CANCELLED)

    def _on_attempt_timeout(self, request: RequestInFlight, attempt: RequestAttempt) -> None:
        self._abandon_attempt(request, attempt, AttemptStatus.TIMEOUT)

    def _abandon_attempt(
        self, request: RequestInFlight, attempt: RequestAttempt, status: AttemptStatus
    ) -> None:
        if attempt.upstream is not None:
            attempt.upstream.abandon()
        self._complete_attempt(request, attempt, status)

    def _complete_attempt(
        self,
        request: RequestInFlight,
        attempt: RequestAttempt,
        status: AttemptStatus,
        value: bytes = b"",
        report: bytes = b"",
    ) -> None:
        """Give an attempt its one outcome; the first that served answers the client."""
        if request.attempts.pop(attempt.number, None) is None:
            return
        if attempt.timeout_timer is not None:
            attempt.timeout_timer.cancel()
        name = request.command.request.decode()
        if status is AttemptStatus.OK:
            self._respond(name, b"$%d\r\n%b\r\n" % (len(value), value))
        self.release_candidates.append(name)
        latency = self.clock.now() - attempt.started_at
        load = parse_load_report(report, self.settings.load_report_fields) if report else None
        self.post(AttemptCompleted(name, attempt.number, status, request.is_closed, latency, load))
