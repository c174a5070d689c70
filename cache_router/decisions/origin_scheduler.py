"""Scheduling of the queue for the origin, by the origin's capacity and the deadlines of the requests.

A request that no server at all can take waits in the same queue until a server is listed.
"""

from dataclasses import dataclass, field

from cache_router.decisions.action_buffer import ActionBuffer
from cache_router.decisions.attempt_sender import AttemptSender
from cache_router.decisions.endpoints import EndpointList
from cache_router.decisions.events import TimerKind
from cache_router.decisions.open_requests import OpenRequests
from cache_router.decisions.origin_queue import OriginQueue, latest_start
from cache_router.decisions.pending_request import PendingRequest
from cache_router.decisions.retry_policy import RetryPolicy
from cache_router.decisions.server import Server
from cache_router.decisions.timers import TimerSet
from cache_router.settings import Settings


@dataclass(slots=True)
class OriginScheduler:
    """Decides when a queued request is sent to the origin, and when it is too late to send it."""

    settings: Settings
    endpoints: EndpointList
    queue: OriginQueue
    retry_policy: RetryPolicy
    open_requests: OpenRequests
    sender: AttemptSender
    actions: ActionBuffer
    timers: TimerSet = field(init=False)  # deadline timers of queued requests, by request id

    def __post_init__(self) -> None:
        self.timers = TimerSet(TimerKind.QUEUE_DEADLINE, self.actions)

    def enqueue(self, pending: PendingRequest, now: float) -> None:
        """Queue a request, and send it at once if the origin has capacity for it."""
        self.set_deadline_timer(pending, now)
        self.queue.push(pending)
        self.serve(now)

    def set_deadline_timer(self, pending: PendingRequest, now: float) -> None:
        """Set the timer that ends a queued request in time even if no other event reaches the router."""
        delay = self._time_to_latest_start(pending, now)
        self.timers.set_unless_due_earlier(pending.request.request_id, delay, now)

    def on_deadline_timer(self, request_id: str, now: float) -> None:
        """End a queued request if it is too late to send it, else set its timer again.

        The origin may have become faster since the timer was set.
        """
        pending = self.open_requests.find(request_id)
        if pending is None or not pending.is_queued:
            return
        delay = self._time_to_latest_start(pending, now)
        # through rounding, a timer may fire early by up to half the clock resolution
        if delay <= self.settings.clock_resolution / 2:
            self.open_requests.reject_or_fail(pending)
        else:
            self.timers.set(request_id, delay, now)

    def serve(self, now: float) -> None:
        """Send queued requests while the origin has capacity, then end those that it is too late to send."""
        if not self.queue:
            return
        self._send_while_capacity_lasts(now)
        for pending in self.queue.overdue(self.endpoints.least_loaded_origin(), now):
            self.open_requests.reject_or_fail(pending)
        self.queue.drop_void_entries()

    def _time_to_latest_start(self, pending: PendingRequest, now: float) -> float:
        """Return the seconds until it is too late to send a queued request."""
        latest = latest_start(pending, self.endpoints.least_loaded_origin())
        return max(0.0, latest - now)

    def _send_while_capacity_lasts(self, now: float) -> None:
        while (origin := self.endpoints.least_loaded_origin()) is not None:
            if not origin.concurrency.has_capacity():
                return
            pending = self.queue.pop()
            if pending is None:
                return
            if _is_in_time(pending, origin, now) and self.retry_policy.permits_attempt(pending, origin, now):
                self.sender.send(pending, origin, now)
            else:
                self.open_requests.reject_or_fail(pending)


def _is_in_time(pending: PendingRequest, origin: Server, now: float) -> bool:
    """Return whether the origin is expected to respond before the deadline of the request.

    If the origin is idle, any request is in time until its deadline, because only a response can show that
    the origin has become faster.
    """
    if origin.concurrency.in_flight:
        return now < latest_start(pending, origin)
    return now < pending.deadline
