"""A rack, a zone or a region of page caches is lost and comes back, or the routers of a region are cut off.

What is lost stays silent: connections to it stay open, new ones never come up, and each router is told late.
It comes back cold and empty. A region that is cut off keeps its routers and caches, which reach only each
other. All routers of the fleet are run, and each cache's rate of requests is the same at all sizes. A size
may have the module told of more routers than are run (`told`), for what rests on their number alone.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field

from cache_router.endpoint import EndpointState
from scale_experiments.context import ExperimentContext, Sample
from scale_experiments.simulation.fleet import Fleet
from scale_experiments.simulation.model import FleetModel, site_settings
from scale_experiments.simulation.statistics import SETTLING_SECONDS, CountedEvent

SIZES = ("routers", "caches", "cores")
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


def build_fleet(parameters: Parameters, size: Mapping[str, float], seed: int) -> Fleet:
    """The fleet at rest."""
    routers, caches, cores = int(size["routers"]), int(size["caches"]), int(size["cores"])
    unloaded = FleetModel(routers, caches, 1.0)
    rate = unloaded.rate_at_utilization(parameters.use_share, cores)
    model = FleetModel(
        routers=int(size.get("told", routers)),
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
    """Seconds until each later one has been good; the whole span where the last one was not."""
    return float(max((i + 1 for i, share in enumerate(seconds) if share < RECOVERED_SHARE), default=0))


def per_accepted_request(fleet: Fleet, event: CountedEvent) -> float:
    """How often an event was counted for each request accepted, since the last reset."""
    return fleet.statistics.counts[event] / max(1, fleet.statistics.counts[CountedEvent.REQUEST])


def measure(
    parameters: Parameters, size: Mapping[str, float], seed: int, context: ExperimentContext
) -> Iterator[Sample]:
    """One sample: `size` has routers, caches and the cores of a cache."""
    fleet = build_fleet(parameters, size, seed)
    names = lost_caches(fleet, parameters)
    isolated = parameters.lost == "cut"
    region = fleet.caches[names[0]].location.region
    fleet.statistics.watched_regions = {region}
    if not fleet.run(parameters.warm_s, context.expired):
        return
    fleet.reset()
    if not fleet.run(parameters.before_s, context.expired):
        return
    origin_before = fleet.statistics.counts[CountedEvent.ORIGIN_ATTEMPT] / parameters.before_s
    metrics = {
        "requests_per_s": fleet.model.requests_per_s * fleet.model.routers_run,
        "caches_lost": float(len(fleet.caches) - len(names) if isolated else len(names)),
        "before_served_share": fleet.statistics.served_share(),
        "before_dials_per_request": per_accepted_request(fleet, CountedEvent.CONNECT),
        "before_attempts_per_request": per_accepted_request(fleet, CountedEvent.ATTEMPT),
    }

    context.progress("lost")
    fleet.reset()
    if isolated:
        fleet.network.isolated_regions = {region}
    else:
        fleet.fail_servers(names)
        fleet.notify_all(names, EndpointState.REMOVED, *parameters.notice_s)
    if not fleet.run(parameters.lost_s, context.expired):
        return
    metrics |= {f"lost_{name}": value for name, value in aftermath(fleet, origin_before).items()}
    metrics["lost_dials_failed_per_request"] = per_accepted_request(fleet, CountedEvent.CONNECT_FAILED)
    counts = fleet.statistics.counts
    client_requests = max(1, counts[CountedEvent.CLIENT_REQUEST])
    metrics["lost_tries_per_wish"] = counts[CountedEvent.REQUEST] / client_requests
    metrics["apart_served_share"] = fleet.statistics.watched_served_share()
    apart = fleet.statistics.watched.totals
    apart_requests = max(1, apart[CountedEvent.REQUEST])
    metrics["apart_refused_per_request"] = apart[CountedEvent.REJECTED] / apart_requests

    context.progress("back")
    fleet.reset()
    if isolated:
        fleet.network.isolated_regions = set()
    else:
        fleet.restore_servers(names)
        for name in names:
            fleet.caches[name].arrivals = []
        fleet.notify_all(names, EndpointState.READY, *parameters.back_notice_s)
    ramp = fleet.settings.slow_start_duration + sum(parameters.back_notice_s) + SETTLING_SECONDS
    if not fleet.run(ramp, context.expired):
        return
    metrics |= {f"back_{name}": value for name, value in aftermath(fleet, origin_before).items()}
    uses = [fleet.budget_use(fleet.caches[name]) for name in names]
    metrics["back_budget_slack_share"] = max(use.with_slack for use in uses)
    yield Sample(metrics)


def aftermath(fleet: Fleet, origin_before: float) -> dict[str, float]:
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
        "origin_ratio": origin_rate / max(1e-9, origin_before),
    }
