"""Clients ask for more than the page caches bear, for some seconds; how long is it until all is served again.

The router count of the settings can be far above the routers that are run: the caches' cores are of those
that are run, so that each router sees the load of a large fleet at a cost that can be borne. Its own share
of a cache's load is then larger than in the fleet.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

from scale_experiments.runs.context import ExperimentContext, Sample
from scale_experiments.runs.fleet_run import complete_sample, run_fleet
from scale_experiments.runs.scenario import Scenario, WholeNumber
from scale_experiments.scenarios.zone_loss import recovery_seconds
from scale_experiments.simulation.fleet import Fleet
from scale_experiments.simulation.model import FleetModel, site_settings
from scale_experiments.simulation.statistics import SETTLING_SECONDS, CountedEvent

METRICS = {
    "requests_per_s": "first tries of clients at all routers that are run",
    "before_served_share": "requests of clients served before the surge, retries included",
    "surge_served_share": "of those made in it, up to its last seconds",
    "after_served_share": "of those made in the span after it",
    "recovery_s": "from its end until 95 % of each second's requests are served; the whole span at most",
    "refused_per_request": "refusals for each request taken, after it",
    "attempts_per_request": "attempts at page caches for each request taken, after it",
    "cache_use_share": "attempts received by the caches after it, over what they could serve",
}


class Parameters(BaseModel):
    """What all sizes of an experiment have in common. Times in seconds."""

    model_config = ConfigDict(extra="forbid")

    use_share: Annotated[float, Field(gt=0, le=2)] = 0.6  # of the caches' cores, before
    demand: Annotated[float, Field(gt=1)] = 2.5  # times that of before
    surge_s: Annotated[float, Field(gt=0)] = 3.0
    warm_s: Annotated[float, Field(gt=0)] = 6.0
    before_s: Annotated[float, Field(gt=SETTLING_SECONDS)] = 5.0
    after_s: Annotated[float, Field(gt=SETTLING_SECONDS)] = 30.0
    skew: Annotated[float, Field(ge=0)] = 0.95


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
        zipf_exponent=parameters.skew,
        cores=size.cores,
        zones=3,
    )
    return Fleet(site_settings(), model, seed)


def run_surge(fleet: Fleet, parameters: Parameters, context: ExperimentContext) -> float:
    """The share of requests of clients that is served during the surge."""
    fleet.reset()
    fleet.clients.set_demand(parameters.demand)
    run_fleet(fleet, parameters.surge_s, context)
    counts = fleet.statistics.counts
    return counts[CountedEvent.SERVED] / max(1, counts[CountedEvent.CLIENT_REQUEST])


def measure_recovery(fleet: Fleet, parameters: Parameters, context: ExperimentContext) -> dict[str, float]:
    """The fleet after the surge."""
    fleet.reset()
    fleet.clients.set_demand(1.0)
    run_fleet(fleet, parameters.after_s, context)
    counts, model = fleet.statistics.counts, fleet.model
    requests = max(1, counts[CountedEvent.REQUEST])
    received = sum(cache.received for cache in fleet.caches.values())
    capacity_s = model.caches * model.cores * parameters.after_s
    return {
        "after_served_share": fleet.statistics.served_share(),
        "recovery_s": recovery_seconds(fleet.statistics.served_by_second()),
        "refused_per_request": counts[CountedEvent.REJECTED] / requests,
        "attempts_per_request": counts[CountedEvent.ATTEMPT] / requests,
        "cache_use_share": received * model.mean_service_time / capacity_s,
    }


def measure_sample(parameters: Parameters, size: Size, seed: int, context: ExperimentContext) -> Sample:
    """The fleet before the surge, in it and after it; raises TimeLimitReachedError."""
    fleet = build_fleet(parameters, size, seed)
    run_fleet(fleet, parameters.warm_s, context)
    fleet.reset()
    run_fleet(fleet, parameters.before_s, context)
    before_served_share = fleet.statistics.served_share()
    context.progress("surge")
    surge_served_share = run_surge(fleet, parameters, context)
    context.progress("after the surge")
    return Sample(
        {
            "requests_per_s": requests_per_s(parameters, size),
            "before_served_share": before_served_share,
            "surge_served_share": surge_served_share,
            **measure_recovery(fleet, parameters, context),
        }
    )


def measure(parameters: Parameters, size: Size, seed: int, context: ExperimentContext) -> Iterator[Sample]:
    """One sample; none if the time limit passes first."""
    yield from complete_sample(lambda: measure_sample(parameters, size, seed, context))


SCENARIO = Scenario(
    description=__doc__ or "", parameters=Parameters, size=Size, metric_descriptions=METRICS, measure=measure
)
