"""What is simulated: the site's settings, the size of the fleet and its cost."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Any

from cache_router.settings import Idempotency, IdempotencyScope, RequestClass, Settings

ORIGIN = "origin"
READ, WRITE = "page-read", "markings-save"


def site_settings(**changes: Any) -> Settings:
    """Settings of the first customer's site, as the wire's example tells them, with some changed."""
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
    """The fleet round the instances. Times in seconds; counts are of the sample unless said otherwise."""

    routers: int  # of the fleet, told to the module as siblings
    caches: int
    requests_per_s: float  # first tries at each router
    routers_sampled: int = 0  # routers that are run; 0 is all of them
    zones: int = 1  # caches and routers are dealt out to them in turn
    regions: int = 1  # zones are dealt out to them in turn
    objects: int = 100_000  # there are
    zipf_exponent: float = 0.95  # Zipf's exponent
    rank_offset: float = 10.0  # added to each rank, which flattens the top
    cached_objects: int = 0  # objects that a cache holds, used last first; 0 draws hits by chance
    hit_share: float = 0.9  # where they are drawn
    write_share: float = 0.03
    service_time: tuple[float, float] = (0.035, 0.064)  # of a request that hits, evenly between
    miss_service_time: float = 0.002
    cores: int = 0  # of a cache; 0 is as many as are needed, and nothing ever waits
    queue_per_core: int = 20  # places for each core
    max_connections: int = 0  # connections that a cache accepts; 0 is any number
    handshake_core_time: float = 0.0015  # of a core
    handshake_round_trips: float = 2.5  # there and back
    one_way_latency: tuple[float, float, float] = (0.0002, 0.001, 0.004)  # same zone, same region, elsewhere
    origin_cores: int = 0
    origin_service_time: tuple[float, float] = (0.03, 0.07)
    origin_max_queueing_time: float = 1.0  # seconds of waiting that it accepts
    origin_always_reachable: bool = False  # within reach also where regions are cut off
    load_report_interval: float = 0.25  # a load report is so old at most
    router_descriptors: int = 372  # of a router for caches: 3/8 of 1,024 but for a reserve of 32
    origin_descriptors: int = 124
    reuse_delay: float = 0.01  # of a connection after an answer
    client_attempts: int = 3  # of a client in all
    client_backoff: tuple[float, float] = (0.012, 0.1)
    client_timeout: tuple[float, float] = (0.6, 0.96)  # of a client for one try: 50 to 80% of a read's time

    @property
    def routers_run(self) -> int:
        return min(self.routers_sampled or self.routers, self.routers)

    @property
    def scale(self) -> float:
        """Routers of the fleet for each that is run."""
        return self.routers / self.routers_run

    def rate_at_utilization(self, use_share: float, cores: int) -> float:
        """Requests a second of the whole fleet that keep this share of all caches' cores at work."""
        return self.caches * cores * use_share / self.mean_service_time

    def origin_cores_for(self, requests_per_s: float, headroom: float) -> int:
        """Cores with which the origin bears so many times the fetches of this rate."""
        fetches = requests_per_s * (1 - self.hit_share + self.write_share)
        return max(1, round(headroom * fetches * sum(self.origin_service_time) / 2))

    @property
    def mean_service_time(self) -> float:
        """Seconds of a core for a read or its miss."""
        hits = self.hit_share
        return hits * sum(self.service_time) / 2 + (1 - hits) * self.miss_service_time
