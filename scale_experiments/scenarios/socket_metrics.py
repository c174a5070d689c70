"""Metrics of real routers, clients and cache servers, from their counts at two points in time."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import asdict, dataclass
from pathlib import Path

import psutil
from pydantic import Field

from scale_experiments.emulators.messages.caches import CachesStats
from scale_experiments.emulators.messages.clients import (
    CONNECTIONS_OPENED,
    FAILED_OUTCOMES,
    OPEN_CONNECTIONS,
    REJECTED,
    REQUESTS,
    SERVED,
    ClientsStats,
)
from scale_experiments.measurement.histograms import decode_histogram
from scale_experiments.runs.metrics import Bytes, Cores, Count, Metrics, PerSecond, Ratio, Seconds, Share


@dataclass(slots=True, frozen=True)
class UsageSnapshot:
    """Counts of caches and clients, and CPU seconds of all routers, since the start."""

    caches: CachesStats
    clients: ClientsStats
    router_cpu_s: float


class SocketsMetrics(Metrics):
    """Metrics of clients, cache servers and routers while the load is measured."""

    requests_per_s: PerSecond = Field(description="requests that clients sent to all routers")
    served_share: Share = Field(description="share of the ended requests that were served")
    refused_share: Share = Field(description="share of the ended requests that were rejected")
    lost_share: Share = Field(
        description="share of the ended requests that failed, were not answered, lost their connection or"
        " could not be sent"
    )
    latency_p50_s: Seconds = Field(description="median latency of served requests, from when they were due")
    latency_p99_s: Seconds = Field(
        description="99th percentile of the latency of served requests, from when they were due"
    )
    attempts_per_request: Ratio = Field(description="attempts at caches for each request of a client")
    handshakes_per_request: Ratio = Field(
        description="new connections to caches for each request of a client"
    )
    handshakes_per_cache_per_s: PerSecond = Field(description="new connections at a cache")
    open_per_cache: Count = Field(description="open connections at a cache, mean over time and caches")
    open_per_cache_per_router: Count = Field(
        description="open connections at a cache from each router, mean over time and caches"
    )
    most_open_at_a_cache: Count = Field(
        description="largest number of connections that any cache had open at once since the start"
    )
    open_to_caches_per_router: Count = Field(
        description="open connections of a router to caches, mean over time"
    )
    caches_met_share: Share = Field(
        description="share of the caches that received an attempt during the measurement"
    )
    fullest_cache_share: Share = Field(
        description="attempts at the cache that received the most, over the mean of all caches"
    )
    hit_share: Share = Field(description="share of the attempts at caches that found the key")
    busy_per_request: Ratio = Field(description="attempts that caches rejected for each request of a client")
    origin_per_request: Ratio = Field(description="requests at the origin for each request of a client")
    router_cpu_per_request_s: Seconds = Field(
        description="CPU seconds of a router for each request of a client, including all other work"
    )
    router_cpu_share: Cores = Field(description="cores that a router uses, mean")
    router_resident_bytes: Bytes = Field(description="resident memory of a router at the end, mean")
    router_most_resident_bytes: Bytes = Field(
        description="largest resident memory of any router since its start"
    )
    router_descriptors: Count = Field(description="open descriptors of a router at the end, mean")
    client_connections_per_router: Count = Field(
        description="open connections of clients to a router at the end, mean"
    )
    client_connections_per_request: Ratio = Field(
        description="connections that clients opened for each request"
    )


@dataclass(slots=True, frozen=True)
class ClientMetrics:
    """Outcomes and latencies of the clients' requests, as described in `SocketsMetrics`."""

    served_share: float
    refused_share: float
    lost_share: float
    latency_p50_s: float
    latency_p99_s: float


@dataclass(slots=True, frozen=True)
class CacheMetrics:
    """Attempts and connections at cache servers, as described in `SocketsMetrics`."""

    attempts_per_request: float
    handshakes_per_request: float
    handshakes_per_cache_per_s: float
    open_per_cache: float
    open_per_cache_per_router: float
    most_open_at_a_cache: float
    open_to_caches_per_router: float
    caches_met_share: float
    fullest_cache_share: float
    hit_share: float
    busy_per_request: float


@dataclass(slots=True, frozen=True)
class RouterMetrics:
    """Resources used by the router processes, as described in `SocketsMetrics`."""

    router_cpu_per_request_s: float
    router_cpu_share: float
    router_resident_bytes: float
    router_most_resident_bytes: float
    router_descriptors: float


def compute_metrics(
    before: UsageSnapshot, after: UsageSnapshot, routers: list[psutil.Process]
) -> SocketsMetrics:
    """Return the metrics of the time between two snapshots."""
    seconds = after.caches.at - before.caches.at
    counts = {
        name: count - before.clients.counts.get(name, 0) for name, count in after.clients.counts.items()
    }
    requests = max(1, counts[REQUESTS])
    clients = client_metrics(counts, after.clients)
    caches = cache_metrics(before.caches, after.caches, requests, len(routers))
    fetches = after.caches.origin.requests - before.caches.origin.requests
    router_cpu_s = after.router_cpu_s - before.router_cpu_s
    router_usage = router_metrics(router_cpu_s, requests, seconds, routers)
    open_clients = after.clients.counts[OPEN_CONNECTIONS]
    return SocketsMetrics(
        requests_per_s=requests / seconds,
        **asdict(clients),
        **asdict(caches),
        origin_per_request=fetches / requests,
        **asdict(router_usage),
        client_connections_per_router=open_clients / len(routers),
        client_connections_per_request=counts[CONNECTIONS_OPENED] / requests,
    )


def client_metrics(counts: Mapping[str, int], clients: ClientsStats) -> ClientMetrics:
    """Return the shares of requests by outcome, from `counts`, and the latency of served requests."""
    ended = max(1, sum(counts.get(outcome, 0) for outcome in (SERVED, REJECTED, *FAILED_OUTCOMES)))

    def share(*outcomes: str) -> float:
        return float(sum(counts.get(outcome, 0) for outcome in outcomes) / ended)

    latency = decode_histogram(clients.latency)
    return ClientMetrics(
        served_share=share(SERVED),
        refused_share=share(REJECTED),
        lost_share=share(*FAILED_OUTCOMES),
        latency_p50_s=latency.get_value_at_percentile(50) / 1e6,
        latency_p99_s=latency.get_value_at_percentile(99) / 1e6,
    )


def cache_metrics(before: CachesStats, after: CachesStats, requests: int, routers: int) -> CacheMetrics:
    """Return metrics of cache servers while clients sent `requests` requests to `routers` routers."""
    seconds = after.at - before.at
    pairs = [(before.caches[name], counters) for name, counters in after.caches.items()]
    received = [now.requests - then.requests for then, now in pairs]
    accepted = float(sum(now.accepted - then.accepted for then, now in pairs))
    hits = float(sum(now.hits - then.hits for then, now in pairs))
    rejected = float(sum(now.rejected - then.rejected for then, now in pairs))
    samples = max(1, after.samples - before.samples)
    open_connections = float(sum(now.open_sum - then.open_sum for then, now in pairs)) / samples
    caches, attempts = len(pairs), float(sum(received))
    return CacheMetrics(
        attempts_per_request=attempts / requests,
        handshakes_per_request=accepted / requests,
        handshakes_per_cache_per_s=accepted / caches / seconds,
        open_per_cache=open_connections / caches,
        open_per_cache_per_router=open_connections / caches / routers,
        most_open_at_a_cache=max(now.max_open for _, now in pairs),
        open_to_caches_per_router=open_connections / routers,
        caches_met_share=sum(count > 0 for count in received) / caches,
        fullest_cache_share=max(received) * caches / max(1.0, attempts),
        hit_share=hits / max(1.0, attempts),
        busy_per_request=rejected / requests,
    )


def router_metrics(
    cpu_s: float, requests: int, seconds: float, routers: list[psutil.Process]
) -> RouterMetrics:
    """Return metrics of routers.

    In `seconds` seconds they used `cpu_s` CPU seconds for `requests` requests. Memory and descriptors are
    read from the running processes.
    """
    resident = [router.memory_info().rss for router in routers]
    return RouterMetrics(
        router_cpu_per_request_s=cpu_s / requests,
        router_cpu_share=cpu_s / seconds / len(routers),
        router_resident_bytes=sum(resident) / len(routers),
        router_most_resident_bytes=peak_resident_bytes(routers),
        router_descriptors=sum(router.num_fds() for router in routers) / len(routers),
    )


def peak_resident_bytes(routers: list[psutil.Process]) -> float:
    """Return the largest peak of resident memory of any router, which is VmHWM in /proc."""
    peaks = []
    for router in routers:
        lines = Path(f"/proc/{router.pid}/status").read_text().splitlines()
        peaks += [int(line.split()[1]) * 1024 for line in lines if line.startswith("VmHWM:")]
    return float(max(peaks, default=0))
