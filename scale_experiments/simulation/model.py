"""The parameters of a simulation: settings of the site, sizes of the fleet, rates and service times."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Any

from cache_router.settings import Idempotency, IdempotencyScope, RequestClass, Settings
from scale_experiments.simulation.network_rules import REUSE_DELAY, ROUTER_DESCRIPTORS

ORIGIN = "origin"  # kind of endpoint
READ, WRITE = "page-read", "markings-save"  # request classes
START = 1000.0  # of the simulated clock, in seconds; a start time of 0 in an endpoint list means long ago


def site_settings(**changes: Any) -> Settings:
    """The settings of the first customer's site, with `changes` to the fields of `Settings`.

    The values are those of the example in the simulator's protocol.
    """
    classes = (
        RequestClass(READ, latency_objective=0.3, client_timeout=1.2, priority_weight=3.0),
        RequestClass(
            WRITE,
            0.5,
            Idempotency.WITH_KEY,
            IdempotencyScope.ALL,
            idempotency_window=5.0,
            priority_weight=2.0,
            client_timeout=1.0,
        ),
    )
    settings = Settings(
        classes={c.name: c for c in classes},
        cache_aside=True,
        origin_kind=ORIGIN,
        hedging_allowed=True,
        cancellation_allowed=True,
        max_attempts=4,
        load_report_fields=("svc_ms", "pending"),
        connection_idle_timeout=10.0,
        connect_timeout=0.12,
        max_retry_after=1.2,
        slow_start_initial_share=0.32,
        slow_start_duration=8.9,
        overload_multiple=4.0,
        overload_window=2.0,
        drain_grace_period=0.5,
    )
    return replace(settings, **changes)


@dataclass(slots=True, frozen=True)
class FleetModel:
    """The fleet around the decision modules.

    Times are in seconds. A pair holds the ends of a range of uniform random values. Cores and connection
    limits are for the routers that are run, unless a comment says otherwise.
    """

    routers: int  # of the whole fleet, which each decision module is configured with
    caches: int
    requests_per_s: float  # of clients at each router, without retries
    routers_sampled: int = 0  # routers that are run; 0 is all of them
    zones: int = 1  # cache servers and routers are assigned to the zones in turn
    regions: int = 1  # zones are assigned to the regions in turn
    objects: int = 100_000  # distinct keys
    zipf_exponent: float = 0.95
    rank_offset: float = 10.0  # added to each rank; reduces the share of the most popular keys
    cached_objects: int = 0  # capacity of a cache server; 0 draws each hit with probability hit_share
    hit_share: float = 0.9  # expected share of hits
    write_share: float = 0.03
    service_time: tuple[float, float] = (0.035, 0.064)  # of a hit
    miss_service_time: float = 0.002
    cores: int = 0  # of a cache server; with 0, no attempt ever waits
    queue_per_core: int = 20  # attempts
    max_connections: int = 0  # that a cache server accepts; 0 is no limit
    handshake_core_time: float = 0.0015
    handshake_round_trips: float = 2.5
    one_way_latency: tuple[float, float, float] = (0.0002, 0.001, 0.004)  # same zone, same region, elsewhere
    origin_cores: int = 0
    origin_service_time: tuple[float, float] = (0.03, 0.07)
    origin_max_queueing_time: float = 1.0  # beyond it the origin rejects
    origin_always_reachable: bool = False  # also from regions that are isolated
    load_report_interval: float = 0.25  # a load report is at most this old
    router_descriptors: int = ROUTER_DESCRIPTORS  # of one router, for connections to cache servers
    reuse_delay: float = REUSE_DELAY  # from a response until its connection may be reused
    client_attempts: int = 3  # requests that a client sends for one client request, including the first
    client_backoff: tuple[float, float] = (0.012, 0.1)  # before the first retry; doubles with each retry
    client_timeout: tuple[float, float] = (0.6, 0.96)  # for one request: 50 to 80% of the reads' timeout

    @property
    def routers_run(self) -> int:
        """Routers that are simulated."""
        return min(self.routers_sampled or self.routers, self.routers)

    @property
    def scale(self) -> float:
        """Routers of the whole fleet for each that is run."""
        return self.routers / self.routers_run

    def rate_at_utilization(self, utilization: float, cores: int) -> float:
        """Requests per second of the whole fleet that keep this share of all cache servers' cores busy."""
        return self.caches * cores * utilization / self.mean_service_time

    def origin_cores_for(self, requests_per_s: float, headroom: float) -> int:
        """Cores with which the origin serves `headroom` times the fetches and writes at this request rate."""
        fetches = requests_per_s * (1 - self.hit_share + self.write_share)
        return max(1, round(headroom * fetches * sum(self.origin_service_time) / 2))

    @property
    def mean_service_time(self) -> float:
        """Mean seconds that a core of a cache server takes for a request, hit or miss."""
        hits = self.hit_share
        return hits * sum(self.service_time) / 2 + (1 - hits) * self.miss_service_time
