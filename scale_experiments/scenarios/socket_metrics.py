"""Metrics of real routers between clients and page caches, from the counts of all at two moments."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

import psutil

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


@dataclass(slots=True, frozen=True)
class Usage:
    """Counts of caches and clients since the start, and CPU seconds of all routers."""

    caches: CachesStats
    clients: ClientsStats
    router_cpu_s: float


def compute_metrics(before: Usage, after: Usage, routers: list[psutil.Process]) -> dict[str, float]:
    """The metrics of the time between two moments."""
    seconds = after.caches.at - before.caches.at
    counts = {
        name: count - before.clients.counts.get(name, 0) for name, count in after.clients.counts.items()
    }
    requests = max(1, counts[REQUESTS])
    fetches = after.caches.origin.requests - before.caches.origin.requests
    open_clients = after.clients.counts[OPEN_CONNECTIONS]
    return {
        "requests_per_s": requests / seconds,
        **client_metrics(counts, after.clients),
        **cache_metrics(before.caches, after.caches, requests, len(routers)),
        "origin_per_request": fetches / requests,
        **router_metrics(after.router_cpu_s - before.router_cpu_s, requests, seconds, routers),
        "client_connections_per_router": open_clients / len(routers),
        "client_connections_per_request": counts[CONNECTIONS_OPENED] / requests,
    }


def client_metrics(counts: Mapping[str, int], clients: ClientsStats) -> dict[str, float]:
    """Shares of requests by outcome, from `counts`, and the latency of served requests."""
    ended = max(1, sum(counts.get(outcome, 0) for outcome in (SERVED, REJECTED, *FAILED_OUTCOMES)))

    def share(*outcomes: str) -> float:
        return float(sum(counts.get(outcome, 0) for outcome in outcomes) / ended)

    latency = decode_histogram(clients.latency)
    return {
        "served_share": share(SERVED),
        "refused_share": share(REJECTED),
        "lost_share": share(*FAILED_OUTCOMES),
        "latency_p50_s": latency.get_value_at_percentile(50) / 1e6,
        "latency_p99_s": latency.get_value_at_percentile(99) / 1e6,
    }


def cache_metrics(before: CachesStats, after: CachesStats, requests: int, routers: int) -> dict[str, float]:
    """Metrics of page caches; clients sent `requests` requests to `routers` routers in the same time."""
    seconds = after.at - before.at
    pairs = [(before.caches[name], counters) for name, counters in after.caches.items()]
    received = [now.requests - then.requests for then, now in pairs]
    accepted = float(sum(now.accepted - then.accepted for then, now in pairs))
    hits = float(sum(now.hits - then.hits for then, now in pairs))
    rejected = float(sum(now.rejected - then.rejected for then, now in pairs))
    samples = max(1, after.samples - before.samples)
    open_connections = float(sum(now.open_sum - then.open_sum for then, now in pairs)) / samples
    caches, attempts = len(pairs), float(sum(received))
    return {
        "attempts_per_request": attempts / requests,
        "handshakes_per_request": accepted / requests,
        "handshakes_per_cache_per_s": accepted / caches / seconds,
        "open_per_cache": open_connections / caches,
        "open_per_cache_per_router": open_connections / caches / routers,
        "most_open_at_a_cache": max(now.max_open for _, now in pairs),
        "open_to_caches_per_router": open_connections / routers,
        "caches_met_share": sum(count > 0 for count in received) / caches,
        "fullest_cache_share": max(received) * caches / max(1.0, attempts),
        "hit_share": hits / max(1.0, attempts),
        "busy_per_request": rejected / requests,
    }


def router_metrics(
    cpu_s: float, requests: int, seconds: float, routers: list[psutil.Process]
) -> dict[str, float]:
    """Metrics of routers that used `cpu_s` for `requests` requests; memory and descriptors are read now."""
    resident = [router.memory_info().rss for router in routers]
    return {
        "router_cpu_per_request_s": cpu_s / requests,
        "router_cpu_share": cpu_s / seconds / len(routers),
        "router_resident_bytes": sum(resident) / len(routers),
        "router_most_resident_bytes": peak_resident_bytes(routers),
        "router_descriptors": sum(router.num_fds() for router in routers) / len(routers),
    }


def peak_resident_bytes(routers: list[psutil.Process]) -> float:
    """The largest high-water mark of resident memory of any router, by /proc (VmHWM)."""
    marks = []
    for router in routers:
        lines = Path(f"/proc/{router.pid}/status").read_text().splitlines()
        marks += [int(line.split()[1]) * 1024 for line in lines if line.startswith("VmHWM:")]
    return float(max(marks, default=0))
