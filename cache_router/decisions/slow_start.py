"""Slow start: limits what a warming server is sent, so that all routers together do not overload it.

Routers share no state. A warming server has a share of the capacity of a warm one, and no warm server gives
more answers than it has capacity for. So each router grants a warming server the same share of the answers
that the router itself gets from warm servers. The sum over all routers then stays within the capacity of the
warming server, however the requests are distributed over the routers.
"""

import math
import random
from collections.abc import Sequence

from cache_router.decisions.server import Server
from cache_router.decisions.slow_start_quota import capacity_share
from cache_router.decisions.warm_throughput import WarmThroughput
from cache_router.endpoint import Endpoint
from cache_router.settings import Settings


class SlowStart:
    """Decides which servers are warming up, and whether their quotas are used up."""

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
        """Share of a server's points on the ring that count now.

        A low success rate reduces the share of a warming server, as clients' retries add to the load.
        """
        if not self.is_warming_up(endpoint, now):
            return 1.0
        return success_rate * capacity_share(self._settings, endpoint, now)

    def is_quota_used_up(self, server: Server, now: float) -> bool:
        """Whether one more attempt would exceed a warming server's quota.

        The quota follows from the throughput of warm servers: where no cache is warm, no quota is applied.
        """
        if not self.is_warming_up(server.endpoint, now) or self._current_warm_size(now) <= 0:
            return False
        if server.slow_start_quota is None:
            quota = server.grant_slow_start_quota(self._random.random())
        else:
            quota = server.slow_start_quota
        warm_rate = server.size * self._throughput.rate(now, self._settings.overload_window)
        return quota.is_used_up(self._settings, server.endpoint, warm_rate, now)

    def on_attempt_sent(self, server: Server, now: float) -> None:
        """Count an attempt against the server's quota, if it has one."""
        if server.slow_start_quota is not None:
            server.slow_start_quota.add(now, self._settings.overload_window)

    def on_good_answer(self, server: Server, now: float) -> None:
        """Count an answer of a cache towards the throughput of warm servers, if it is warm."""
        if self.is_warming_up(server.endpoint, now):
            return
        warm_size = self._current_warm_size(now)
        if warm_size > 0:
            self._throughput.add(now, warm_size)

    def _current_warm_size(self, now: float) -> float:
        """Sum of the sizes of the caches that are not warming up; cached until the next slow start ends."""
        if now >= self._warm_size_valid_until:
            self._update_warm_size(now)
        return self._warm_size

    def _update_warm_size(self, now: float) -> None:
        duration = self._settings.slow_start_duration
        # a start at 0 is long ago, and never counts as warming up
        earliest_start = max(0.0, now - duration)
        warming = [server for server in self._caches if server.endpoint.started_at > earliest_start]
        self._warm_size = self._total_size - sum(server.size for server in warming)
        first_start = min((server.endpoint.started_at for server in warming), default=math.inf)
        self._warm_size_valid_until = first_start + duration
