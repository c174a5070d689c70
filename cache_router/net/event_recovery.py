"""What must still happen when the decision module has failed to handle an event.

A fault in the decisions may cost the event in which it occurs. It must not cost an answer to a client, the
watch on the endpoint list, or an update of it.
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

# seconds after the deadline of a request, which has a margin of its own, in which it is answered in any case
ANSWER_GRACE = 0.01
FAILED_REPLY = b"-ERR failed\r\n"
log = logging.getLogger(__name__)


class EventRecovery:
    """Answers, watches and resynchronizes in place of the decision module."""

    def __init__(
        self,
        settings: Settings,
        requests: RequestTable,
        subscribe: Callable[[], None],
        post: Callable[[Event], None],
    ) -> None:
        """Create a recovery.

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

    def make_up_for(self, event: Event) -> None:
        """Do what must follow an event that could not be handled.

        An attempt in flight brings another event, so that its request is not ended here.
        """
        match event:
            case Request() | AttemptCompleted():
                self._fail_unless_in_flight(event.request_id)
            case TimerFired(timer) if timer.kind is TimerKind.QUEUE_DEADLINE:
                self._fail_unless_in_flight(timer.subject)
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
        """Answer a request whose deadline has passed, unless the decision module does so at the same time."""
        asyncio.get_running_loop().call_later(ANSWER_GRACE, self._fail_overdue, request_id)

    def _fail_overdue(self, request_id: str) -> None:
        request = self._requests.get(request_id)
        if request is not None and not request.is_closed:
            log.error("request %s: no answer was decided by its deadline", request_id)
            self._fail_unless_in_flight(request_id)

    def _fail_unless_in_flight(self, request_id: str) -> None:
        """Answer that a request has failed, unless an attempt may still bring its response."""
        request = self._requests.get(request_id)
        if request is None or request.attempts or request.is_closed:
            return
        self._requests.respond(request_id, FAILED_REPLY)
        self._post(ClientDisconnected(request_id))  # the decision module forgets it
