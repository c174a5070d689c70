"""Connections and handshakes between routers and page caches, by instances of the decision module.

The fleet is steady: no cache comes or goes, and none is short of capacity. A sample of the routers is run,
and the connections of a cache are scaled up to the fleet, by `routers` over `routers_run`. The worst cache's
figures then include the chance of the sample, and are rather too high than too low.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from typing import Annotated

import numpy as np
from hdrh.histogram import HdrHistogram
from pydantic import BaseModel, ConfigDict, Field

from cache_router.settings import Settings
from scale_experiments.runs.context import ExperimentContext, Sample
from scale_experiments.runs.fleet_run import complete_sample, run_fleet
from scale_experiments.runs.scenario import Scenario, WholeNumber
from scale_experiments.simulation.fleet import Fleet
from scale_experiments.simulation.model import FleetModel, site_settings
from scale_experiments.simulation.statistics import CountedEvent

SERVERS_USED_WINDOW_S = 10.0  # seconds within which the caches that a router meets are counted
MIN_ROUTERS_SAMPLED = 10
MAX_LATENCY_US = 10_000_000  # that a histogram holds

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


class Size(BaseModel):
    """The columns of a size."""

    routers: WholeNumber = Field(description="routers of the fleet, of which a sample is run")
    caches: WholeNumber = Field(description="page caches")
    requests_per_s: float = Field(description="requests of clients in the whole fleet")
    zones: WholeNumber = Field(1, description="zones over which routers and caches are spread")
    regions: WholeNumber = Field(1, description="regions over which the zones are spread")
    warm_s: float | None = Field(None, description="seconds before it is measured; by default the parameter")


def percentiles(values: list[float]) -> tuple[float, float, float]:
    """Mean, 99th percentile and maximum."""
    return float(np.mean(values)), float(np.percentile(values, 99)), max(values)


def build_model(parameters: Parameters, size: Size, warm_s: float) -> FleetModel:
    """The fleet of a size; so many routers are sampled that there are about `most_requests` requests."""
    routers = size.routers
    rate = size.requests_per_s / routers
    spans = warm_s + parameters.measured_s
    affordable = max(MIN_ROUTERS_SAMPLED, int(parameters.most_requests / (rate * spans)))
    return FleetModel(
        routers=routers,
        caches=size.caches,
        requests_per_s=rate,
        routers_sampled=min(routers, affordable),
        zones=size.zones,
        regions=size.regions,
        objects=parameters.objects,
        zipf_exponent=parameters.skew,
        hit_share=parameters.hit_share,
        router_descriptors=parameters.descriptors,
    )


def build_settings(parameters: Parameters) -> Settings:
    """The settings of the site, with the prices of connections."""
    return site_settings(
        connection_price=parameters.connection_price,
        handshake_price=parameters.handshake_price,
        connection_idle_timeout=parameters.connection_idle_s,
    )


def latency_histogram(fleet: Fleet) -> HdrHistogram:
    """Microseconds from a client's first attempt until it is served."""
    latency = HdrHistogram(1, MAX_LATENCY_US, 2)
    for seconds in fleet.statistics.latencies:
        latency.record_value(round(seconds * 1e6))
    return latency


def compute_metrics(fleet: Fleet, parameters: Parameters) -> dict[str, float]:
    """The metrics of a fleet since its last reset."""
    counts = fleet.statistics.counts
    metrics = {
        "routers_run": fleet.model.routers_run,
        "served_share": counts[CountedEvent.SERVED] / max(1, counts[CountedEvent.CLIENT_REQUEST]),
        **cache_metrics(fleet, parameters.use_share),
        **router_metrics(fleet),
        **decision_metrics(fleet),
    }
    return {name: metrics[name] for name in METRICS}


def cache_metrics(fleet: Fleet, use_share: float) -> dict[str, float]:
    """What the page caches bear, scaled up to the whole fleet; their cores are used to `use_share`."""
    model, now = fleet.model, fleet.events.now
    seconds = now - fleet.statistics.counted_from
    caches = list(fleet.caches.values())
    mean, high, worst = percentiles([model.scale * cache.connections.mean(now) for cache in caches])
    received = [cache.received for cache in caches]
    rate = model.scale * sum(received) / len(caches) / seconds
    handshakes = model.scale * fleet.statistics.counts[CountedEvent.HANDSHAKE] / len(caches) / seconds
    cores = math.ceil(rate * model.mean_service_time / use_share)
    worst_high = max(cache.connections.percentile_99(now, model.scale) for cache in caches)
    return {
        "cache_connections_mean": mean,
        "cache_connections_p99": high,
        "cache_connections_worst": worst,
        "cache_connections_worst_high": worst_high,
        "cache_connections_per_core": worst / cores,
        "cache_cores": cores,
        "cache_requests_per_s": rate,
        "cache_requests_worst_ratio": max(received) * len(caches) / max(1, sum(received)),
        "cache_handshakes_per_s": handshakes,
        "cache_handshake_cores": handshakes * model.handshake_core_time,
    }


def router_metrics(fleet: Fleet) -> dict[str, float]:
    """What the routers that are run do and hold."""
    counts, now = fleet.statistics.counts, fleet.events.now
    seconds = now - fleet.statistics.counted_from
    requests = max(1, counts[CountedEvent.REQUEST])
    pools = [router.pool for router in fleet.routers]
    routers = fleet.model.routers_run
    open_connections = sum(pool.connections.current for pool in pools)
    return {
        "handshakes_per_request": counts[CountedEvent.HANDSHAKE] / requests,
        "attempts_per_request": counts[CountedEvent.ATTEMPT] / requests,
        "router_connections_mean": sum(pool.connections.mean(now) for pool in pools) / routers,
        "router_connections_most": max(pool.connections.peak for pool in pools),
        "router_idle_share": sum(len(pool.idle) for pool in pools) / max(1, open_connections),
        "router_dials_per_s": counts[CountedEvent.CONNECT] / routers / seconds,
        "caches_met_10s": float(np.mean(fleet.statistics.servers_used)),
    }


def decision_metrics(fleet: Fleet) -> dict[str, float]:
    """The processor time of the decision module."""
    calls = fleet.decision_timer.calls_per_request()
    seconds_per_call = fleet.decision_timer.seconds_per_call()
    return {
        "handle_cpu_s": seconds_per_call,
        "handle_calls_per_request": calls,
        "router_core_share": calls * seconds_per_call * fleet.model.requests_per_s,
    }


def measure_sample(parameters: Parameters, size: Size, seed: int, context: ExperimentContext) -> Sample:
    """Warm the fleet up and measure it; raises TimeLimitReachedError."""
    warm_s = parameters.warm_s if size.warm_s is None else size.warm_s
    model = build_model(parameters, size, warm_s)
    fleet = Fleet(build_settings(parameters), model, seed)
    fleet.decision_timer.reset()
    description = f"{model.routers_run} of {model.routers} routers, {model.caches} caches"
    context.progress(f"{description}: warming")
    run_fleet(fleet, warm_s, context)
    fleet.reset()
    fleet.watch_servers_used(SERVERS_USED_WINDOW_S)
    context.progress(f"{description}: measuring")
    run_fleet(fleet, parameters.measured_s, context)
    return Sample(compute_metrics(fleet, parameters), {"latency": latency_histogram(fleet)})


def measure(parameters: Parameters, size: Size, seed: int, context: ExperimentContext) -> Iterator[Sample]:
    """One sample; none if the time limit passes first."""
    yield from complete_sample(lambda: measure_sample(parameters, size, seed, context))


SCENARIO = Scenario(
    description=__doc__ or "", parameters=Parameters, size=Size, metric_descriptions=METRICS, measure=measure
)
