"""Metrics of real routers are computed from counts of clients, caches and origin at two points in time."""

from __future__ import annotations

import os
from dataclasses import asdict, replace

import psutil
import pytest
from hdrh.histogram import HdrHistogram

from scale_experiments.emulators.messages.caches import CacheCounters, CachesStats, OriginCounters
from scale_experiments.emulators.messages.clients import (
    CONNECTIONS_OPENED,
    LOST,
    OPEN_CONNECTIONS,
    REJECTED,
    REQUESTS,
    SERVED,
    ClientsStats,
)
from scale_experiments.measurement.histograms import encode_histogram
from scale_experiments.scenarios.socket_metrics import (
    SocketsMetrics,
    UsageSnapshot,
    cache_metrics,
    client_metrics,
    compute_metrics,
)

ZERO_COUNTERS = CacheCounters(
    accepted=0, handshakes=0, requests=0, hits=0, misses=0, rejected=0, open_sum=0.0, max_open=0, open=0
)


def encoded_latencies(*latencies_us: int) -> str:
    """Return an encoded histogram of latencies in microseconds."""
    histogram = HdrHistogram(1, 1_000_000, 2)
    for latency_us in latencies_us:
        histogram.record_value(latency_us)
    return encode_histogram(histogram)


def caches_stats(at: float, samples: int, origin_requests: int, **caches: CacheCounters) -> CachesStats:
    """Return the statistics of the caches emulator, with the counts of each cache."""
    return CachesStats(
        at=at,
        cpu_s=0.0,
        resident_bytes=0,
        descriptors=0,
        time=at,
        samples=samples,
        caches=caches,
        origin=OriginCounters(requests=origin_requests),
    )


def clients_stats(counts: dict[str, int], latency: str = "") -> ClientsStats:
    """Return the statistics of the clients emulator."""
    return ClientsStats(
        at=0.0, cpu_s=0.0, resident_bytes=0, descriptors=0, time=0.0, counts=counts, latency=latency
    )


def test_client_metrics_are_shares_of_the_requests_that_ended() -> None:
    counts = {REQUESTS: 12, SERVED: 7, REJECTED: 2, LOST: 1}
    clients = clients_stats(counts, encoded_latencies(10_000, 10_000, 10_000, 500_000))
    metrics = client_metrics(counts, clients)
    assert [metrics.served_share, metrics.refused_share, metrics.lost_share] == [0.7, 0.2, 0.1]
    assert metrics.latency_p50_s == pytest.approx(0.01, rel=0.01)
    assert metrics.latency_p99_s == pytest.approx(0.5, rel=0.01)


def test_client_metrics_without_requests_are_zero() -> None:
    metrics = client_metrics({}, clients_stats({}, encoded_latencies()))
    assert set(asdict(metrics).values()) == {0.0}


def test_cache_metrics_are_those_of_the_time_between_both_moments() -> None:
    used_before = replace(
        ZERO_COUNTERS, accepted=5, requests=50, hits=40, misses=10, open_sum=30.0, max_open=4
    )
    used = replace(
        used_before, accepted=8, requests=80, hits=61, misses=17, rejected=2, open_sum=90.0, max_open=6
    )
    before = caches_stats(10.0, 10, 0, a=used_before, b=ZERO_COUNTERS, c=ZERO_COUNTERS)
    after = caches_stats(
        15.0,
        30,
        0,
        a=used,
        b=replace(ZERO_COUNTERS, accepted=3, requests=10, hits=9, misses=1),
        c=ZERO_COUNTERS,
    )
    metrics = cache_metrics(before, after, requests=20, routers=2)
    assert asdict(metrics) == pytest.approx(
        {
            "attempts_per_request": 40 / 20,
            "handshakes_per_request": 6 / 20,
            "handshakes_per_cache_per_s": 6 / 3 / 5.0,
            "open_per_cache": 60.0 / 20 / 3,
            "open_per_cache_per_router": 60.0 / 20 / 3 / 2,
            "most_open_at_a_cache": 6,
            "open_to_caches_per_router": 60.0 / 20 / 2,
            "caches_met_share": 2 / 3,
            "fullest_cache_share": 30 * 3 / 40,
            "hit_share": 30 / 40,
            "busy_per_request": 2 / 20,
        }
    )


def test_metrics_of_a_run_have_counts_per_request_and_the_use_of_router_processes() -> None:
    """The process of the test is measured as the router process."""
    routers = [psutil.Process(os.getpid())]
    before = UsageSnapshot(
        caches_stats(10.0, 1, 4, a=ZERO_COUNTERS), clients_stats({REQUESTS: 100, CONNECTIONS_OPENED: 5}), 1.0
    )
    after = UsageSnapshot(
        caches_stats(14.0, 2, 24, a=replace(ZERO_COUNTERS, requests=50, hits=50)),
        clients_stats(
            {REQUESTS: 300, SERVED: 200, CONNECTIONS_OPENED: 15, OPEN_CONNECTIONS: 6},
            encoded_latencies(10_000),
        ),
        2.0,
    )
    metrics = compute_metrics(before, after, routers).values()
    expected = {
        "requests_per_s": 200 / 4.0,
        "served_share": 1.0,
        "attempts_per_request": 50 / 200,
        "origin_per_request": 20 / 200,
        "router_cpu_per_request_s": 1.0 / 200,
        "router_cpu_share": 1.0 / 4.0,
        "client_connections_per_router": 6,
        "client_connections_per_request": 10 / 200,
    }
    assert list(metrics) == list(SocketsMetrics.descriptions())
    assert {name: metrics[name] for name in expected} == pytest.approx(expected)
    assert 0 < metrics["router_resident_bytes"] <= metrics["router_most_resident_bytes"]
    assert metrics["router_descriptors"] > 0
