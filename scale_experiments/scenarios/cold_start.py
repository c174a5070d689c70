"""One cache server restarts empty and warms up; a budget limits the load that all routers together send it.

The cache is shut down, other caches take over its keys, and it restarts empty. Each router is notified of
both changes at a random time. The attempts that the cache receives in each window of
`Settings.overload_window` seconds are compared with its budget for that window. All routers of the fleet are
simulated. The rate of requests for each cache is the same at all sizes.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Literal

from pydantic import BaseModel, ConfigDict, Field

from cache_router.endpoint import EndpointState
from scale_experiments.runs.context import ExperimentContext
from scale_experiments.runs.fleet_run import complete_sample, run_fleet
from scale_experiments.runs.metrics import Count, Metrics, PerSecond, Ratio, Share
from scale_experiments.runs.sample import Sample
from scale_experiments.runs.scenario import Scenario, WholeNumber
from scale_experiments.simulation.cache_server import CacheServer
from scale_experiments.simulation.fleet import Fleet
from scale_experiments.simulation.key_placement import place_keys
from scale_experiments.simulation.model import FleetModel, site_settings
from scale_experiments.simulation.slow_start import capacity_within
from scale_experiments.simulation.statistics import CountedEvent

MOST_POPULAR_KEY = "page:0"
REMOVAL_NOTICE_S = 0.5  # delay from the shutdown until the first router is notified
FAIR_SHARE_WINDOWS = 2  # overload windows after the slow start, over which the fair share is measured
MIN_MEAN_RECEIVED = 1e-9  # avoids a division by zero if no cache received an attempt


class ColdStartMetrics(Metrics):
    """Load and served requests during the slow start of the watched cache, and its load shortly after."""

    requests_per_s: PerSecond = Field(description="requests of clients in the whole fleet, without retries")
    budget_share: Share = Field(
        description="highest ratio, in any window, of attempts at the warming cache to its budget N"
    )
    budget_slack_share: Share = Field(
        description="budget_share relative to N + 2 x sqrt(N) + 2, a budget with a statistical tolerance"
    )
    budget_first_count: Count = Field(
        description="budget N, in attempts, of the window that begins as the cache starts"
    )
    received: Count = Field(description="attempts that the warming cache received during its slow start")
    received_again_share: Share = Field(
        description="share of these attempts that were the second or a later one of their request"
    )
    fair_share: Share = Field(
        description="attempts at the cache shortly after its slow start, over the mean of all caches"
    )
    served_share: Share = Field(
        description="share of clients' requests during the slow start that were served, retries included"
    )
    attempts_per_request: Ratio = Field(
        description="attempts at cache servers for each request that routers accepted, during the slow start"
    )
    tries_per_wish: Ratio = Field(
        description="requests accepted by routers for each object that a client needs, in the slow start"
    )
    origin_per_request: Ratio = Field(
        description="attempts at the origin for each request that routers accepted, during the slow start"
    )


class Parameters(BaseModel):
    """The parameters that all sizes of an experiment share. Times are in seconds; aliases are the keys."""

    model_config = ConfigDict(extra="forbid")

    use_share: float = Field(
        0.6, gt=0, le=2, description="share of the caches' cores that the load keeps busy"
    )
    zipf_exponent: float = Field(
        0.95, alias="skew", ge=0, description="exponent of the popularity of keys (Zipf's law)"
    )
    rank_offset: float = Field(
        10.0,
        alias="flat",
        ge=0,
        description="number added to the rank of each key; makes their popularity more even",
    )
    watched: Literal["hottest", "any"] = Field(
        "any", description="the cache that restarts: with the most popular key (hottest), or the first (any)"
    )
    client_attempts: int = Field(
        3,
        alias="tries",
        ge=1,
        le=10,
        description="maximum number of requests that a client makes for one object",
    )
    hedging_allowed: bool = Field(True, alias="second_copies", description="whether routers hedge requests")
    restarted_share: float = Field(
        0.0, ge=0, le=1, description="share of the routers that are restarted when the cache restarts"
    )
    cached_objects: int = Field(200, alias="kept", ge=1, description="objects that a cache can hold")
    objects_per_cache: int = Field(400, ge=1, description="distinct objects for each cache of the fleet")
    origin_headroom: float = Field(
        2.0, gt=0, description="capacity of the origin over its load at a hit share of 0.9"
    )
    warm_s: float = Field(10.0, gt=0, description="duration of the load before the cache is shut down")
    absent_s: float = Field(6.0, gt=0, description="time from the shutdown of the cache until its restart")
    notice_s: float = Field(
        1.5, ge=0, description="delay from the restart until the first router is notified"
    )
    spread_s: float = Field(
        0.6, ge=0, description="longest random delay that is added to the notification of each router"
    )


class Size(BaseModel):
    """The columns of one size of an experiment."""

    routers: WholeNumber = Field(description="routers of the fleet, all of which are simulated")
    caches: WholeNumber = Field(description="cache servers")
    cores: WholeNumber = Field(description="cores of each cache server")


def build_fleet(parameters: Parameters, size: Size, seed: int) -> Fleet:
    """Create the fleet of a size, before its first request."""
    routers, caches, cores = size.routers, size.caches, size.cores
    unloaded = FleetModel(routers, caches, 1.0)
    rate = unloaded.rate_at_utilization(parameters.use_share, cores)
    model = FleetModel(
        routers=routers,
        caches=caches,
        requests_per_s=rate / routers,
        objects=parameters.objects_per_cache * caches,
        zipf_exponent=parameters.zipf_exponent,
        rank_offset=parameters.rank_offset,
        cached_objects=parameters.cached_objects,
        cores=cores,
        client_attempts=parameters.client_attempts,
        zones=3,
        origin_cores=unloaded.origin_cores_for(rate, parameters.origin_headroom),
    )
    return Fleet(site_settings(hedging_allowed=parameters.hedging_allowed), model, seed)


def select_cache(fleet: Fleet, parameters: Parameters) -> CacheServer:
    """Return the cache to restart: the one to which the most popular key is assigned, or the first."""
    endpoints = [cache.endpoint for cache in fleet.caches.values()]
    name = endpoints[0].name
    if parameters.watched == "hottest":
        name = next(place_keys(fleet.settings, endpoints, [MOST_POPULAR_KEY]))
    return fleet.caches[name]


def remove_cache(fleet: Fleet, cache: CacheServer, parameters: Parameters) -> None:
    """Shut the cache down and notify all routers."""
    name = cache.endpoint.name
    fleet.fail_servers([name], is_silent=False)
    fleet.send_endpoint_updates([name], EndpointState.REMOVED, REMOVAL_NOTICE_S, parameters.spread_s)


def restore_cache(fleet: Fleet, cache: CacheServer, parameters: Parameters) -> None:
    """Restart the cache empty, reset the statistics, notify all routers, and restart some of them."""
    name = cache.endpoint.name
    fleet.restore_servers([name])
    cache.record_arrivals()
    fleet.reset_statistics()
    fleet.send_endpoint_updates([name], EndpointState.READY, parameters.notice_s, parameters.spread_s)
    if parameters.restarted_share:
        # They start with the current endpoint list, which a new process receives before its first request.
        restarted = fleet.routers[: round(parameters.restarted_share * len(fleet.routers))]
        fleet.restart_routers(restarted, parameters.notice_s, parameters.spread_s)


@dataclass(slots=True, frozen=True)
class SlowStartUsage:
    """Load of the warming cache, and attempts for each request of the fleet, since the cache started."""

    received: int  # attempts that the cache received
    later_attempts_share: float  # share of `received` that were not their request's first attempt
    served_share: float  # share of the requests of clients that were served
    attempts_per_request: float
    requests_per_client_request: float
    origin_attempts_per_request: float


@dataclass(slots=True, frozen=True)
class WarmingCacheBudget:
    """The budget of the warming cache, and the largest share of it that was used in any window."""

    used_share: float
    used_share_with_tolerance: float  # the tolerance is explained at `BudgetUse`
    first_window: float  # budget of the window that begins as the cache starts, in attempts


def slow_start_usage(fleet: Fleet, cache: CacheServer) -> SlowStartUsage:
    """Return the usage since the cache started, which is when the fleet's statistics were last reset."""
    counts = fleet.statistics.counts
    requests = max(1, counts[CountedEvent.REQUEST])
    received = len(cache.arrivals or ())
    client_requests = max(1, counts[CountedEvent.CLIENT_REQUEST])
    return SlowStartUsage(
        received=received,
        later_attempts_share=cache.received_retries / max(1, received),
        served_share=fleet.statistics.served_share(),
        attempts_per_request=counts[CountedEvent.ATTEMPT] / requests,
        requests_per_client_request=counts[CountedEvent.REQUEST] / client_requests,
        origin_attempts_per_request=counts[CountedEvent.ORIGIN_ATTEMPT] / requests,
    )


def warming_cache_budget(fleet: Fleet, cache: CacheServer) -> WarmingCacheBudget:
    """Return the budget of the warming cache and its use since the cache started."""
    settings = fleet.settings
    use = fleet.budget_use(cache)
    first_capacity = capacity_within(settings, fleet.model, 0.0, settings.overload_window)
    return WarmingCacheBudget(
        used_share=use.strict,
        used_share_with_tolerance=use.with_tolerance,
        first_window=settings.overload_multiple * first_capacity,
    )


def fair_share(fleet: Fleet, cache: CacheServer, context: ExperimentContext) -> float:
    """Run the fleet after the slow start; return the attempts at the cache over the mean of all caches.

    Raises TimeLimitReachedError.
    """
    for server in fleet.caches.values():
        server.reset_statistics()
    run_fleet(fleet, fleet.settings.overload_window * FAIR_SHARE_WINDOWS, context)
    mean_received = sum(server.received for server in fleet.caches.values()) / len(fleet.caches)
    return cache.received / max(MIN_MEAN_RECEIVED, mean_received)


def measure_sample(parameters: Parameters, size: Size, seed: int, context: ExperimentContext) -> Sample:
    """Warm up the fleet, shut the cache down, restart it empty, and measure its slow start.

    Raises TimeLimitReachedError.
    """
    fleet = build_fleet(parameters, size, seed)
    cache = select_cache(fleet, parameters)
    run_fleet(fleet, parameters.warm_s, context)
    context.progress("cache shut down")
    remove_cache(fleet, cache, parameters)
    run_fleet(fleet, parameters.absent_s, context)
    context.progress("cache restarted")
    restore_cache(fleet, cache, parameters)
    run_fleet(fleet, fleet.settings.slow_start_duration, context)
    usage = slow_start_usage(fleet, cache)
    share = fair_share(fleet, cache, context)
    budget = warming_cache_budget(fleet, cache)
    metrics = ColdStartMetrics(
        requests_per_s=fleet.model.requests_per_s * fleet.model.routers,
        budget_share=budget.used_share,
        budget_slack_share=budget.used_share_with_tolerance,
        budget_first_count=budget.first_window,
        received=usage.received,
        received_again_share=usage.later_attempts_share,
        fair_share=share,
        served_share=usage.served_share,
        attempts_per_request=usage.attempts_per_request,
        tries_per_wish=usage.requests_per_client_request,
        origin_per_request=usage.origin_attempts_per_request,
    )
    return Sample(metrics.values())


def measure(parameters: Parameters, size: Size, seed: int, context: ExperimentContext) -> Iterator[Sample]:
    """Yield one sample, or none if the time limit passes first."""
    yield from complete_sample(lambda: measure_sample(parameters, size, seed, context))


SCENARIO = Scenario(
    description=__doc__ or "",
    parameters=Parameters,
    size=Size,
    metric_descriptions=ColdStartMetrics.descriptions(),
    measure=measure,
)
