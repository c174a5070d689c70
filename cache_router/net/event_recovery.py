"""Recovery from events that the decision module has failed to handle.

A fault in the decision module may lose the event in which it occurs. It must not leave a request without an
answer, end the watch on the endpoint list, or lose an update of the list.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from cache_router.decisions.events import (
    AttemptCompleted,
    ClientDisconnected,
    DiscoveryAddressChanged,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    Request,
    TimerFired,
    TimerKind,
)
from cache_router.net.request_table import RequestTable
from cache_router.settings import Settings

# seconds after a request's deadline at which it fails if it has no answer; the deadline itself has a margin
ANSWER_GRACE = 0.01
FAILED_REPLY = b"-ERR failed\r\n"
log = logging.getLogger(__name__)


class EventRecovery:
    """Fails requests, renews the watch and detects lost endpoint updates in place of the decisions."""

    def __init__(
        self,
        settings: Settings,
        requests: RequestTable,
        subscribe: Callable[[], None],
        post: Callable[[Event], None],
    ) -> None:
        """Create a recovery for one decision module.

        Args:
            settings: The operators' settings.
            requests: The requests in flight.
            subscribe: Starts a watch, unless one is running.
            post: Passes an event to the decision module.
        """
        self._settings = settings
        self._requests = requests
        self._subscribe = subscribe
        self._post = post
        self._failed_update: EndpointUpdate | None = None

    def has_failed(self, update: EndpointUpdate) -> bool:
        """Return whether an endpoint update is the last one that could not be handled."""
        return self._failed_update is update

    def recover_from(self, event: Event) -> None:
        """Recover from an event that could not be handled.

        A request that has an attempt in flight stays open, because the attempt's end is another event.
        """
        match event:
            case Request() | AttemptCompleted():
                self._fail_unless_in_flight(event.request_id)
            case TimerFired(timer) if timer.kind is TimerKind.QUEUE_DEADLINE:
                self._fail_unless_in_flight(timer.target)
            case TimerFired(timer) if timer.kind is TimerKind.ENDPOINT_POLL:
                self._subscribe()
            case DiscoveryAddressChanged():
                self._subscribe()
            case EndpointUpdate(EndpointUpdateKind.FAILED):
                backoff = self._settings.watch_budget.max_backoff
                asyncio.get_running_loop().call_later(backoff, self._subscribe)
            case EndpointUpdate():
                self._failed_update = event

    def fail_after_grace(self, request_id: str) -> None:
        """Fail a request whose deadline has passed, unless it is answered within ANSWER_GRACE."""
        asyncio.get_running_loop().call_later(ANSWER_GRACE, self._fail_overdue, request_id)

    def _fail_overdue(self, request_id: str) -> None:
        request = self._requests.get(request_id)
        if request is not None and not request.is_closed:
            log.error("request %s: no answer was decided by its deadline", request_id)
            self._fail_unless_in_flight(request_id)

    def _fail_unless_in_flight(self, request_id: str) -> None:
        """Answer that a request has failed, unless it still has an attempt in flight."""
        request = self._requests.get(request_id)
        if request is None or request.attempts or request.is_closed:
            return
        self._requests.respond(request_id, FAILED_REPLY)
        self._post(ClientDisconnected(request_id))  # removes it from the decision module
