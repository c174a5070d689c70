"""Clients send more requests than the page caches can serve; how long until all requests are served again.

The surge lasts some seconds. The settings may state many more routers than are run. The page caches have
cores for the routers that are run only, so that each router sees the load of a large fleet at a fraction of
its cost. The share of one router in the load of a cache is then larger than in that fleet.
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
    """Requests before, in and after the surge."""

    requests_per_s: PerSecond = Field(description="first attempts of clients at all routers that are run")
    before_served_share: Share = Field(
        description="requests of clients served before the surge, retries included"
    )
    surge_served_share: Share = Field(description="of those made in it, up to its last seconds")
    after_served_share: Share = Field(description="of those made in the time measured after it")
    recovery_s: Seconds = Field(
        description="from its end until 95 % of each second's requests are served; at most the time measured"
        " after it"
    )
    refused_per_request: Ratio = Field(description="rejections for each request accepted, after it")
    attempts_per_request: Ratio = Field(
        description="attempts at page caches for each request accepted, after it"
    )
    cache_use_share: Share = Field(
        description="attempts received by the caches after it, over what they could serve"
    )


class Parameters(BaseModel):
    """What all sizes of an experiment have in common. Times are in seconds; aliases are the keys."""

    model_config = ConfigDict(extra="forbid")

    use_share: float = Field(
        0.6, gt=0, le=2, description="share of the caches' cores in use before the surge"
    )
    demand: float = Field(2.5, gt=1, description="rate of requests in the surge, over the rate before it")
    surge_s: float = Field(3.0, gt=0, description="how long the surge lasts")
    warm_s: float = Field(6.0, gt=0, description="of load before it is measured")
    before_s: float = Field(5.0, gt=SETTLING_SECONDS, description="measured before the surge")
    after_s: float = Field(30.0, gt=SETTLING_SECONDS, description="measured after the surge")
    zipf_exponent: float = Field(
        0.95, alias="skew", ge=0, description="exponent of the popularity of keys (Zipf's law)"
    )


class Size(BaseModel):
    """The columns of a size."""

    routers: WholeNumber = Field(description="routers of the fleet, as the settings of each router say")
    routers_run: WholeNumber = Field(description="routers that are run")
    caches: WholeNumber = Field(description="page caches")
    cores: WholeNumber = Field(description="cores of each page cache")


def requests_per_s(parameters: Parameters, size: Size) -> float:
    """Requests at all routers that are run, before the surge."""
    unloaded = FleetModel(size.routers_run, size.caches, 1.0)
    return unloaded.rate_at_utilization(parameters.use_share, size.cores)


def build_fleet(parameters: Parameters, size: Size, seed: int) -> Fleet:
    """The fleet of a size, before its first request."""
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
    """Run the surge; returns the share of clients' requests that is served in it.

    Raises TimeLimitReachedError.
    """
    fleet.reset()
    fleet.clients.set_demand(parameters.demand)
    run_fleet(fleet, parameters.surge_s, context)
    counts = fleet.statistics.counts
    return counts[CountedEvent.SERVED] / max(1, counts[CountedEvent.CLIENT_REQUEST])


@dataclass(slots=True, frozen=True)
class Recovery:
    """The fleet after the surge; the fields are metrics."""

    served_share: float
    recovery_s: float
    refused_per_request: float
    attempts_per_request: float
    cache_use_share: float


def measure_recovery(fleet: Fleet, parameters: Parameters, context: ExperimentContext) -> Recovery:
    """Run the fleet after the surge; raises TimeLimitReachedError."""
    fleet.reset()
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
    """Measure the fleet before, in and after the surge; raises TimeLimitReachedError."""
    fleet = build_fleet(parameters, size, seed)
    run_fleet(fleet, parameters.warm_s, context)
    fleet.reset()
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
    """One sample; none if the time limit passes first."""
    yield from complete_sample(lambda: measure_sample(parameters, size, seed, context))


SCENARIO = Scenario(
    description=__doc__ or "",
    parameters=Parameters,
    size=Size,
    metric_descriptions=SurgeMetrics.descriptions(),
    measure=measure,
)
