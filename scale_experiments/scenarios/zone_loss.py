"""A rack, a zone or a region of cache servers is lost and returns, or a region is isolated for a time.

Lost caches do not answer: connections to them stay open, new ones are never established, and routers are
notified late. The caches return empty. The routers and caches of an isolated region reach only each other.
All routers of the fleet are run, and each cache receives the same rate of requests at all sizes. A size may
set the router count of the settings above the number of routers that are run, to measure the effects of that
count alone.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Literal

from pydantic import BaseModel, ConfigDict, Field

from cache_router.endpoint import EndpointState
from scale_experiments.runs.context import ExperimentContext
from scale_experiments.runs.fleet_run import complete_sample, run_fleet
from scale_experiments.runs.sample import Sample
from scale_experiments.runs.scenario import Scenario, WholeNumber
from scale_experiments.scenarios.zone_loss_metrics import (
    AfterReturn,
    BeforeLoss,
    DuringLoss,
    ZoneLossMetrics,
    per_accepted_request,
    phase_requests,
)
from scale_experiments.simulation.fleet import Fleet
from scale_experiments.simulation.model import FleetModel, site_settings
from scale_experiments.simulation.statistics import SETTLING_SECONDS, CountedEvent


class Parameters(BaseModel):
    """Parameters that all sizes of an experiment share. Times are in seconds; aliases are the keys."""

    model_config = ConfigDict(extra="forbid")

    lost: Literal["rack", "zone", "region", "cut"] = Field(
        description="the failed part of the fleet; cut: a region is isolated"
    )
    zones: int = Field(50, ge=1, description="number of zones in the fleet")
    regions: int = Field(25, ge=1, description="number of regions over which the zones are spread")
    rack: int = Field(1, ge=1, description="number of caches in a rack")
    use_share: float = Field(0.6, gt=0, le=2, description="utilization of the caches' cores")
    zipf_exponent: float = Field(
        0.95, alias="skew", ge=0, description="exponent of the popularity of keys (Zipf's law)"
    )
    cached_objects: int = Field(
        200, alias="kept", ge=1, description="number of objects that a cache can store"
    )
    objects_per_cache: int = Field(
        400, ge=1, description="distinct objects that clients request, per cache of the fleet"
    )
    origin_everywhere: bool = Field(False, description="whether an isolated region still reaches the origin")
    origin_headroom: float = Field(
        2.0, gt=0, description="ratio of the origin's capacity to its load at a hit share of 0.9"
    )
    client_attempts: int = Field(
        3,
        alias="tries",
        ge=1,
        le=10,
        description="maximum number of requests that a client makes for one object",
    )
    warm_s: float = Field(8.0, gt=0, description="duration of the load before the first measurement")
    before_s: float = Field(
        6.0, gt=SETTLING_SECONDS, description="duration of the measurement before the loss"
    )
    lost_s: float = Field(15.0, gt=SETTLING_SECONDS, description="duration of the loss")
    notice_s: tuple[float, float] = Field(
        (5.3, 1.0),
        description="time from the loss until the first router is notified, and from then until the last is",
    )
    back_notice_s: tuple[float, float] = Field(
        (1.5, 0.6), description="like notice_s, with times from the return"
    )


class Size(BaseModel):
    """One size of an experiment; aliases are the keys."""

    routers: WholeNumber = Field(description="number of routers that are run")
    caches: WholeNumber = Field(description="number of cache servers")
    cores: WholeNumber = Field(description="number of cores of each cache server")
    configured_routers: WholeNumber | None = Field(
        None, alias="told", description="router count in the settings of each router; by default `routers`"
    )


def build_fleet(parameters: Parameters, size: Size, seed: int) -> Fleet:
    """Build the fleet of a size, in its state before the first request."""
    routers, caches, cores = size.routers, size.caches, size.cores
    unloaded = FleetModel(routers, caches, 1.0)
    rate = unloaded.rate_at_utilization(parameters.use_share, cores)
    model = FleetModel(
        routers=routers if size.configured_routers is None else size.configured_routers,
        routers_sampled=routers,
        caches=caches,
        requests_per_s=rate / routers,
        zones=parameters.zones,
        regions=parameters.regions,
        objects=parameters.objects_per_cache * caches,
        zipf_exponent=parameters.zipf_exponent,
        cached_objects=parameters.cached_objects,
        cores=cores,
        client_attempts=parameters.client_attempts,
        origin_always_reachable=parameters.origin_everywhere,
        origin_cores=unloaded.origin_cores_for(rate, parameters.origin_headroom),
    )
    return Fleet(site_settings(), model, seed)


def select_affected_caches(fleet: Fleet, parameters: Parameters) -> list[str]:
    """Return the names of the caches in the lost rack, zone or region, or in the isolated region.

    Their zone and region differ from those of the origin, unless the fleet has only one zone or region.
    """
    zone = 1 % parameters.zones
    region = zone % parameters.regions
    if parameters.lost in ("region", "cut"):
        return [name for name, c in fleet.caches.items() if c.location.region == region]
    names = [name for name, c in fleet.caches.items() if c.location.zone == zone]
    return names[: parameters.rack] if parameters.lost == "rack" else names


class LossRun:
    """Measures one sample, on one fleet."""

    def __init__(self, parameters: Parameters, fleet: Fleet, context: ExperimentContext) -> None:
        self.parameters = parameters
        self.fleet = fleet
        self.context = context
        self.affected_caches = select_affected_caches(fleet, parameters)
        self.is_isolation = parameters.lost == "cut"
        self.region = fleet.caches[self.affected_caches[0]].location.region
        fleet.statistics.track_region(self.region)

    def measure(self) -> Sample:
        """Measure all phases, one after the other; raises TimeLimitReachedError."""
        run_fleet(self.fleet, self.parameters.warm_s, self.context)
        before = self.measure_before()
        self.context.progress("lost")
        lost = self.measure_loss(before.origin_attempts_per_s)
        self.context.progress("back")
        back = self.measure_return(before.origin_attempts_per_s)
        return Sample(self.metrics(before, lost, back).values())

    def measure_before(self) -> BeforeLoss:
        """Measure the fleet before the loss; raises TimeLimitReachedError."""
        fleet, seconds = self.fleet, self.parameters.before_s
        fleet.reset_statistics()
        run_fleet(fleet, seconds, self.context)
        return BeforeLoss(
            served_share=fleet.statistics.served_share(),
            connects_per_request=per_accepted_request(fleet, CountedEvent.CONNECT),
            attempts_per_request=per_accepted_request(fleet, CountedEvent.ATTEMPT),
            origin_attempts_per_s=fleet.statistics.counts[CountedEvent.ORIGIN_ATTEMPT] / seconds,
        )

    def measure_loss(self, origin_rate_before: float) -> DuringLoss:
        """Measure the fleet during the loss; raises TimeLimitReachedError."""
        fleet = self.fleet
        fleet.reset_statistics()
        if self.is_isolation:
            fleet.network.isolate_region(self.region)
        else:
            fleet.fail_servers(self.affected_caches)
            fleet.send_endpoint_updates(
                self.affected_caches, EndpointState.REMOVED, *self.parameters.notice_s
            )
        run_fleet(fleet, self.parameters.lost_s, self.context)
        counts, isolated = fleet.statistics.counts, fleet.statistics.tracked.totals
        client_requests = max(1, counts[CountedEvent.CLIENT_REQUEST])
        isolated_requests = max(1, isolated[CountedEvent.REQUEST])
        return DuringLoss(
            requests=phase_requests(fleet, origin_rate_before),
            failed_connects_per_request=per_accepted_request(fleet, CountedEvent.CONNECT_FAILED),
            requests_per_client_request=counts[CountedEvent.REQUEST] / client_requests,
            isolated_served_share=fleet.statistics.tracked_served_share(),
            isolated_rejections_per_request=isolated[CountedEvent.REJECTED] / isolated_requests,
        )

    def measure_return(self, origin_rate_before: float) -> AfterReturn:
        """Measure the fleet from the return to the end of the slow start; raises TimeLimitReachedError."""
        fleet = self.fleet
        fleet.reset_statistics()
        if self.is_isolation:
            fleet.network.reconnect_regions()
        else:
            fleet.restore_servers(self.affected_caches)
            for name in self.affected_caches:
                fleet.caches[name].record_arrivals()
            fleet.send_endpoint_updates(
                self.affected_caches, EndpointState.READY, *self.parameters.back_notice_s
            )
        notice_s = sum(self.parameters.back_notice_s)
        run_fleet(fleet, fleet.settings.slow_start_duration + notice_s + SETTLING_SECONDS, self.context)
        requests = phase_requests(fleet, origin_rate_before)
        uses = [fleet.budget_use(fleet.caches[name]) for name in self.affected_caches]
        return AfterReturn(requests, budget_slack_share=max(use.with_tolerance for use in uses))

    def unreachable_cache_count(self) -> int:
        """Return the number of lost caches, or of caches out of reach of the isolated region's routers."""
        return (
            len(self.fleet.caches) - len(self.affected_caches)
            if self.is_isolation
            else len(self.affected_caches)
        )

    def metrics(self, before: BeforeLoss, lost: DuringLoss, back: AfterReturn) -> ZoneLossMetrics:
        """Combine the measurements of all phases into the metrics of the sample."""
        return ZoneLossMetrics(
            requests_per_s=self.fleet.model.requests_per_s * self.fleet.model.routers_run,
            caches_lost=self.unreachable_cache_count(),
            before_served_share=before.served_share,
            before_dials_per_request=before.connects_per_request,
            before_attempts_per_request=before.attempts_per_request,
            lost_served_share=lost.requests.served_share,
            lost_worst_served_share=lost.requests.worst_served_share,
            lost_recovery_s=lost.requests.recovery_s,
            lost_dials_per_request=lost.requests.connects_per_request,
            lost_attempts_per_request=lost.requests.attempts_per_request,
            lost_origin_ratio=lost.requests.origin_ratio,
            lost_dials_failed_per_request=lost.failed_connects_per_request,
            lost_tries_per_wish=lost.requests_per_client_request,
            apart_served_share=lost.isolated_served_share,
            apart_refused_per_request=lost.isolated_rejections_per_request,
            back_served_share=back.requests.served_share,
            back_worst_served_share=back.requests.worst_served_share,
            back_recovery_s=back.requests.recovery_s,
            back_dials_per_request=back.requests.connects_per_request,
            back_attempts_per_request=back.requests.attempts_per_request,
            back_origin_ratio=back.requests.origin_ratio,
            back_budget_slack_share=back.budget_slack_share,
        )


def measure(parameters: Parameters, size: Size, seed: int, context: ExperimentContext) -> Iterator[Sample]:
    """Yield one sample, or none if the time limit of the run passes first."""
    fleet = build_fleet(parameters, size, seed)
    yield from complete_sample(LossRun(parameters, fleet, context).measure)


SCENARIO = Scenario(
    description=__doc__ or "",
    parameters=Parameters,
    size=Size,
    metric_descriptions=ZoneLossMetrics.descriptions(),
    measure=measure,
)
