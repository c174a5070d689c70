"""One page cache starts cold, and all routers together may send it only so much.

The cache goes, others take its keys, and it comes back empty; each router is notified at its own time. What
then reaches it, in every window of the settings' length, is set against its budget. All routers of the fleet
are run, and each cache's rate of requests is the same at all sizes.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field

from cache_router.endpoint import EndpointState
from scale_experiments.runs.context import ExperimentContext, Sample
from scale_experiments.runs.fleet_run import complete_sample, run_fleet
from scale_experiments.runs.scenario import Scenario, WholeNumber
from scale_experiments.simulation.cache_server import CacheServer
from scale_experiments.simulation.fleet import Fleet
from scale_experiments.simulation.key_placement import place_keys
from scale_experiments.simulation.model import FleetModel, site_settings
from scale_experiments.simulation.slow_start import capacity_within
from scale_experiments.simulation.statistics import CountedEvent

MOST_POPULAR_KEY = "page:0"
REMOVAL_NOTICE_S = 0.5  # from the removal until the first router is notified
WARM_WINDOWS = 2  # windows of the settings after the slow start, in which the cache's share is measured

METRICS = {
    "requests_per_s": "first tries of clients in the whole fleet",
    "budget_share": "most that the cold cache received in a window, over its budget N in that window",
    "budget_slack_share": "the same over N + 2 x root of N + 2, the slack for chance",
    "budget_first_count": "budget N of the window that begins with the cache's start",
    "received": "attempts that the cold cache received until it was warm",
    "received_again_share": "of these, second or later attempts of their request",
    "fair_share": "attempts received by the cold cache from warm to the end, over the mean of all caches",
    "served_share": "requests of clients served from the start until warm, retries included",
    "attempts_per_request": "attempts at page caches for each request taken, from the start until warm",
    "tries_per_wish": "requests that clients made for each thing they wanted, from the start until warm",
    "origin_per_request": "attempts at the origin for each request taken, from the start until warm",
}


class Parameters(BaseModel):
    """What all sizes of an experiment have in common. Times in seconds."""

    model_config = ConfigDict(extra="forbid")

    use_share: Annotated[float, Field(gt=0, le=2)] = 0.6  # of the caches' cores
    skew: Annotated[float, Field(ge=0)] = 0.95
    flat: Annotated[float, Field(ge=0)] = 10.0
    watched: Literal["hottest", "any"] = "any"  # the cache that holds the most popular key, or the first
    tries: Annotated[int, Field(ge=1, le=10)] = 3  # of a client
    second_copies: bool = True
    restarted_share: Annotated[float, Field(ge=0, le=1)] = 0.0  # of routers, as the cache starts
    kept: Annotated[int, Field(ge=1)] = 200  # objects in a cache
    objects_per_cache: Annotated[int, Field(ge=1)] = 400
    origin_headroom: Annotated[float, Field(gt=0)] = 2.0  # over what it is asked for at a hit share of 0.9
    warm_s: Annotated[float, Field(gt=0)] = 10.0
    absent_s: Annotated[float, Field(gt=0)] = 6.0
    notice_s: Annotated[float, Field(ge=0)] = 1.5
    spread_s: Annotated[float, Field(ge=0)] = 0.6


class Size(BaseModel):
    """The columns of a size."""

    routers: WholeNumber = Field(description="routers of the fleet, all of which are run")
    caches: WholeNumber = Field(description="page caches")
    cores: WholeNumber = Field(description="cores of each page cache")


def build_fleet(parameters: Parameters, size: Size, seed: int) -> Fleet:
    """The fleet of a size, before its first request."""
    routers, caches, cores = size.routers, size.caches, size.cores
    unloaded = FleetModel(routers, caches, 1.0)
    rate = unloaded.rate_at_utilization(parameters.use_share, cores)
    model = FleetModel(
        routers=routers,
        caches=caches,
        requests_per_s=rate / routers,
        objects=parameters.objects_per_cache * caches,
        zipf_exponent=parameters.skew,
        rank_offset=parameters.flat,
        cached_objects=parameters.kept,
        cores=cores,
        client_attempts=parameters.tries,
        zones=3,
        origin_cores=unloaded.origin_cores_for(rate, parameters.origin_headroom),
    )
    return Fleet(site_settings(hedging_allowed=parameters.second_copies), model, seed)


def select_cache(fleet: Fleet, parameters: Parameters) -> CacheServer:
    """The cache that is watched: the one that holds the most popular key, or the first."""
    endpoints = [cache.endpoint for cache in fleet.caches.values()]
    name = endpoints[0].name
    if parameters.watched == "hottest":
        name = next(place_keys(fleet.settings, endpoints, [MOST_POPULAR_KEY]))
    return fleet.caches[name]


def remove_cache(fleet: Fleet, cache: CacheServer, parameters: Parameters) -> None:
    """Shut the cache down, and have all routers notified."""
    name = cache.endpoint.name
    fleet.fail_servers([name], is_silent=False)
    fleet.notify_all([name], EndpointState.REMOVED, REMOVAL_NOTICE_S, parameters.spread_s)


def restore_cache(fleet: Fleet, cache: CacheServer, parameters: Parameters) -> None:
    """Start the cache empty, begin to count, and have all routers notified; some of them restart."""
    name = cache.endpoint.name
    fleet.restore_servers([name])
    cache.record_arrivals()
    fleet.reset()
    fleet.notify_all([name], EndpointState.READY, parameters.notice_s, parameters.spread_s)
    if parameters.restarted_share:
        # with the list as it is now: a new process gets it before its first request
        restarted = fleet.routers[: round(parameters.restarted_share * len(fleet.routers))]
        fleet.restart_routers(restarted, parameters.notice_s, parameters.spread_s)


def slow_start_metrics(fleet: Fleet, cache: CacheServer) -> dict[str, float]:
    """What has happened since the cache started."""
    counts = fleet.statistics.counts
    requests = max(1, counts[CountedEvent.REQUEST])
    received = len(cache.arrivals or ())
    return {
        "received": received,
        "received_again_share": cache.received_retries / max(1, received),
        "served_share": fleet.statistics.served_share(),
        "attempts_per_request": counts[CountedEvent.ATTEMPT] / requests,
        "tries_per_wish": counts[CountedEvent.REQUEST] / max(1, counts[CountedEvent.CLIENT_REQUEST]),
        "origin_per_request": counts[CountedEvent.ORIGIN_ATTEMPT] / requests,
    }


def budget_metrics(fleet: Fleet, cache: CacheServer) -> dict[str, float]:
    """How far the cache's budget was used in the windows since its start."""
    settings = fleet.settings
    use = fleet.budget_use(cache)
    first_capacity = capacity_within(settings, fleet.model, 0.0, settings.overload_window)
    return {
        "budget_share": use.strict,
        "budget_slack_share": use.with_slack,
        "budget_first_count": settings.overload_multiple * first_capacity,
    }


def measure_sample(parameters: Parameters, size: Size, seed: int, context: ExperimentContext) -> Sample:
    """Warm up, remove the cache, start it cold, and wait until some windows after its slow start."""
    fleet = build_fleet(parameters, size, seed)
    cache = select_cache(fleet, parameters)
    settings = fleet.settings
    run_fleet(fleet, parameters.warm_s, context)
    context.progress("the cache goes")
    remove_cache(fleet, cache, parameters)
    run_fleet(fleet, parameters.absent_s, context)
    context.progress("the cache starts")
    restore_cache(fleet, cache, parameters)
    run_fleet(fleet, settings.slow_start_duration, context)
    metrics = {"requests_per_s": fleet.model.requests_per_s * fleet.model.routers}
    metrics |= slow_start_metrics(fleet, cache)
    for each in fleet.caches.values():
        each.reset_statistics()
    run_fleet(fleet, settings.overload_window * WARM_WINDOWS, context)
    mean_received = sum(each.received for each in fleet.caches.values()) / len(fleet.caches)
    metrics["fair_share"] = cache.received / max(1e-9, mean_received)
    metrics |= budget_metrics(fleet, cache)
    return Sample({name: metrics[name] for name in METRICS})


def measure(parameters: Parameters, size: Size, seed: int, context: ExperimentContext) -> Iterator[Sample]:
    """One sample; none if the time limit passes first."""
    yield from complete_sample(lambda: measure_sample(parameters, size, seed, context))


SCENARIO = Scenario(
    description=__doc__ or "", parameters=Parameters, size=Size, metric_descriptions=METRICS, measure=measure
)
