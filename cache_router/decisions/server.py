"""A listed server, with the state that the decisions keep of it."""

from dataclasses import dataclass, field

from cache_router.decisions.concurrency_limit import ConcurrencyLimit
from cache_router.decisions.outlier_detection import FailureHistory
from cache_router.decisions.overload_backoff import OverloadState
from cache_router.decisions.slow_start_quota import SlowStartQuota
from cache_router.endpoint import Endpoint


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
