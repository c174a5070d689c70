"""Clients ask for more than the page caches bear, for some seconds; how long is it until all is served again.

The number of routers told to the module can be far above those that are run: the caches' cores are of those
that are run, so that each router sees the load of a large fleet at a cost that can be borne. Its own share
of a cache's load is then larger than in the fleet.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

from scale_experiments.context import ExperimentContext, Sample
from scale_experiments.scenarios.zone_loss import recovery_seconds
from scale_experiments.simulation.fleet import Fleet
from scale_experiments.simulation.model import FleetModel, site_settings
from scale_experiments.simulation.statistics import SETTLING_SECONDS, CountedEvent

SIZES = ("routers", "routers_run", "caches", "cores")
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


def measure(
    parameters: Parameters, size: Mapping[str, float], seed: int, context: ExperimentContext
) -> Iterator[Sample]:
    """One sample: `size` has routers, how many of them are run, caches and the cores of a cache."""
    caches, cores, run = int(size["caches"]), int(size["cores"]), int(size["routers_run"])
    unloaded = FleetModel(run, caches, 1.0)
    rate = unloaded.rate_at_utilization(parameters.use_share, cores)
    model = FleetModel(
        routers=int(size["routers"]),
        routers_sampled=run,
        caches=caches,
        requests_per_s=rate / run,
        zipf_exponent=parameters.skew,
        cores=cores,
        zones=3,
    )
    fleet = Fleet(site_settings(), model, seed)
    if not fleet.run(parameters.warm_s, context.expired):
        return
    fleet.reset()
    if not fleet.run(parameters.before_s, context.expired):
        return
    metrics = {"requests_per_s": rate, "before_served_share": fleet.statistics.served_share()}
    context.progress("surge")
    fleet.reset()
    fleet.clients.demand = parameters.demand
    if not fleet.run(parameters.surge_s, context.expired):
        return
    counts = fleet.statistics.counts
    metrics["surge_served_share"] = counts[CountedEvent.SERVED] / max(1, counts[CountedEvent.CLIENT_REQUEST])
    context.progress("after the surge")
    fleet.reset()
    fleet.clients.demand = 1.0
    if not fleet.run(parameters.after_s, context.expired):
        return
    counts = fleet.statistics.counts
    requests = max(1, counts[CountedEvent.REQUEST])
    received = sum(c.received for c in fleet.caches.values())
    yield Sample(
        {
            **metrics,
            "after_served_share": fleet.statistics.served_share(),
            "recovery_s": recovery_seconds(fleet.statistics.served_by_second()),
            "refused_per_request": counts[CountedEvent.REJECTED] / requests,
            "attempts_per_request": counts[CountedEvent.ATTEMPT] / requests,
            "cache_use_share": received * unloaded.mean_service_time / (caches * cores * parameters.after_s),
        }
    )
