"""A client's request until its final answer, and the attempts made for it."""

from dataclasses import dataclass, field

from cache_router.decisions.events import Request
from cache_router.decisions.server import Server
from cache_router.settings import RequestClass


@dataclass(slots=True, eq=False)
class Attempt:
    """One forwarding of a request to a server. Times are in seconds."""

    server: Server
    target_latency: float  # slower answers mean that too many requests are in flight at the server
    sent_at: float
    is_open: bool = True
    may_have_executed: bool = True  # until its status proves the contrary


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A client's request until its final answer; it is never answered twice."""

    request: Request
    request_class: RequestClass
    deadline: float  # on the router's clock; an answer after it is of no use
    to_origin: bool  # a write, or a read that missed
    attempts: list[Attempt] = field(default_factory=list)
    is_queued: bool = False
    response_started: bool = False

    def has_open_attempts(self) -> bool:
        """Whether an attempt is still in flight."""
        return any(attempt.is_open for attempt in self.attempts)
