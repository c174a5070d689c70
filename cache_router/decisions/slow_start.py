"""Slow start: what a server that is warming up may be sent, so that all routers together do not overload it.

Routers share nothing. A warming server has a part of the capacity of a warm one, and no warm server answers
more than it has capacity for: so each router grants a warming server a part of the answers that it gets
itself from warm ones, and the sum over all routers is what it can take, however requests fall to them.
"""

import math
import random
from collections.abc import Sequence

from cache_router.decisions.server import Server
from cache_router.decisions.slow_start_quota import SlowStartQuota, capacity_share
from cache_router.decisions.warm_throughput import WarmThroughput
from cache_router.endpoint import Endpoint
from cache_router.settings import Settings


class SlowStart:
    """Which servers are warming up, and how much of their quotas is left."""

    def __init__(self, settings: Settings, generator: random.Random, now: float) -> None:
        self._settings = settings
        self._random = generator
        self._throughput = WarmThroughput(now, settings.overload_window)
        self._caches: Sequence[Server] = ()
        self._total_size = 0.0
        self._warm_size = 0.0
        self._warm_size_valid_until = -math.inf

    def on_endpoint_update(self, caches: Sequence[Server], total_size: float) -> None:
        """Take the caches that are ready now, and the sum of their sizes."""
        self._caches = caches
        self._total_size = total_size
        self._warm_size_valid_until = -math.inf

    def is_warming_up(self, endpoint: Endpoint, now: float) -> bool:
        """Whether a server started less than the slow start's duration ago."""
        return endpoint.started_at > 0 and now - endpoint.started_at < self._settings.slow_start_duration

    def usable_share(self, endpoint: Endpoint, success_rate: float, now: float) -> float:
        """Share of a server's points that count now; failures cut it, as clients' retries add to the load."""
        if not self.is_warming_up(endpoint, now):
            return 1.0
        return success_rate * capacity_share(self._settings, endpoint, now)

    def is_quota_used_up(self, server: Server, now: float) -> bool:
        """Whether a warming server has had our part of what it may be sent; never, where nothing is warm."""
        if not self.is_warming_up(server.endpoint, now) or self._current_warm_size(now) <= 0:
            return False
        if server.slow_start_quota is None:
            server.slow_start_quota = SlowStartQuota(self._random.random())
        warm_rate = server.size * self._throughput.rate(now, self._settings.overload_window)
        return server.slow_start_quota.is_used_up(self._settings, server.endpoint, warm_rate, now)

    def on_attempt_sent(self, server: Server, now: float) -> None:
        """Count an attempt against the server's quota, if it has one."""
        if server.slow_start_quota is not None:
            server.slow_start_quota.add(now, self._settings.overload_window)

    def on_good_answer(self, server: Server, now: float) -> None:
        """Count an answer of a cache towards the throughput of warm ones."""
        if self.is_warming_up(server.endpoint, now):
            return
        warm_size = self._current_warm_size(now)
        if warm_size > 0:
            self._throughput.add(now, warm_size)

    def _current_warm_size(self, now: float) -> float:
        """Sum of the sizes of caches that are not warming up; counted when a slow start begins or ends."""
        if now >= self._warm_size_valid_until:
            begun_after = max(0.0, now - self._settings.slow_start_duration)
            warming = [server for server in self._caches if server.endpoint.started_at > begun_after]
            self._warm_size = self._total_size - sum(server.size for server in warming)
            first_start = min((server.endpoint.started_at for server in warming), default=math.inf)
            self._warm_size_valid_until = first_start + self._settings.slow_start_duration
        return self._warm_size
