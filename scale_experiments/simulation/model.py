"""Parameters of a simulation: settings of the site, sizes of the fleet, rates and service times."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Any

from cache_router.settings import Idempotency, IdempotencyScope, RequestClass, Settings
from scale_experiments.simulation.network_rules import REUSE_DELAY, ROUTER_DESCRIPTORS

ORIGIN = "origin"  # endpoint kind of the origin
READ, WRITE = "page-read", "markings-save"  # names of the request classes
START = 1000.0  # initial clock time in seconds; a start time of 0 in an endpoint list means long ago


def site_settings(**changes: Any) -> Settings:
    """Return the settings of the first customer's site, with `changes` to the fields of `Settings`.

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
    """Model of the routers, cache servers, origin, clients and network around the decision modules.

    Times are in seconds. A pair holds the bounds of uniformly distributed random values. Cores and
    connection limits of servers are used as given, and have to be set for the load of the routers that are
    run.
    """

    routers: int  # routers of the whole fleet; each decision module is configured with this count
    caches: int
    requests_per_s: float  # client requests at each router, without retries
    routers_sampled: int = 0  # routers that are run; 0 runs all of them
    zones: int = 1  # cache servers and routers are assigned to the zones in turn
    regions: int = 1  # zones are assigned to the regions in turn
    objects: int = 100_000  # number of distinct keys
    zipf_exponent: float = 0.95
    rank_offset: float = 10.0  # added to each rank; reduces the share of the most popular keys
    cached_objects: int = 0  # keys that a cache server stores; 0 draws each hit with probability hit_share
    hit_share: float = 0.9  # expected hit ratio of the cache servers
    write_share: float = 0.03  # share of writes in the client requests
    service_time: tuple[float, float] = (0.035, 0.064)  # core time of a hit
    miss_service_time: float = 0.002  # core time of a miss
    cores: int = 0  # cores of a cache server; 0 is unlimited
    queue_per_core: int = 20  # attempts that may wait for each core of a cache server
    max_connections: int = 0  # connections that a cache server accepts; 0 is unlimited
    handshake_core_time: float = 0.0015  # core time of a handshake at a cache server
    handshake_round_trips: float = 2.5  # round trips until a connection is established
    # within a zone, within a region, between regions
    one_way_latency: tuple[float, float, float] = (0.0002, 0.001, 0.004)
    origin_cores: int = 0  # cores of the origin; 0 is unlimited
    origin_service_time: tuple[float, float] = (0.03, 0.07)
    origin_max_queueing_time: float = 1.0  # mean wait at a full queue; further attempts are rejected
    origin_always_reachable: bool = False  # whether isolated regions reach the origin too
    load_report_interval: float = 0.25  # maximum age of a load report
    router_descriptors: int = ROUTER_DESCRIPTORS  # descriptors of a router for connections to caches
    reuse_delay: float = REUSE_DELAY  # time from a response until its connection may be reused
    client_attempts: int = 3  # maximum number of requests for one client request, including the first
    client_backoff: tuple[float, float] = (0.012, 0.1)  # first backoff of a client; doubles with each retry
    # timeout of one request: 50 to 80% of the client timeout of reads
    client_timeout: tuple[float, float] = (0.6, 0.96)

    @property
    def routers_run(self) -> int:
        """Number of routers that are run."""
        return min(self.routers_sampled or self.routers, self.routers)

    @property
    def scale(self) -> float:
        """Ratio of the routers of the whole fleet to those that are run."""
        return self.routers / self.routers_run

    def rate_at_utilization(self, utilization: float, cores: int) -> float:
        """Return the request rate of the whole fleet at which all cache servers have this utilization."""
        return self.caches * cores * utilization / self.mean_service_time

    def origin_cores_for(self, requests_per_s: float, headroom: float) -> int:
        """Return the cores that the origin needs for `headroom` times the fetches and writes at this rate."""
        fetches = requests_per_s * (1 - self.hit_share + self.write_share)
        return max(1, round(headroom * fetches * sum(self.origin_service_time) / 2))

    @property
    def mean_service_time(self) -> float:
        """Mean core time of a request at a cache server, hit or miss, in seconds."""
        hits = self.hit_share
        return hits * sum(self.service_time) / 2 + (1 - hits) * self.miss_service_time
