"""A client's request until its final answer, and the attempts made for it.

Both records are changed only by their own methods, so that each state transition is one named method.
"""

from dataclasses import dataclass, field

from cache_router.decisions.events import NOT_EXECUTED, AttemptStatus, Request
from cache_router.decisions.server import Server
from cache_router.endpoint import Endpoint
from cache_router.settings import RequestClass


@dataclass(slots=True, eq=False)
class Attempt:
    """One sending of a request to one server."""

    server: Server
    target_latency: float  # seconds; a higher latency indicates too many requests in flight at the server
    sent_at: float  # seconds on the router's clock
    is_open: bool = True  # False once the attempt has ended
    may_have_executed: bool = True  # False once the status proves that the server did not execute the request
    endpoint: Endpoint = field(init=False)  # entry of the server when the attempt was sent

    def __post_init__(self) -> None:
        """Keep the entry of the server: later ones may belong to another process of the same name."""
        self.endpoint = self.server.endpoint

    def complete(self, status: AttemptStatus) -> None:
        """Record the end of the attempt, and whether the server may have executed the request."""
        self.is_open = False
        self.may_have_executed = status not in NOT_EXECUTED


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A client's request until its final answer; it is never answered twice."""

    request: Request
    request_class: RequestClass
    deadline: float  # seconds on the router's clock; the client cannot use a later answer
    to_origin: bool  # attempts go to the origin: for a write, or for a read after a miss
    attempts: list[Attempt] = field(default_factory=list)
    is_queued: bool = False
    response_started: bool = False

    def has_open_attempts(self) -> bool:
        """Return whether an attempt is still in flight."""
        return any(attempt.is_open for attempt in self.attempts)

    def add_attempt(self, attempt: Attempt) -> int:
        """Record an attempt that is being sent and return its number; the first attempt has the number 0."""
        self.attempts.append(attempt)
        return len(self.attempts) - 1

    def mark_queued(self) -> None:
        """Record that the request waits in the queue for the origin."""
        self.is_queued = True

    def mark_dequeued(self) -> None:
        """Record that the request no longer waits; an entry that is left in the queue becomes void."""
        self.is_queued = False

    def mark_response_started(self) -> None:
        """Record that the client is receiving a response: the request can no longer be rejected or failed."""
        self.response_started = True

    def redirect_to_origin(self) -> None:
        """Direct all further attempts to the origin, after a miss at a cache server."""
        self.to_origin = True

    def cut_deadline(self, deadline: float) -> None:
        """Set an earlier deadline; a later one has no effect."""
        self.deadline = min(self.deadline, deadline)

    def give_up_retries(self, now: float) -> None:
        """Prevent further attempts by setting the deadline to now.

        An attempt in flight may still get a response. A request that has no attempt in flight ends.
        """
        self.deadline = now
