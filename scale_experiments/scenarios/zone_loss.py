"""A rack, a zone or a region of page caches is lost and comes back, or the routers of a region are cut off.

What is lost stays silent: connections to it stay open, new ones never come up, and routers are notified late.
It comes back cold and empty. A region that is cut off keeps its routers and caches, which reach only each
other. All routers of the fleet are run, and each cache's rate of requests is the same at all sizes. A size
may set the router count of the settings (`told`) above the routers that are run, for what depends on that
number alone.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field

from cache_router.endpoint import EndpointState
from scale_experiments.runs.context import ExperimentContext, Sample
from scale_experiments.runs.fleet_run import complete_sample, run_fleet
from scale_experiments.runs.scenario import Scenario, WholeNumber
from scale_experiments.simulation.fleet import Fleet
from scale_experiments.simulation.model import FleetModel, site_settings
from scale_experiments.simulation.statistics import SETTLING_SECONDS, CountedEvent

RECOVERED_SHARE = 0.95  # of the requests of a second, served: then it counts as served again
METRICS = {
    "requests_per_s": "first tries of clients in the whole fleet",
    "caches_lost": "page caches that are lost, or are out of reach of the routers that are cut off",
    "before_served_share": "requests of clients served before the loss, retries included",
    "lost_served_share": "of those made while it lasts",
    "lost_worst_served_share": "of those made in the worst second while it lasts",
    "lost_recovery_s": "from the loss until 95 % of each second's requests are served while it lasts",
    "back_served_share": "of those made in the ramp that follows the return",
    "back_worst_served_share": "of those made in the worst second of that",
    "back_recovery_s": "from the return until 95 % of each second's requests are served",
    "apart_served_share": "of those made at routers of the region that is cut off, while it lasts",
    "apart_refused_per_request": "refusals by these routers for each request taken there while it lasts",
    "lost_dials_per_request": "connections tried for each request taken, while it lasts",
    "lost_dials_failed_per_request": "of these, those that failed",
    "before_dials_per_request": "connections tried for each request taken, before the loss",
    "back_dials_per_request": "connections tried for each request taken, after the return",
    "before_attempts_per_request": "attempts at page caches for each request taken, before the loss",
    "lost_attempts_per_request": "attempts at page caches for each request taken, while it lasts",
    "back_attempts_per_request": "attempts at page caches for each request taken, after the return",
    "lost_tries_per_wish": "requests of clients for each thing they wanted, while it lasts",
    "lost_origin_ratio": "attempts at the origin a second while it lasts, over those before",
    "back_origin_ratio": "attempts at the origin a second after the return, over those before",
    "back_budget_slack_share": "most that any cold cache received in a window over its budget with slack",
}


class Parameters(BaseModel):
    """What all sizes of an experiment have in common. Times in seconds."""

    model_config = ConfigDict(extra="forbid")

    lost: Literal["rack", "zone", "region", "cut"]
    zones: Annotated[int, Field(ge=1)] = 50
    regions: Annotated[int, Field(ge=1)] = 25
    rack: Annotated[int, Field(ge=1)] = 1  # caches
    use_share: Annotated[float, Field(gt=0, le=2)] = 0.6  # of the caches' cores
    skew: Annotated[float, Field(ge=0)] = 0.95
    kept: Annotated[int, Field(ge=1)] = 200  # objects in a cache
    objects_per_cache: Annotated[int, Field(ge=1)] = 400
    origin_everywhere: bool = False  # within reach of a region that is cut off
    origin_headroom: Annotated[float, Field(gt=0)] = 2.0  # over what it is asked for at a hit share of 0.9
    tries: Annotated[int, Field(ge=1, le=10)] = 3  # of a client
    warm_s: Annotated[float, Field(gt=0)] = 8.0
    before_s: Annotated[float, Field(gt=SETTLING_SECONDS)] = 6.0
    lost_s: Annotated[float, Field(gt=SETTLING_SECONDS)] = 15.0
    notice_s: Annotated[tuple[float, float], Field()] = (5.3, 1.0)  # of a silent loss, and its spread
    back_notice_s: Annotated[tuple[float, float], Field()] = (1.5, 0.6)


class Size(BaseModel):
    """The columns of a size."""

    routers: WholeNumber = Field(description="routers that are run")
    caches: WholeNumber = Field(description="page caches")
    cores: WholeNumber = Field(description="cores of each page cache")
    told: WholeNumber | None = Field(
        None, description="routers of the fleet, as the settings of each router say; by default `routers`"
    )


def build_fleet(parameters: Parameters, size: Size, seed: int) -> Fleet:
    """The fleet of a size, before its first request."""
    routers, caches, cores = size.routers, size.caches, size.cores
    unloaded = FleetModel(routers, caches, 1.0)
    rate = unloaded.rate_at_utilization(parameters.use_share, cores)
    model = FleetModel(
        routers=routers if size.told is None else size.told,
        routers_sampled=routers,
        caches=caches,
        requests_per_s=rate / routers,
        zones=parameters.zones,
        regions=parameters.regions,
        objects=parameters.objects_per_cache * caches,
        zipf_exponent=parameters.skew,
        cached_objects=parameters.kept,
        cores=cores,
        client_attempts=parameters.tries,
        origin_always_reachable=parameters.origin_everywhere,
        origin_cores=unloaded.origin_cores_for(rate, parameters.origin_headroom),
    )
    return Fleet(site_settings(), model, seed)


def lost_caches(fleet: Fleet, parameters: Parameters) -> list[str]:
    """The caches that are lost: all of one place that is not the origin's."""
    zone = 1 % parameters.zones
    region = zone % parameters.regions
    if parameters.lost in ("region", "cut"):
        return [name for name, c in fleet.caches.items() if c.location.region == region]
    names = [name for name, c in fleet.caches.items() if c.location.zone == zone]
    return names[: parameters.rack] if parameters.lost == "rack" else names


def recovery_seconds(seconds: Sequence[float]) -> float:
    """Seconds until `RECOVERED_SHARE` is reached for good; all of them where the last one does not reach it.

    `seconds` are the shares of requests served in each second.
    """
    return float(max((i + 1 for i, share in enumerate(seconds) if share < RECOVERED_SHARE), default=0))


def per_accepted_request(fleet: Fleet, event: CountedEvent) -> float:
    """How often an event was counted for each request accepted, since the last reset."""
    return fleet.statistics.counts[event] / max(1, fleet.statistics.counts[CountedEvent.REQUEST])


def aftermath(fleet: Fleet, origin_rate_before: float) -> dict[str, float]:
    """What has become of the requests since the last reset."""
    statistics = fleet.statistics
    shares = statistics.served_by_second()
    seconds = fleet.events.now - statistics.counted_from
    origin_rate = statistics.counts[CountedEvent.ORIGIN_ATTEMPT] / seconds
    return {
        "served_share": statistics.served_share(),
        "worst_served_share": min(shares, default=1.0),
        "recovery_s": recovery_seconds(shares),
        "dials_per_request": per_accepted_request(fleet, CountedEvent.CONNECT),
        "attempts_per_request": per_accepted_request(fleet, CountedEvent.ATTEMPT),
        "origin_ratio": origin_rate / max(1e-9, origin_rate_before),
    }


class LossRun:
    """One sample: the fleet, and what of it is lost."""

    def __init__(self, parameters: Parameters, fleet: Fleet, context: ExperimentContext) -> None:
        self.parameters = parameters
        self.fleet = fleet
        self.context = context
        self.names = lost_caches(fleet, parameters)
        self.is_isolation = parameters.lost == "cut"
        self.region = fleet.caches[self.names[0]].location.region
        fleet.statistics.watch_region(self.region)

    def measure(self) -> Sample:
        """All phases in turn; raises TimeLimitReachedError."""
        run_fleet(self.fleet, self.parameters.warm_s, self.context)
        metrics, origin_rate = self.measure_before()
        self.context.progress("lost")
        metrics |= self.measure_loss(origin_rate)
        self.context.progress("back")
        metrics |= self.measure_return(origin_rate)
        return Sample(metrics)

    def measure_before(self) -> tuple[dict[str, float], float]:
        """The fleet before the loss; also the attempts at the origin a second."""
        fleet, seconds = self.fleet, self.parameters.before_s
        fleet.reset()
        run_fleet(fleet, seconds, self.context)
        lost = len(fleet.caches) - len(self.names) if self.is_isolation else len(self.names)
        metrics = {
            "requests_per_s": fleet.model.requests_per_s * fleet.model.routers_run,
            "caches_lost": float(lost),
            "before_served_share": fleet.statistics.served_share(),
            "before_dials_per_request": per_accepted_request(fleet, CountedEvent.CONNECT),
            "before_attempts_per_request": per_accepted_request(fleet, CountedEvent.ATTEMPT),
        }
        return metrics, fleet.statistics.counts[CountedEvent.ORIGIN_ATTEMPT] / seconds

    def measure_loss(self, origin_rate: float) -> dict[str, float]:
        """The fleet while the loss lasts."""
        fleet = self.fleet
        fleet.reset()
        if self.is_isolation:
            fleet.network.isolate_region(self.region)
        else:
            fleet.fail_servers(self.names)
            fleet.notify_all(self.names, EndpointState.REMOVED, *self.parameters.notice_s)
        run_fleet(fleet, self.parameters.lost_s, self.context)
        counts, isolated = fleet.statistics.counts, fleet.statistics.watched.totals
        client_requests = max(1, counts[CountedEvent.CLIENT_REQUEST])
        isolated_requests = max(1, isolated[CountedEvent.REQUEST])
        return {
            **{f"lost_{name}": value for name, value in aftermath(fleet, origin_rate).items()},
            "lost_dials_failed_per_request": per_accepted_request(fleet, CountedEvent.CONNECT_FAILED),
            "lost_tries_per_wish": counts[CountedEvent.REQUEST] / client_requests,
            "apart_served_share": fleet.statistics.watched_served_share(),
            "apart_refused_per_request": isolated[CountedEvent.REJECTED] / isolated_requests,
        }

    def measure_return(self, origin_rate: float) -> dict[str, float]:
        """The fleet until the slow start after the return is over."""
        fleet = self.fleet
        fleet.reset()
        if self.is_isolation:
            fleet.network.reconnect_regions()
        else:
            fleet.restore_servers(self.names)
            for name in self.names:
                fleet.caches[name].record_arrivals()
            fleet.notify_all(self.names, EndpointState.READY, *self.parameters.back_notice_s)
        notice_s = sum(self.parameters.back_notice_s)
        run_fleet(fleet, fleet.settings.slow_start_duration + notice_s + SETTLING_SECONDS, self.context)
        metrics = {f"back_{name}": value for name, value in aftermath(fleet, origin_rate).items()}
        uses = [fleet.budget_use(fleet.caches[name]) for name in self.names]
        metrics["back_budget_slack_share"] = max(use.with_slack for use in uses)
        return metrics


def measure(parameters: Parameters, size: Size, seed: int, context: ExperimentContext) -> Iterator[Sample]:
    """One sample; none if the time limit passes first."""
    fleet = build_fleet(parameters, size, seed)
    yield from complete_sample(LossRun(parameters, fleet, context).measure)


SCENARIO = Scenario(
    description=__doc__ or "", parameters=Parameters, size=Size, metric_descriptions=METRICS, measure=measure
)
