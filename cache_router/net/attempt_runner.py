"""Runs the attempts of requests in flight: starts, cancels, times them out, and posts their outcomes."""

from __future__ import annotations

import logging
from collections.abc import Callable
from functools import partial

from cache_router.decisions.actions import Cancel, Send
from cache_router.decisions.events import AttemptCompleted, AttemptStatus, Event
from cache_router.load_report import parse_load_report
from cache_router.net.clock import Clock
from cache_router.net.command import CLASS_FIELD
from cache_router.net.endpoint_table import EndpointTable, NetworkEndpoint
from cache_router.net.request_table import RequestInFlight, RequestTable
from cache_router.net.upstream_attempt import UpstreamAttempt, UpstreamResponse
from cache_router.settings import Idempotency, Settings

log = logging.getLogger(__name__)


class AttemptRunner:
    """Executes `Send` and `Cancel` actions, and posts exactly one `AttemptCompleted` for each attempt."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        requests: RequestTable,
        endpoints: EndpointTable,
        *,
        post: Callable[[Event], None],
        on_client_disconnected: Callable[[str], None],
    ) -> None:
        """Create a runner without attempts.

        Args:
            settings: The operators' settings.
            clock: The clock that measures the latencies of attempts.
            requests: The requests in flight.
            endpoints: The endpoints that attempts are sent to.
            post: Called with each `AttemptCompleted`.
            on_client_disconnected: Called with the id of a request whose client has disconnected.
        """
        self._classes = settings.classes
        self._max_attempts = settings.max_attempts
        self._load_report_fields = settings.load_report_fields
        self._clock = clock
        self._requests = requests
        self._endpoints = endpoints
        self._post = post
        self._on_client_disconnected = on_client_disconnected

    def start(self, action: Send) -> None:
        """Start an attempt; one that must not be sent completes immediately."""
        request = self._requests.get(action.request_id)
        if request is None:
            log.error("request %s: not in flight, no attempt is sent to %s", action.request_id, action.server)
            return
        now = self._clock.now()
        time_left = request.deadline - now
        timeout = action.timeout if action.timeout is not None and action.timeout < time_left else None
        endpoint = self._endpoints.get(action.server)
        attempt = self._add_attempt(request, endpoint, time_left if timeout is None else timeout, now)
        try:
            self._start(attempt, request, endpoint, timeout)
        except Exception:
            # The decision module waits for the outcome of each attempt.
            log.exception("request %s: attempt at %s can't be started", action.request_id, action.server)
            self._abandon(request, attempt.number, AttemptStatus.ERROR)

    def _start(
        self,
        attempt: UpstreamAttempt,
        request: RequestInFlight,
        endpoint: NetworkEndpoint | None,
        timeout: float | None,
    ) -> None:
        """Start an attempt of a request; `timeout` in seconds is None if only the deadline applies."""
        status = self._precondition(request, endpoint)
        if attempt.number >= self._max_attempts:
            status = AttemptStatus.NOT_SENT
        if status is not None or endpoint is None:
            attempt.finish(UpstreamResponse(status or AttemptStatus.CONNECT_FAILED))
            return
        if timeout is not None:
            on_timeout = partial(self._abandon, request, attempt.number, AttemptStatus.TIMEOUT)
            attempt.start_timeout(timeout, on_timeout)
        self._endpoints.pool_of(endpoint).start(attempt, endpoint.address, endpoint.incarnation)

    def _add_attempt(
        self, request: RequestInFlight, endpoint: NetworkEndpoint | None, time_left: float, now: float
    ) -> UpstreamAttempt:
        """Add an attempt to its request, and return it."""
        number = request.attempts_started
        attempt = UpstreamAttempt(
            request.command,
            time_left,
            # The callback holds the number, not the attempt. A reference cycle would be left to the garbage
            # collector.
            partial(self._complete, request, number),
            precondition=partial(self._precondition, request, endpoint),
            is_idempotent=self._classes[request.command.info[CLASS_FIELD]].idempotency
            is Idempotency.IDEMPOTENT,
            number=number,
            started_at=now,
        )
        request.add_attempt(attempt)
        return attempt

    def cancel(self, action: Cancel) -> None:
        """Cancel an attempt, unless it has completed."""
        request = self._requests.get(action.request_id)
        if request is not None:
            self._abandon(request, action.attempt_number, AttemptStatus.CANCELLED)

    def time_out_all(self, request: RequestInFlight) -> None:
        """Time out all attempts of a request that are in flight."""
        # Iterates over a copy: the decision module may end the request on the first timeout, which completes
        # the other attempts.
        for number in list(request.attempts):
            self._abandon(request, number, AttemptStatus.TIMEOUT)

    def _precondition(
        self, request: RequestInFlight, endpoint: NetworkEndpoint | None
    ) -> AttemptStatus | None:
        """Return the status with which an attempt completes if it must not be sent; None if it may be sent.

        This is checked when the attempt starts, and again once a new connection is established: in between,
        the client may have disconnected, or the server may have started to drain. A disconnect that is found
        here is reported to `on_client_disconnected`.
        """
        if not request.is_closed and not request.is_connected():
            self._on_client_disconnected(request.request_id)
        if request.is_closed or request.deadline_passed:
            return AttemptStatus.NOT_SENT
        if endpoint is None or not self._endpoints.is_sendable(endpoint):
            return AttemptStatus.CONNECT_FAILED
        return None

    def _abandon(self, request: RequestInFlight, number: int, status: AttemptStatus) -> None:
        """Abandon an attempt and complete it with a status, unless it has completed."""
        attempt = request.attempts.get(number)
        if attempt is not None:
            attempt.abandon()
            self._complete(request, number, UpstreamResponse(status))

    def _complete(self, request: RequestInFlight, number: int, response: UpstreamResponse) -> None:
        """Post the outcome of an attempt once; reply to the client with the value of the first success."""
        attempt = self._requests.remove_attempt(request, number)
        if attempt is None:
            return
        status, value = response.status, response.value
        try:
            if status is AttemptStatus.OK:
                self._requests.respond(request.request_id, b"$%d\r\n%b\r\n" % (len(value), value))
        finally:
            self._post_outcome(request, attempt, response)

    def _post_outcome(
        self, request: RequestInFlight, attempt: UpstreamAttempt, response: UpstreamResponse
    ) -> None:
        latency = self._clock.now() - attempt.started_at
        report = response.load_report
        load_report = parse_load_report(report, self._load_report_fields) if report else None
        outcome = AttemptCompleted(
            request.request_id, attempt.number, response.status, request.is_closed, latency, load_report
        )
        self._post(outcome)
