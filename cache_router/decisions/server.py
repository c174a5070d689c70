"""A listed server, with the state that the decisions keep of it."""

from dataclasses import dataclass, field

from cache_router.decisions.concurrency_limit import ConcurrencyLimit
from cache_router.decisions.outlier_detection import FailureHistory
from cache_router.decisions.overload_backoff import OverloadState
from cache_router.decisions.slow_start_quota import SlowStartQuota
from cache_router.endpoint import Endpoint


@dataclass(slots=True, eq=False)
class Server:
    """One incarnation of a listed server. A restart under the same name is another incarnation."""

    endpoint: Endpoint
    is_cache: bool = True  # or a member of the origin
    size: float = 1.0  # relative capacity when idle; live weights fall with load, the size does not
    reported_load: float = 0.0  # requests in flight for each unit of size, of all routers, seconds ago
    concurrency: ConcurrencyLimit = field(default_factory=ConcurrencyLimit)
    failures: FailureHistory = field(default_factory=FailureHistory)
    overload: OverloadState = field(default_factory=OverloadState)
    slow_start_quota: SlowStartQuota | None = None  # None until the quota is first checked

    def update_endpoint(self, endpoint: Endpoint) -> None:
        """Take a later list entry of this incarnation."""
        self.endpoint = endpoint

    def resize(self, size: float) -> None:
        """Set the relative capacity."""
        self.size = size

    def record_live_weight(self, idle_weight: float) -> None:
        """Derive the size and the reported load from the list's live weight.

        `idle_weight` is the weight of an idle machine of this type. A live weight is the idle weight divided
        by 1 + load (requests in flight for each unit of size); 0 means that it is not known.
        """
        weight = self.endpoint.weight
        self.size = idle_weight
        self.reported_load = idle_weight / weight - 1 if weight else 0.0

    def grant_slow_start_quota(self, offset: float) -> SlowStartQuota:
        """Start to count attempts at this warming server; `offset` is the quota's, from 0 to 1."""
        self.slow_start_quota = SlowStartQuota(offset)
        return self.slow_start_quota
