"""What decisions are made about: listed servers, requests that are owed an answer, and their attempts."""

from dataclasses import dataclass, field

from cache_router.decisions.concurrency_limit import ConcurrencyLimit
from cache_router.decisions.events import Request
from cache_router.decisions.outlier_detection import FailureHistory
from cache_router.decisions.overload_backoff import OverloadState
from cache_router.decisions.slow_start import SlowStartQuota
from cache_router.endpoint import Endpoint
from cache_router.settings import RequestClass


@dataclass(slots=True, eq=False)
class Server:
    """One incarnation of a listed server; each state object is changed only by the module that defines it."""

    endpoint: Endpoint
    is_cache: bool = True  # or a member of the origin
    size: float = 1.0  # weight, without what current load takes off it; set by endpoints.py
    reported_load: float = 0.0  # requests in flight for each unit of size, of all routers, seconds ago
    concurrency: ConcurrencyLimit = field(default_factory=ConcurrencyLimit)
    failures: FailureHistory = field(default_factory=FailureHistory)
    overload: OverloadState = field(default_factory=OverloadState)
    slow_start_quota: SlowStartQuota | None = None  # from the first time that it is asked for


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
