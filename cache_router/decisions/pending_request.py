"""A client's request until its final answer, and the attempts made for it.

Both records change through their own methods only, so that each transition has a name and one place.
"""

from dataclasses import dataclass, field

from cache_router.decisions.events import NOT_EXECUTED, AttemptStatus, Request
from cache_router.decisions.server import Server
from cache_router.settings import RequestClass


@dataclass(slots=True, eq=False)
class Attempt:
    """One forwarding of a request to a server. Times are in seconds."""

    server: Server
    target_latency: float  # a slower answer is a sign that too many requests are in flight at the server
    sent_at: float
    is_open: bool = True
    may_have_executed: bool = True  # until its status proves the contrary

    def complete(self, status: AttemptStatus) -> None:
        """Record how the attempt ended; some statuses prove that the server did not execute the request."""
        self.is_open = False
        self.may_have_executed = status not in NOT_EXECUTED


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A client's request until its final answer; it is never answered twice."""

    request: Request
    request_class: RequestClass
    deadline: float  # on the router's clock; the client cannot use an answer after it
    to_origin: bool  # a write, or a read that missed
    attempts: list[Attempt] = field(default_factory=list)
    is_queued: bool = False
    response_started: bool = False

    def has_open_attempts(self) -> bool:
        """Whether an attempt is still in flight."""
        return any(attempt.is_open for attempt in self.attempts)

    def add_attempt(self, attempt: Attempt) -> int:
        """Record an attempt that is being sent and return its number; a request's first attempt has 0."""
        self.attempts.append(attempt)
        return len(self.attempts) - 1

    def mark_queued(self) -> None:
        """The request waits in the queue for the origin."""
        self.is_queued = True

    def mark_dequeued(self) -> None:
        """The request no longer waits in the queue; an entry that the queue still has of it is void."""
        self.is_queued = False

    def mark_response_started(self) -> None:
        """The client receives a response; from now on the request cannot be rejected or failed."""
        self.response_started = True

    def redirect_to_origin(self) -> None:
        """Send all further attempts to the origin, after a cache answered that it does not have the key."""
        self.to_origin = True

    def cut_deadline(self, deadline: float) -> None:
        """Set an earlier deadline; a later one changes nothing."""
        self.deadline = min(self.deadline, deadline)

    def give_up_retries(self, now: float) -> None:
        """Start no further attempt: one in flight may still bring the answer, else the request ends."""
        self.deadline = now
