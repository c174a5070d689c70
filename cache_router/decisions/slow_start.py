"""Slow start: limits the attempts at a warming server, so that all routers together do not overload it.

Routers share no state. A warming server has a known share of the capacity of a warm one, and no warm server
returns more responses than it has capacity for. Each router therefore limits its attempts at a warming server
to the same share of the responses that it gets itself from a warm server. The sum over all routers then stays
within the capacity of the warming server, however the requests are distributed over the routers. While no
server is warm, the mean rate until the last one left takes the place of the present one.
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
    """Decides which servers are warming up, and whether their quotas are used up. Times are in seconds."""

    def __init__(self, settings: Settings, generator: random.Random, now: float) -> None:
        self._settings = settings
        self._random = generator
        self._throughput = WarmThroughput(now, settings.overload_window)
        # A mean over a longer time, as it stays in force while no server is warm.
        self._mean_throughput = WarmThroughput(now, settings.slow_start_duration)
        self._caches: Sequence[Server] = ()
        self._total_size = 0.0
        self._warm_size = 0.0
        self._warm_size_valid_until = -math.inf

    def on_endpoint_update(self, caches: Sequence[Server], total_size: float) -> None:
        """Replace the list of ready caches and the sum of their sizes."""
        self._caches = caches
        self._total_size = total_size
        self._warm_size_valid_until = -math.inf

    def is_warming_up(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether a server started less than the duration of a slow start ago."""
        return endpoint.started_at > 0 and now - endpoint.started_at < self._settings.slow_start_duration

    def usable_share(self, endpoint: Endpoint, success_rate: float, now: float) -> float:
        """Return the share of a server's points on the hash ring that are in use now, from 0 to 1.

        A low success rate reduces the share of a warming server, because retries by clients add to the load.
        """
        if not self.is_warming_up(endpoint, now):
            return 1.0
        return success_rate * capacity_share(self._settings, endpoint, now)

    def is_quota_exhausted(self, server: Server, now: float) -> bool:
        """Return whether one more attempt would exceed a warming server's quota.

        The quota is derived from the throughput of warm servers. A router that has had no response from any
        warm server cannot derive one; it sends without a quota if no server is warm.
        """
        if not self.is_warming_up(server.endpoint, now):
            return False
        has_warm_server = self._current_warm_size(now) > 0
        warm_rate = self._warm_rate(has_warm_server, now)
        if not has_warm_server and warm_rate <= 0:
            return False
        if server.slow_start_quota is None:
            quota = server.grant_slow_start_quota(self._random.random())
        else:
            quota = server.slow_start_quota
        # Without a warm server each request goes to a warming one, and all routers use up their quotas.
        return quota.is_exhausted(
            self._settings, server.endpoint, server.size * warm_rate, now, has_tolerance=has_warm_server
        )

    def _warm_rate(self, has_warm_server: bool, now: float) -> float:
        """Return the responses per second that this router gets from a warm server, for each unit of size."""
        window = self._settings.overload_window
        if has_warm_server:
            return self._throughput.rate(now, window)
        return self._mean_throughput.last_rate(window)

    def on_attempt_sent(self, server: Server, now: float) -> None:
        """Count an attempt against the server's quota, if it has one."""
        if server.slow_start_quota is not None:
            server.slow_start_quota.add(now, self._settings.overload_window)

    def on_successful_response(self, server: Server, now: float) -> None:
        """Count a successful response of a cache towards the throughput of warm servers, if it is warm."""
        if self.is_warming_up(server.endpoint, now):
            return
        warm_size = self._current_warm_size(now)
        if warm_size > 0:
            self._throughput.add(now, warm_size)
            self._mean_throughput.add(now, warm_size)

    def _current_warm_size(self, now: float) -> float:
        """Return the sum of the sizes of all warm caches, cached until the next slow start ends."""
        if now >= self._warm_size_valid_until:
            self._update_warm_size(now)
        return self._warm_size

    def _update_warm_size(self, now: float) -> None:
        duration = self._settings.slow_start_duration
        # `started_at` is 0 for a server that started long ago, which is never warming up
        earliest_start = max(0.0, now - duration)
        warming = [server for server in self._caches if server.endpoint.started_at > earliest_start]
        self._warm_size = self._total_size - sum(server.size for server in warming)
        first_start = min((server.endpoint.started_at for server in warming), default=math.inf)
        self._warm_size_valid_until = first_start + duration
