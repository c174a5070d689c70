"""The metrics of the zone_loss scenario, and what is measured in its phases."""

from __future__ import annotations

from dataclasses import dataclass

from pydantic import Field

from scale_experiments.runs.metrics import Count, Metrics, PerSecond, Ratio, Seconds, Share
from scale_experiments.scenarios.recovery import recovery_seconds
from scale_experiments.simulation.fleet import Fleet
from scale_experiments.simulation.statistics import CountedEvent

NO_ORIGIN_RATE = 1e-9  # in place of 0 attempts at the origin a second, as a divisor


class ZoneLossMetrics(Metrics):
    """The fleet before the loss, while it lasts (lost) and after the return (back)."""

    requests_per_s: PerSecond = Field(description="first attempts of clients in the complete fleet")
    caches_lost: Count = Field(
        description="page caches that are lost, or are out of reach of the routers that are cut off"
    )
    before_served_share: Share = Field(
        description="requests of clients served before the loss, retries included"
    )
    lost_served_share: Share = Field(description="of those made while it lasts")
    lost_worst_served_share: Share = Field(description="of those made in the worst second while it lasts")
    lost_recovery_s: Seconds = Field(
        description="from the loss until 95 % of each second's requests are served while it lasts"
    )
    back_served_share: Share = Field(description="of those made in the slow start that follows the return")
    back_worst_served_share: Share = Field(description="of those made in the worst second of that")
    back_recovery_s: Seconds = Field(
        description="from the return until 95 % of each second's requests are served"
    )
    apart_served_share: Share = Field(
        description="of those made at routers of the region that is cut off, while it lasts"
    )
    apart_refused_per_request: Ratio = Field(
        description="rejections by these routers for each request accepted there while it lasts"
    )
    lost_dials_per_request: Ratio = Field(
        description="connection attempts for each request accepted, while it lasts"
    )
    lost_dials_failed_per_request: Ratio = Field(description="of these, those that failed")
    before_dials_per_request: Ratio = Field(
        description="connection attempts for each request accepted, before the loss"
    )
    back_dials_per_request: Ratio = Field(
        description="connection attempts for each request accepted, after the return"
    )
    before_attempts_per_request: Ratio = Field(
        description="attempts at page caches for each request accepted, before the loss"
    )
    lost_attempts_per_request: Ratio = Field(
        description="attempts at page caches for each request accepted, while it lasts"
    )
    back_attempts_per_request: Ratio = Field(
        description="attempts at page caches for each request accepted, after the return"
    )
    lost_tries_per_wish: Ratio = Field(
        description="requests of clients for each object that they needed, while it lasts"
    )
    lost_origin_ratio: Ratio = Field(
        description="attempts at the origin a second while it lasts, over those before"
    )
    back_origin_ratio: Ratio = Field(
        description="attempts at the origin a second after the return, over those before"
    )
    back_budget_slack_share: Share = Field(
        description="highest ratio, over warming caches and windows, of attempts received to the budget with"
        " its statistical tolerance"
    )


@dataclass(slots=True, frozen=True)
class PhaseRequests:
    """The requests of a phase, during the loss or after the return."""

    served_share: float
    worst_served_share: float  # of the worst second
    recovery_s: float
    dials_per_request: float
    attempts_per_request: float
    origin_ratio: float  # attempts at the origin a second, over those before the loss


@dataclass(slots=True, frozen=True)
class BeforeLoss:
    """The fleet before the loss."""

    served_share: float
    dials_per_request: float
    attempts_per_request: float
    origin_attempts_per_s: float


@dataclass(slots=True, frozen=True)
class DuringLoss:
    """The fleet while the loss lasts; the isolated routers are those of a region that is cut off."""

    requests: PhaseRequests
    failed_dials_per_request: float
    requests_per_client_request: float
    isolated_served_share: float
    isolated_rejections_per_request: float


@dataclass(slots=True, frozen=True)
class AfterReturn:
    """The fleet from the return until the end of the slow start."""

    requests: PhaseRequests
    budget_slack_share: float


def per_accepted_request(fleet: Fleet, event: CountedEvent) -> float:
    """How often an event was counted for each request accepted, since the last reset."""
    return fleet.statistics.counts[event] / max(1, fleet.statistics.counts[CountedEvent.REQUEST])


def phase_requests(fleet: Fleet, origin_rate_before: float) -> PhaseRequests:
    """What has become of the requests since the last reset."""
    statistics = fleet.statistics
    shares = statistics.served_by_second()
    seconds = fleet.events.now - statistics.counted_from
    origin_rate = statistics.counts[CountedEvent.ORIGIN_ATTEMPT] / seconds
    return PhaseRequests(
        served_share=statistics.served_share(),
        worst_served_share=min(shares, default=1.0),
        recovery_s=recovery_seconds(shares),
        dials_per_request=per_accepted_request(fleet, CountedEvent.CONNECT),
        attempts_per_request=per_accepted_request(fleet, CountedEvent.ATTEMPT),
        origin_ratio=origin_rate / max(NO_ORIGIN_RATE, origin_rate_before),
    )
