"""Connections and handshakes between routers and cache servers, in a simulated fleet.

The endpoint list does not change, and the capacity of the caches is unlimited. Only a sample of the routers
is simulated. Metrics of a cache server are scaled up to the whole fleet, by the ratio of `routers` to
`routers_run`, and are described as scaled. Metrics of routers are measured on the sample and described as
measured. A metric of the worst cache tends to be too high, because the sampling error adds to the differences
between caches.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass

import numpy as np
from hdrh.histogram import HdrHistogram
from pydantic import BaseModel, ConfigDict, Field

from cache_router.settings import Settings
from scale_experiments.runs.context import ExperimentContext
from scale_experiments.runs.fleet_run import complete_sample, run_fleet
from scale_experiments.runs.metrics import Cores, Count, Metrics, PerSecond, Ratio, Seconds, Share
from scale_experiments.runs.sample import Sample
from scale_experiments.runs.scenario import Scenario, WholeNumber
from scale_experiments.simulation.fleet import Fleet
from scale_experiments.simulation.model import FleetModel, site_settings
from scale_experiments.simulation.statistics import CountedEvent

SERVERS_USED_WINDOW_S = 10.0  # period over which the distinct caches that a router uses are counted
MIN_ROUTERS_SAMPLED = 10
MAX_LATENCY_US = 10_000_000  # upper end of the latency histogram
HIGH_PERCENTILE = 99


class ConnectionsMetrics(Metrics):
    """Metrics of cache servers (`cache_`), of routers (`router_`) and of requests."""

    routers_run: Count = Field(description="simulated routers; metrics of a cache are scaled up from them")
    cache_connections_mean: Count = Field(
        description="open connections at a cache server, mean over time and caches (scaled)"
    )
    cache_connections_p99: Count = Field(
        description="open connections at the 99th percentile over caches, mean over time (scaled)"
    )
    cache_connections_worst: Count = Field(
        description="open connections at the worst cache, mean over time (scaled)"
    )
    cache_connections_worst_high: Count = Field(
        description="open connections at the worst cache, 99th percentile over time (scaled, assuming a"
        " normal distribution)"
    )
    cache_connections_per_core: Ratio = Field(description="cache_connections_worst over cache_cores")
    cache_cores: Cores = Field(
        description="cores that a cache server needs for its mean rate at a utilization of `use_share`"
    )
    cache_requests_per_s: PerSecond = Field(description="attempts received by a cache server, mean (scaled)")
    cache_requests_worst_ratio: Ratio = Field(
        description="attempts received by the busiest cache over the mean of all caches"
    )
    cache_handshakes_per_s: PerSecond = Field(description="new connections at a cache server, mean (scaled)")
    cache_handshake_cores: Cores = Field(description="cores that a cache spends on handshakes, mean (scaled)")
    handshakes_per_request: Ratio = Field(description="new connections for each request accepted (measured)")
    attempts_per_request: Ratio = Field(description="attempts at caches for each request accepted (measured)")
    router_connections_mean: Count = Field(
        description="open connections of a router to cache servers, mean over time (measured)"
    )
    router_connections_most: Count = Field(
        description="largest number of connections to caches that any router had open at once (measured)"
    )
    router_idle_share: Share = Field(
        description="share of the routers' open connections that were idle at the end (measured)"
    )
    router_dials_per_s: PerSecond = Field(description="connection attempts of a router (measured)")
    caches_met_10s: Count = Field(description="distinct caches a router uses within 10 s, mean (measured)")
    handle_cpu_s: Seconds = Field(
        description="processor time of one call of Router.handle, mean of every 16th call (measured)"
    )
    handle_calls_per_request: Ratio = Field(
        description="calls of Router.handle for each request accepted (measured)"
    )
    router_core_share: Share = Field(
        description="share of a core that a decision module uses at the mean rate of requests (measured)"
    )
    served_share: Share = Field(
        description="share of clients' requests that were served, retries included (measured)"
    )


class Parameters(BaseModel):
    """The parameters that all sizes of an experiment share. Times are in seconds; aliases are the keys."""

    model_config = ConfigDict(extra="forbid")

    connection_price: float = Field(
        ge=0, description="price of 100 open connections at every cache, in the settings"
    )
    handshake_price: float = Field(
        ge=0, description="price of a new connection for every request, in the settings"
    )
    idle_timeout_s: float = Field(
        10.0, alias="connection_idle_s", gt=1, description="idle time until a cache closes a connection"
    )
    router_descriptors: int = Field(
        372, alias="descriptors", ge=1, description="descriptors of a router for connections to caches"
    )
    zipf_exponent: float = Field(
        0.95, alias="skew", ge=0, description="exponent of the popularity of keys (Zipf's law)"
    )
    objects: int = Field(100_000, ge=1, description="distinct objects")
    hit_share: float = Field(0.9, ge=0, le=1, description="share of reads that find their object at a cache")
    use_share: float = Field(0.6, gt=0, le=1, description="utilization for which `cache_cores` is calculated")
    warm_s: float = Field(12.0, gt=0, description="duration of the load before it is measured")
    measured_s: float = Field(10.0, ge=SERVERS_USED_WINDOW_S, description="duration of the measurement")
    max_requests: int = Field(
        60_000,
        alias="most_requests",
        ge=1000,
        description="approximate number of requests to simulate for each size",
    )


class Size(BaseModel):
    """The columns of one size of an experiment."""

    routers: WholeNumber = Field(description="routers of the fleet, of which a sample is simulated")
    caches: WholeNumber = Field(description="cache servers")
    requests_per_s: float = Field(description="requests of clients in the whole fleet, without retries")
    zones: WholeNumber = Field(1, description="zones over which routers and caches are spread")
    regions: WholeNumber = Field(1, description="regions over which the zones are spread")
    warm_s: float | None = Field(None, description="replaces the parameter `warm_s` if given")


def build_model(parameters: Parameters, size: Size, warm_s: float) -> FleetModel:
    """Return the model of a fleet, with a sample of routers that handles about `max_requests` requests."""
    routers = size.routers
    rate = size.requests_per_s / routers
    duration_s = warm_s + parameters.measured_s
    max_routers_sampled = max(MIN_ROUTERS_SAMPLED, int(parameters.max_requests / (rate * duration_s)))
    return FleetModel(
        routers=routers,
        caches=size.caches,
        requests_per_s=rate,
        routers_sampled=min(routers, max_routers_sampled),
        zones=size.zones,
        regions=size.regions,
        objects=parameters.objects,
        zipf_exponent=parameters.zipf_exponent,
        hit_share=parameters.hit_share,
        router_descriptors=parameters.router_descriptors,
    )


def build_settings(parameters: Parameters) -> Settings:
    """Return the settings of the site, with the connection settings of the experiment."""
    return site_settings(
        connection_price=parameters.connection_price,
        handshake_price=parameters.handshake_price,
        connection_idle_timeout=parameters.idle_timeout_s,
    )


def latency_histogram(fleet: Fleet) -> HdrHistogram:
    """Return the latencies in microseconds, from a client's first request until it is served."""
    latency = HdrHistogram(1, MAX_LATENCY_US, 2)
    for seconds in fleet.statistics.latencies:
        latency.record_value(round(seconds * 1e6))
    return latency


@dataclass(slots=True, frozen=True)
class CacheLoad:
    """The load of cache servers, scaled up to the whole fleet."""

    mean_connections: float  # open connections of a cache, mean over time and caches
    p99_connections: float  # mean over time, at HIGH_PERCENTILE over caches
    worst_connections: float  # mean over time, at the cache where it is highest
    worst_connections_peak: float  # 99th percentile over time, at the cache where it is highest
    cores: int  # cores that a cache needs
    requests_per_s: float  # attempts received by a cache, mean over caches
    worst_requests_ratio: float  # attempts received by the busiest cache over the mean of all caches
    handshakes_per_s: float  # handshakes at a cache, mean over caches
    handshake_cores: float  # cores that a cache spends on handshakes, mean over caches


@dataclass(slots=True, frozen=True)
class RouterLoad:
    """Connections and attempts of the simulated routers."""

    handshakes_per_request: float
    attempts_per_request: float
    mean_connections: float  # open connections of a router, mean over time and routers
    max_connections: int  # largest number that any router had open at once
    idle_share: float  # share of the open connections that are idle now
    dials_per_s: float  # connection attempts of a router
    caches_used: float  # distinct caches that a router uses within SERVERS_USED_WINDOW_S, mean


@dataclass(slots=True, frozen=True)
class DecisionCost:
    """The processor time of a router's decision module."""

    seconds_per_call: float
    calls_per_request: float
    core_share: float  # share of a core that it uses at the mean rate of requests of a router


def cache_load(fleet: Fleet, use_share: float) -> CacheLoad:
    """Return the load of cache servers since the last reset, with cores for a utilization of `use_share`."""
    model, now = fleet.model, fleet.events.now
    seconds = now - fleet.statistics.counted_from
    caches = list(fleet.caches.values())
    connections = [model.scale * cache.connections.mean(now) for cache in caches]
    received = [cache.received for cache in caches]
    rate = model.scale * sum(received) / len(caches) / seconds
    handshakes = model.scale * fleet.statistics.counts[CountedEvent.HANDSHAKE] / len(caches) / seconds
    return CacheLoad(
        mean_connections=float(np.mean(connections)),
        p99_connections=float(np.percentile(connections, HIGH_PERCENTILE)),
        worst_connections=max(connections),
        worst_connections_peak=max(cache.connections.percentile_99(now, model.scale) for cache in caches),
        cores=math.ceil(rate * model.mean_service_time / use_share),
        requests_per_s=rate,
        worst_requests_ratio=max(received) * len(caches) / max(1, sum(received)),
        handshakes_per_s=handshakes,
        handshake_cores=handshakes * model.handshake_core_time,
    )


def router_load(fleet: Fleet) -> RouterLoad:
    """Return the connections and attempts of the routers since the last reset."""
    counts, now = fleet.statistics.counts, fleet.events.now
    seconds = now - fleet.statistics.counted_from
    requests = max(1, counts[CountedEvent.REQUEST])
    pools = [router.pool for router in fleet.routers]
    routers = fleet.model.routers_run
    open_connections = sum(pool.connections.current for pool in pools)
    return RouterLoad(
        handshakes_per_request=counts[CountedEvent.HANDSHAKE] / requests,
        attempts_per_request=counts[CountedEvent.ATTEMPT] / requests,
        mean_connections=sum(pool.connections.mean(now) for pool in pools) / routers,
        max_connections=max(pool.connections.peak for pool in pools),
        idle_share=sum(len(pool.idle) for pool in pools) / max(1, open_connections),
        dials_per_s=counts[CountedEvent.CONNECT] / routers / seconds,
        caches_used=float(np.mean(fleet.statistics.servers_used)),
    )


def decision_cost(fleet: Fleet) -> DecisionCost:
    """Return the processor time of the decision modules since the decision timer was reset."""
    calls = fleet.decision_timer.calls_per_request()
    seconds_per_call = fleet.decision_timer.seconds_per_call()
    return DecisionCost(
        seconds_per_call=seconds_per_call,
        calls_per_request=calls,
        core_share=calls * seconds_per_call * fleet.model.requests_per_s,
    )


def compute_metrics(fleet: Fleet, parameters: Parameters) -> ConnectionsMetrics:
    """Return the metrics of a fleet since its last reset, and its decision cost since the timer's reset."""
    counts = fleet.statistics.counts
    caches = cache_load(fleet, parameters.use_share)
    routers = router_load(fleet)
    decisions = decision_cost(fleet)
    return ConnectionsMetrics(
        routers_run=fleet.model.routers_run,
        cache_connections_mean=caches.mean_connections,
        cache_connections_p99=caches.p99_connections,
        cache_connections_worst=caches.worst_connections,
        cache_connections_worst_high=caches.worst_connections_peak,
        cache_connections_per_core=caches.worst_connections / caches.cores,
        cache_cores=caches.cores,
        cache_requests_per_s=caches.requests_per_s,
        cache_requests_worst_ratio=caches.worst_requests_ratio,
        cache_handshakes_per_s=caches.handshakes_per_s,
        cache_handshake_cores=caches.handshake_cores,
        handshakes_per_request=routers.handshakes_per_request,
        attempts_per_request=routers.attempts_per_request,
        router_connections_mean=routers.mean_connections,
        router_connections_most=routers.max_connections,
        router_idle_share=routers.idle_share,
        router_dials_per_s=routers.dials_per_s,
        caches_met_10s=routers.caches_used,
        handle_cpu_s=decisions.seconds_per_call,
        handle_calls_per_request=decisions.calls_per_request,
        router_core_share=decisions.core_share,
        served_share=counts[CountedEvent.SERVED] / max(1, counts[CountedEvent.CLIENT_REQUEST]),
    )


def measure_sample(parameters: Parameters, size: Size, seed: int, context: ExperimentContext) -> Sample:
    """Warm up the fleet and measure it. Raises TimeLimitReachedError."""
    warm_s = parameters.warm_s if size.warm_s is None else size.warm_s
    model = build_model(parameters, size, warm_s)
    fleet = Fleet(build_settings(parameters), model, seed)
    fleet.decision_timer.reset()
    description = f"{model.routers_run} of {model.routers} routers, {model.caches} caches"
    context.progress(f"{description}: warming")
    run_fleet(fleet, warm_s, context)
    fleet.reset_statistics()
    fleet.record_servers_used_every(SERVERS_USED_WINDOW_S)
    context.progress(f"{description}: measuring")
    run_fleet(fleet, parameters.measured_s, context)
    return Sample(compute_metrics(fleet, parameters).values(), {"latency": latency_histogram(fleet)})


def measure(parameters: Parameters, size: Size, seed: int, context: ExperimentContext) -> Iterator[Sample]:
    """Yield one sample, or none if the time limit passes first."""
    yield from complete_sample(lambda: measure_sample(parameters, size, seed, context))


SCENARIO = Scenario(
    description=__doc__ or "",
    parameters=Parameters,
    size=Size,
    metric_descriptions=ConnectionsMetrics.descriptions(),
    measure=measure,
)
