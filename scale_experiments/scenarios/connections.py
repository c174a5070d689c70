"""Connections and handshakes between routers and page caches, by instances of the decision module.

The fleet is at rest: no cache comes or goes, and none is short of room. A sample of the routers is run; what
a cache holds of it is scaled up to the fleet (`routers_run` against `routers` tells by how much). The worst
cache's figures then hold the sample's chance as well, and are rather too high than too low.
"""

from __future__ import annotations

import math
from collections.abc import Iterator, Mapping
from typing import Annotated

import numpy as np
from hdrh.histogram import HdrHistogram
from pydantic import BaseModel, ConfigDict, Field

from scale_experiments.context import ExperimentContext, Sample
from scale_experiments.simulation.fleet import Fleet
from scale_experiments.simulation.model import FleetModel, site_settings
from scale_experiments.simulation.statistics import CountedEvent

SERVERS_USED_WINDOW_S = 10.0  # seconds within which the caches that a router meets are counted
MIN_ROUTERS_SAMPLED = 10  # routers

SIZES = ("routers", "caches", "requests_per_s")
METRICS = {
    "routers_run": "routers that were simulated; all counts at a cache are of these, scaled up to the fleet",
    "cache_connections_mean": "connections open at a page cache, mean over time and caches (scaled)",
    "cache_connections_p99": "the same at the 99th percentile of caches, mean over time (scaled)",
    "cache_connections_worst": "the same of the worst cache, mean over time (scaled)",
    "cache_connections_worst_high": "99th percentile over time at the worst cache (scaled, taken as normal)",
    "cache_connections_per_core": "cache_connections_worst over cache_cores",
    "cache_cores": "cores that a page cache needs for its mean rate of requests at the stated use",
    "cache_requests_per_s": "attempts received at a page cache, mean (scaled)",
    "cache_requests_worst_ratio": "attempts received at the worst cache over the mean",
    "cache_handshakes_per_s": "connections made to a page cache, mean (scaled)",
    "cache_handshake_cores": "cores that a page cache spends on handshakes, mean (scaled)",
    "handshakes_per_request": "connections made for each request taken (measured)",
    "attempts_per_request": "attempts at page caches for each request taken (measured)",
    "router_connections_mean": "connections to page caches that a router holds, mean over time (measured)",
    "router_connections_most": "the most that any router held at once (measured)",
    "router_idle_share": "of the connections open at the end that were idle (measured)",
    "router_dials_per_s": "connections that a router opens (measured)",
    "caches_met_10s": "distinct page caches that a router sends to within 10 s, mean (measured)",
    "handle_cpu_s": "processor time of one call of Router.handle, mean of every 16th (measured)",
    "handle_calls_per_request": "calls of Router.handle for each request taken (measured)",
    "router_core_share": "of a core that the decision module takes at this rate (measured)",
    "served_share": "requests of clients that were served, retries included (measured)",
}


class Parameters(BaseModel):
    """What all sizes of an experiment have in common: each is of a whole fleet."""

    model_config = ConfigDict(extra="forbid")

    connection_price: Annotated[float, Field(ge=0)]
    handshake_price: Annotated[float, Field(ge=0)]
    connection_idle_s: Annotated[float, Field(gt=1)] = 10.0
    descriptors: Annotated[int, Field(ge=1)] = 372
    skew: Annotated[float, Field(ge=0)] = 0.95
    objects: Annotated[int, Field(ge=1)] = 100_000
    hit_share: Annotated[float, Field(ge=0, le=1)] = 0.9
    use_share: Annotated[float, Field(gt=0, le=1)] = 0.6
    warm_s: Annotated[float, Field(gt=0)] = 12.0  # unless a size says otherwise
    measured_s: Annotated[float, Field(ge=SERVERS_USED_WINDOW_S)] = 10.0
    most_requests: Annotated[int, Field(ge=1000)] = 60_000


def percentiles(values: list[float]) -> tuple[float, float, float]:
    """Mean, 99th percentile and most."""
    return float(np.mean(values)), float(np.percentile(values, 99)), max(values)


def measure(
    parameters: Parameters, size: Mapping[str, float], seed: int, context: ExperimentContext
) -> Iterator[Sample]:
    """One sample: `size` has routers, caches, zones, regions and requests_per_s of the whole fleet."""
    routers = int(size["routers"])
    rate = size["requests_per_s"] / routers
    warm_s = size.get("warm_s", parameters.warm_s)
    spans = warm_s + parameters.measured_s
    affordable = max(MIN_ROUTERS_SAMPLED, int(parameters.most_requests / (rate * spans)))
    model = FleetModel(
        routers=routers,
        caches=int(size["caches"]),
        requests_per_s=rate,
        routers_sampled=min(routers, affordable),
        zones=int(size.get("zones", 1)),
        regions=int(size.get("regions", 1)),
        objects=parameters.objects,
        zipf_exponent=parameters.skew,
        hit_share=parameters.hit_share,
        router_descriptors=parameters.descriptors,
    )
    settings = site_settings(
        connection_price=parameters.connection_price,
        handshake_price=parameters.handshake_price,
        connection_idle_timeout=parameters.connection_idle_s,
    )
    fleet = Fleet(settings, model, seed)
    fleet.decision_timer.reset()
    context.progress(f"{model.routers_run} of {model.routers} routers, {model.caches} caches: warming")
    if not fleet.run(warm_s, context.expired):
        return
    fleet.reset()
    fleet.watch_servers_used(SERVERS_USED_WINDOW_S)
    context.progress(f"{model.routers_run} of {model.routers} routers, {model.caches} caches: measuring")
    if not fleet.run(parameters.measured_s, context.expired):
        return
    yield Sample(compute_metrics(fleet, parameters), {"latency": latency_histogram(fleet)})


def latency_histogram(fleet: Fleet) -> HdrHistogram:
    """Microseconds from a client's first try until it is served."""
    latency = HdrHistogram(1, 10_000_000, 2)
    for seconds in fleet.statistics.latencies:
        latency.record_value(round(seconds * 1e6))
    return latency


def compute_metrics(fleet: Fleet, parameters: Parameters) -> dict[str, float]:
    """The metrics of a fleet since its last reset."""
    model, counts, now = fleet.model, fleet.statistics.counts, fleet.events.now
    seconds = now - fleet.statistics.counted_from
    caches = list(fleet.caches.values())
    pools = [router.pool for router in fleet.routers]
    mean, high, worst = percentiles([model.scale * c.connections.mean(now) for c in caches])
    received = [c.received for c in caches]
    cache_rate = model.scale * sum(received) / len(caches) / seconds
    handshakes = model.scale * counts[CountedEvent.HANDSHAKE] / len(caches) / seconds
    cores = math.ceil(cache_rate * model.mean_service_time / parameters.use_share)
    requests = max(1, counts[CountedEvent.REQUEST])
    open_connections = sum(pool.connections.current for pool in pools)
    calls = fleet.decision_timer.calls_per_request()
    seconds_per_call = fleet.decision_timer.seconds_per_call()
    return {
        "routers_run": model.routers_run,
        "cache_connections_mean": mean,
        "cache_connections_p99": high,
        "cache_connections_worst": worst,
        "cache_connections_worst_high": max(c.connections.percentile_99(now, model.scale) for c in caches),
        "cache_connections_per_core": worst / cores,
        "cache_cores": cores,
        "cache_requests_per_s": cache_rate,
        "cache_requests_worst_ratio": max(received) * len(caches) / max(1, sum(received)),
        "cache_handshakes_per_s": handshakes,
        "cache_handshake_cores": handshakes * model.handshake_core_time,
        "handshakes_per_request": counts[CountedEvent.HANDSHAKE] / requests,
        "attempts_per_request": counts[CountedEvent.ATTEMPT] / requests,
        "router_connections_mean": sum(p.connections.mean(now) for p in pools) / model.routers_run,
        "router_connections_most": max(p.connections.peak for p in pools),
        "router_idle_share": sum(len(p.idle) for p in pools) / max(1, open_connections),
        "router_dials_per_s": counts[CountedEvent.CONNECT] / model.routers_run / seconds,
        "caches_met_10s": float(np.mean(fleet.statistics.servers_used)),
        "handle_cpu_s": seconds_per_call,
        "handle_calls_per_request": calls,
        "router_core_share": calls * seconds_per_call * model.requests_per_s,
        "served_share": counts[CountedEvent.SERVED] / max(1, counts[CountedEvent.CLIENT_REQUEST]),
    }
