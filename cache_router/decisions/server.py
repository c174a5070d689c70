"""A listed server, with the state that the decisions keep for it."""

from dataclasses import dataclass, field

from cache_router.decisions.concurrency_limit import ConcurrencyLimit
from cache_router.decisions.outlier_detection import FailureHistory
from cache_router.decisions.overload_backoff import OverloadState
from cache_router.decisions.slow_start_quota import SlowStartQuota
from cache_router.endpoint import Endpoint


@dataclass(slots=True, eq=False)
class Server:
    """One incarnation of a listed server. A restart under the same name creates another incarnation."""

    endpoint: Endpoint
    is_cache: bool = True  # False for an origin member
    size: float = 1.0  # relative capacity of the idle server; unlike a live weight it does not fall with load
    # Requests in flight per unit of size, from all routers, as of a few seconds ago. Derived from the live
    # weight.
    reported_load: float = 0.0
    concurrency: ConcurrencyLimit = field(default_factory=ConcurrencyLimit)
    failures: FailureHistory = field(default_factory=FailureHistory)
    overload: OverloadState = field(default_factory=OverloadState)
    slow_start_quota: SlowStartQuota | None = None  # None until the quota is first checked

    def update_endpoint(self, endpoint: Endpoint) -> None:
        """Replace the list entry by a later one of the same incarnation."""
        self.endpoint = endpoint

    def resize(self, size: float) -> None:
        """Set the relative capacity."""
        self.size = size

    def record_live_weight(self, idle_weight: float) -> None:
        """Set the size and the reported load from the live weight of the list entry.

        `idle_weight` is the weight of an idle machine of this type. A live weight is the idle weight divided
        by 1 + load, where load is the number of requests in flight per unit of size. A live weight of 0 means
        that it is not known.
        """
        weight = self.endpoint.weight
        self.size = idle_weight
        self.reported_load = idle_weight / weight - 1 if weight else 0.0

    def grant_slow_start_quota(self, offset: float) -> SlowStartQuota:
        """Create and return the quota of this warming server; `offset` is from 0 to 1."""
        self.slow_start_quota = SlowStartQuota(offset)
        return self.slow_start_quota
