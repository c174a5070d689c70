"""Metrics of the zone_loss scenario, and the measurements of its phases."""

from __future__ import annotations

from dataclasses import dataclass

from pydantic import Field

from scale_experiments.runs.metrics import Count, Metrics, PerSecond, Ratio, Seconds, Share
from scale_experiments.scenarios.recovery import recovery_seconds
from scale_experiments.simulation.fleet import Fleet
from scale_experiments.simulation.statistics import CountedEvent

MIN_ORIGIN_RATE = 1e-9  # attempts per second; avoids a division by zero


class ZoneLossMetrics(Metrics):
    """Metrics of the fleet before the loss (before), during the loss (lost) and after the return (back)."""

    requests_per_s: PerSecond = Field(description="requests of clients in the whole fleet, without retries")
    caches_lost: Count = Field(
        description="cache servers that are lost, or that the routers of the isolated region do not reach"
    )
    before_served_share: Share = Field(
        description="share served of the client requests made before the loss, retries included"
    )
    lost_served_share: Share = Field(description="share served of the client requests made during the loss")
    lost_worst_served_share: Share = Field(
        description="lowest share served of a second's client requests, during the loss"
    )
    lost_recovery_s: Seconds = Field(
        description="time from the loss until 95% of each second's requests are served, during the loss"
    )
    back_served_share: Share = Field(
        description="share served of the client requests made in the slow start after the return"
    )
    back_worst_served_share: Share = Field(
        description="lowest share served of a second's client requests, in the slow start after the return"
    )
    back_recovery_s: Seconds = Field(
        description="time from the return until 95% of each second's requests are served"
    )
    apart_served_share: Share = Field(
        description="share served of the client requests at routers of the isolated region, during the loss"
    )
    apart_refused_per_request: Ratio = Field(
        description="rejections by routers of the isolated region per request accepted there, during the loss"
    )
    lost_dials_per_request: Ratio = Field(
        description="attempts to connect per accepted request, during the loss"
    )
    lost_dials_failed_per_request: Ratio = Field(
        description="failed attempts to connect per accepted request, during the loss"
    )
    before_dials_per_request: Ratio = Field(
        description="attempts to connect per accepted request, before the loss"
    )
    back_dials_per_request: Ratio = Field(
        description="attempts to connect per accepted request, after the return"
    )
    before_attempts_per_request: Ratio = Field(
        description="attempts at cache servers per accepted request, before the loss"
    )
    lost_attempts_per_request: Ratio = Field(
        description="attempts at cache servers per accepted request, during the loss"
    )
    back_attempts_per_request: Ratio = Field(
        description="attempts at cache servers per accepted request, after the return"
    )
    lost_tries_per_wish: Ratio = Field(
        description="accepted requests per object that a client needed, during the loss"
    )
    lost_origin_ratio: Ratio = Field(
        description="ratio of the rate of attempts at the origin during the loss to the rate before it"
    )
    back_origin_ratio: Ratio = Field(
        description="ratio of the rate of attempts at the origin after the return to the rate before the loss"
    )
    back_budget_slack_share: Share = Field(
        description="highest ratio of the attempts that a warming cache received in a window to its budget"
        " for the window, which includes a statistical tolerance"
    )


@dataclass(slots=True, frozen=True)
class PhaseRequests:
    """Measurements of the requests in a phase, during the loss or after the return."""

    served_share: float
    worst_served_share: float  # share served in the worst second
    recovery_s: float
    connects_per_request: float
    attempts_per_request: float
    origin_ratio: float  # ratio of the rate of attempts at the origin to the rate before the loss


@dataclass(slots=True, frozen=True)
class BeforeLoss:
    """Measurements before the loss."""

    served_share: float
    connects_per_request: float
    attempts_per_request: float
    origin_attempts_per_s: float


@dataclass(slots=True, frozen=True)
class DuringLoss:
    """Measurements during the loss. The prefix `isolated_` is for the routers of the isolated region."""

    requests: PhaseRequests
    failed_connects_per_request: float
    requests_per_client_request: float
    isolated_served_share: float
    isolated_rejections_per_request: float


@dataclass(slots=True, frozen=True)
class AfterReturn:
    """Measurements from the return until the end of the slow start."""

    requests: PhaseRequests
    budget_slack_share: float


def per_accepted_request(fleet: Fleet, event: CountedEvent) -> float:
    """Return the number of events per accepted request, since the last reset."""
    return fleet.statistics.counts[event] / max(1, fleet.statistics.counts[CountedEvent.REQUEST])


def phase_requests(fleet: Fleet, origin_rate_before: float) -> PhaseRequests:
    """Compute the measurements of the requests since the last reset."""
    statistics = fleet.statistics
    shares = statistics.served_by_second()
    seconds = fleet.events.now - statistics.counted_from
    origin_rate = statistics.counts[CountedEvent.ORIGIN_ATTEMPT] / seconds
    return PhaseRequests(
        served_share=statistics.served_share(),
        worst_served_share=min(shares, default=1.0),
        recovery_s=recovery_seconds(shares),
        connects_per_request=per_accepted_request(fleet, CountedEvent.CONNECT),
        attempts_per_request=per_accepted_request(fleet, CountedEvent.ATTEMPT),
        origin_ratio=origin_rate / max(MIN_ORIGIN_RATE, origin_rate_before),
    )
