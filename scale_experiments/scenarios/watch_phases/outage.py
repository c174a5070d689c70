"""Outages of discovery, and its return to service."""

from __future__ import annotations

import time
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Literal

from pydantic import Field

from scale_experiments.emulators.control import request_all
from scale_experiments.emulators.messages.discovery import ResetUnanswered, SetDiscoveryMode
from scale_experiments.routers.watch_fleet import NotificationDelays, WatchFleet
from scale_experiments.runs.metrics import Count, Metrics, PerSecond, Ratio, Seconds
from scale_experiments.scenarios.watch_phases.distribution import peak_polls, quantile

BUCKETS_PER_SECOND = 10  # number of time buckets per second in which discovery counts polls
Outage = Literal["silent", "reset", "refuse", "busy"]
OUTAGES: tuple[Outage, ...] = ("silent", "reset", "refuse", "busy")


class ReturnMetrics(Metrics):
    """Load and delays after the return of discovery. Delays are omitted if no router received the list."""

    peak_calls_per_s: PerSecond = Field(
        description="polls at discovery in the busiest second after its return"
    )
    peak_calls_per_100ms: Count = Field(
        description="polls at discovery in the busiest tenth of a second after its return"
    )
    calls_per_router: Ratio = Field(
        description="polls per router from the return until the last router had the list"
    )
    p50_s: Seconds | None = Field(
        None, description="seconds from the return until half of the routers had the list"
    )
    p99_s: Seconds | None = Field(
        None, description="seconds from the return until 99% of the routers had the list"
    )
    all_s: Seconds | None = Field(None, description="seconds from the return until all routers had the list")
    unheard: Count = Field(description="routers that did not receive the list before the timeout")
    cpu_s: Seconds = Field(
        description="CPU seconds of discovery from the return until the last router had the list"
    )


@dataclass(slots=True, frozen=True)
class DiscoveryReturn:
    """Measurements from the return of discovery until all routers had the list, or until the timeout."""

    polls: Mapping[float, float]  # polls at discovery, by the number of the time bucket
    polls_per_router: float
    cpu_s: float  # CPU seconds of discovery
    notification: NotificationDelays  # delays of the routers since the return

    def metrics(self) -> ReturnMetrics:
        """Compute the metrics of the return."""
        delays = self.notification.delays_s
        return ReturnMetrics(
            peak_calls_per_s=peak_polls(self.polls, BUCKETS_PER_SECOND),
            peak_calls_per_100ms=peak_polls(self.polls, 1),
            calls_per_router=self.polls_per_router,
            unheard=self.notification.missing,
            cpu_s=self.cpu_s,
            p50_s=quantile(delays, 0.5) if delays else None,
            p99_s=quantile(delays, 0.99) if delays else None,
            all_s=delays[-1] if delays else None,
        )


def measure_outage(fleet: WatchFleet, outage: Outage, outage_s: float, timeout_s: float) -> DiscoveryReturn:
    """Let discovery fail for `outage_s`, and measure its return.

    The list changes in the middle of the outage, so that each router has to receive it after the return. The
    wait for all routers ends after `timeout_s`.
    """
    request_all(fleet.discoveries, SetDiscoveryMode("silent" if outage == "reset" else outage))
    time.sleep(outage_s / 2)
    fleet.change()
    time.sleep(outage_s / 2)
    before = fleet.usage()
    returned_at = min(reply.at for reply in request_all(fleet.discoveries, SetDiscoveryMode("serve")))
    if outage == "reset":
        request_all(fleet.discoveries, ResetUnanswered())
    fleet.wait_until_notified(timeout_s)
    used = fleet.usage().since(before)
    polls = fleet.polls_since(returned_at)
    notification = fleet.notification_delays(fleet.index, returned_at)
    return DiscoveryReturn(polls, used.polls / fleet.options.routers, used.cpu_s, notification)
