"""Recovery after a surge: for some seconds, clients send more requests than the cache servers can serve.

The router count in the settings may be much larger than the number of routers that are simulated. The page
caches have cores only for the simulated routers. Each router thus experiences the load of a large fleet,
while only a few routers have to be simulated. The share of one router in the load of a cache is then larger
than in that fleet.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from pydantic import BaseModel, ConfigDict, Field

from scale_experiments.runs.context import ExperimentContext
from scale_experiments.runs.fleet_run import complete_sample, run_fleet
from scale_experiments.runs.metrics import Metrics, PerSecond, Ratio, Seconds, Share
from scale_experiments.runs.sample import Sample
from scale_experiments.runs.scenario import Scenario, WholeNumber
from scale_experiments.scenarios.recovery import recovery_seconds
from scale_experiments.simulation.fleet import Fleet
from scale_experiments.simulation.model import FleetModel, site_settings
from scale_experiments.simulation.statistics import SETTLING_SECONDS, CountedEvent


class SurgeMetrics(Metrics):
    """Requests before, during and after the surge."""

    requests_per_s: PerSecond = Field(
        description="requests of clients at all simulated routers before the surge, without retries"
    )
    before_served_share: Share = Field(
        description="share of clients' requests before the surge that were served, retries included"
    )
    surge_served_share: Share = Field(
        description="share of the requests made during the surge that were served before its end"
    )
    after_served_share: Share = Field(
        description="share of the requests made after the surge that were served"
    )
    recovery_s: Seconds = Field(
        description="time from the end of the surge until 95% of each second's requests are served; at most"
        " the time measured"
    )
    refused_per_request: Ratio = Field(
        description="requests rejected for each request that routers accepted, after the surge"
    )
    attempts_per_request: Ratio = Field(
        description="attempts at cache servers for each request that routers accepted, after the surge"
    )
    cache_use_share: Share = Field(
        description="attempts that the caches received after the surge, over those that they can serve"
    )


class Parameters(BaseModel):
    """The parameters that all sizes of an experiment share. Times are in seconds; aliases are the keys."""

    model_config = ConfigDict(extra="forbid")

    use_share: float = Field(
        0.6, gt=0, le=2, description="share of the caches' cores that the load keeps busy before the surge"
    )
    demand: float = Field(2.5, gt=1, description="rate of requests during the surge over the rate before it")
    surge_s: float = Field(3.0, gt=0, description="duration of the surge")
    warm_s: float = Field(6.0, gt=0, description="duration of the load before it is measured")
    before_s: float = Field(5.0, gt=SETTLING_SECONDS, description="time measured before the surge")
    after_s: float = Field(30.0, gt=SETTLING_SECONDS, description="time measured after the surge")
    zipf_exponent: float = Field(
        0.95, alias="skew", ge=0, description="exponent of the popularity of keys (Zipf's law)"
    )


class Size(BaseModel):
    """The columns of one size of an experiment."""

    routers: WholeNumber = Field(description="router count in the settings of each router")
    routers_run: WholeNumber = Field(description="routers that are simulated")
    caches: WholeNumber = Field(description="cache servers")
    cores: WholeNumber = Field(description="cores of each cache server")


def requests_per_s(parameters: Parameters, size: Size) -> float:
    """Return the rate of requests before the surge, at all simulated routers together."""
    unloaded = FleetModel(size.routers_run, size.caches, 1.0)
    return unloaded.rate_at_utilization(parameters.use_share, size.cores)


def build_fleet(parameters: Parameters, size: Size, seed: int) -> Fleet:
    """Create the fleet of a size, before its first request."""
    model = FleetModel(
        routers=size.routers,
        routers_sampled=size.routers_run,
        caches=size.caches,
        requests_per_s=requests_per_s(parameters, size) / size.routers_run,
        zipf_exponent=parameters.zipf_exponent,
        cores=size.cores,
        zones=3,
    )
    return Fleet(site_settings(), model, seed)


def run_surge(fleet: Fleet, parameters: Parameters, context: ExperimentContext) -> float:
    """Run the surge; return the share of its client requests that were served before its end.

    Raises TimeLimitReachedError.
    """
    fleet.reset_statistics()
    fleet.clients.set_demand(parameters.demand)
    run_fleet(fleet, parameters.surge_s, context)
    counts = fleet.statistics.counts
    return counts[CountedEvent.SERVED] / max(1, counts[CountedEvent.CLIENT_REQUEST])


@dataclass(slots=True, frozen=True)
class Recovery:
    """Metrics of the fleet after the surge, as described in `SurgeMetrics`."""

    served_share: float
    recovery_s: float
    refused_per_request: float
    attempts_per_request: float
    cache_use_share: float


def measure_recovery(fleet: Fleet, parameters: Parameters, context: ExperimentContext) -> Recovery:
    """Run the fleet after the surge and measure it. Raises TimeLimitReachedError."""
    fleet.reset_statistics()
    fleet.clients.set_demand(1.0)
    run_fleet(fleet, parameters.after_s, context)
    counts, model = fleet.statistics.counts, fleet.model
    requests = max(1, counts[CountedEvent.REQUEST])
    received = sum(cache.received for cache in fleet.caches.values())
    capacity_s = model.caches * model.cores * parameters.after_s
    return Recovery(
        served_share=fleet.statistics.served_share(),
        recovery_s=recovery_seconds(fleet.statistics.served_by_second()),
        refused_per_request=counts[CountedEvent.REJECTED] / requests,
        attempts_per_request=counts[CountedEvent.ATTEMPT] / requests,
        cache_use_share=received * model.mean_service_time / capacity_s,
    )


def measure_sample(parameters: Parameters, size: Size, seed: int, context: ExperimentContext) -> Sample:
    """Measure the fleet before, during and after the surge. Raises TimeLimitReachedError."""
    fleet = build_fleet(parameters, size, seed)
    run_fleet(fleet, parameters.warm_s, context)
    fleet.reset_statistics()
    run_fleet(fleet, parameters.before_s, context)
    before_served_share = fleet.statistics.served_share()
    context.progress("surge")
    surge_served_share = run_surge(fleet, parameters, context)
    context.progress("after the surge")
    recovery = measure_recovery(fleet, parameters, context)
    metrics = SurgeMetrics(
        requests_per_s=requests_per_s(parameters, size),
        before_served_share=before_served_share,
        surge_served_share=surge_served_share,
        after_served_share=recovery.served_share,
        recovery_s=recovery.recovery_s,
        refused_per_request=recovery.refused_per_request,
        attempts_per_request=recovery.attempts_per_request,
        cache_use_share=recovery.cache_use_share,
    )
    return Sample(metrics.values())


def measure(parameters: Parameters, size: Size, seed: int, context: ExperimentContext) -> Iterator[Sample]:
    """Yield one sample, or none if the time limit passes first."""
    yield from complete_sample(lambda: measure_sample(parameters, size, seed, context))


SCENARIO = Scenario(
    description=__doc__ or "",
    parameters=Parameters,
    size=Size,
    metric_descriptions=SurgeMetrics.descriptions(),
    measure=measure,
)
