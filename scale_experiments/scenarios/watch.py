"""Watches of the endpoint list: their standing cost, the spread of a change, and the return of discovery.

Discovery and the routers are processes of their own on loopback. Some routers are real except for their
clients: they have the program's own watch, and the dispatcher that stores the list. The others send the same
polls at the same times with less work, so that one machine can run thousands of them. CPU is of processes.
Times are wall-clock times, and include waits for the cores of this machine, which all routers share.
"""

from __future__ import annotations

import itertools
import time
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Literal

from hdrh.histogram import HdrHistogram
from pydantic import BaseModel, ConfigDict, Field

from scale_experiments.emulators.control import request_all
from scale_experiments.emulators.messages.discovery import ResetUnanswered, SetDiscoveryMode
from scale_experiments.measurement.reference_work import measure_reference_cpu_s
from scale_experiments.routers.watch_fleet import SubscriptionMode, WatchFleet, WatchFleetOptions
from scale_experiments.runs.context import ExperimentContext
from scale_experiments.runs.metrics import (
    Bytes,
    BytesPerSecond,
    Count,
    Metrics,
    PerSecond,
    Ratio,
    Seconds,
    Share,
)
from scale_experiments.runs.sample import Sample
from scale_experiments.runs.scenario import Scenario, WholeNumber
from scale_experiments.scenarios.machine_metrics import MachineMetrics, measure_machine

MAX_DELAY_US = 600_000_000  # the largest value of the histograms
BUCKETS_PER_SECOND = 10  # of discovery's count of polls over time
Outage = Literal["silent", "reset", "refuse", "busy"]
MODES: tuple[SubscriptionMode, ...] = ("asked", "pushed")
OUTAGES: tuple[Outage, ...] = ("silent", "reset", "refuse", "busy")


class Parameters(BaseModel):
    """What all sizes of an experiment have in common; aliases are the keys."""

    model_config = ConfigDict(extra="forbid")

    discoveries: int = Field(2, ge=1, le=16, description="processes of discovery, each with its own address")
    real_routers: int = Field(
        200,
        alias="real",
        ge=1,
        le=2000,
        description="routers with the program's own watch, all in one process",
    )
    hollow_processes: int = Field(
        3, alias="hollows", ge=1, le=32, description="processes of the other routers"
    )
    real_mode: Literal["list", "router"] = Field(
        "list",
        alias="held",
        description="what a real router builds from the list: only the list, or its ring too",
    )
    zones: int = Field(51, ge=1, le=10_000, description="zones over which the caches are spread")
    spread_s: float = Field(
        3.0, ge=0, le=60, description="time over which the starts of the routers are spread"
    )
    quiet_s: float = Field(12.0, gt=0, le=600, description="measured without a change")
    changes: int = Field(6, ge=1, le=200, description="changes of one entry")
    change_interval_s: float = Field(
        2.5, alias="change_every_s", gt=0, le=60, description="from one change to the next"
    )
    outage_s: float = Field(
        10.0, gt=0, le=600, description="duration of an outage, with a change in the middle"
    )
    return_timeout_s: float = Field(
        40.0, alias="return_most_s", gt=0, le=600, description="wait until all routers have received a change"
    )
    modes: list[SubscriptionMode] = Field(
        list(MODES),
        min_length=1,
        description="asked: routers poll for the list; pushed: it is pushed to them",
    )
    outages: list[Outage] = Field(
        ["silent", "reset"],
        description="silent: polls during it are never answered; reset: they are also reset at its end; "
        "refuse: connections are refused; busy: 503 after 2 s",
    )


class Size(BaseModel):
    """The columns of a size."""

    routers: WholeNumber = Field(description="routers that watch, with those of the program's own watch")
    caches: WholeNumber = Field(description="entries of the list")


class QuietMetrics(Metrics):
    """Discovery and routers while the list does not change."""

    calls_per_s: PerSecond = Field(description="calls at discovery, quiet")
    connections_per_s: PerSecond = Field(description="connections opened to discovery, quiet")
    peak_calls_per_100ms: Count = Field(
        description="calls at discovery in the busiest tenth of a second, quiet"
    )
    calls_per_router_per_s: PerSecond = Field(description="calls of each router, quiet")
    discovery_cpu_share: Share = Field(description="cores that discovery uses in all, quiet")
    discovery_cpu_per_router_share: Share = Field(
        description="cores that discovery uses for each router, quiet"
    )
    discovery_cpu_per_call_s: Seconds = Field(description="CPU seconds of discovery for a call, quiet")
    discovery_in_per_router_bytes_per_s: BytesPerSecond = Field(
        description="bytes of HTTP from each router to discovery, quiet"
    )
    discovery_out_per_router_bytes_per_s: BytesPerSecond = Field(
        description="bytes of HTTP from discovery to each router, quiet"
    )
    discovery_resident_bytes: Bytes = Field(
        description="resident memory of discovery's processes with all watching"
    )
    discovery_descriptors: Count = Field(description="descriptors of discovery's processes with all watching")
    real_cpu_share: Share = Field(description="cores that one real router uses, quiet")
    real_resident_bytes: Bytes = Field(description="resident memory of the process of real routers, for each")
    light_cpu_share: Share | None = Field(None, description="cores that one other router uses, quiet")


class ChangeMetrics(Metrics):
    """Discovery and routers for changes of the list."""

    change_discovery_cpu_s: Seconds = Field(
        description="CPU seconds of discovery for a change and the calls that it ends"
    )
    change_discovery_cpu_per_router_s: Seconds = Field(description="the same for each router")
    change_out_per_router_bytes: Bytes = Field(description="bytes of HTTP to each router for a change")
    change_calls_per_router: Ratio = Field(description="calls of each router for a change")
    change_peak_calls_per_100ms: Count = Field(
        description="calls at discovery in the busiest tenth of a second, with changes"
    )
    change_real_cpu_s: Seconds = Field(description="CPU seconds of one real router for a change")
    written_s: Seconds = Field(
        description="seconds from a change until discovery had written it to all that waited,"
        " median of changes"
    )


class SpreadMetrics(Metrics):
    """How soon changes reach the routers."""

    spread_p50_s: Seconds = Field(description="seconds from a change until 50% of all routers had it")
    spread_p99_s: Seconds = Field(description="seconds from a change until 99% of all routers had it")
    spread_all_s: Seconds = Field(
        description="seconds from a change until all routers had it, the slowest of the changes"
    )
    spread_unheard: Count = Field(
        description="times that a router did not hear of a change before the next phase"
    )


class ReturnMetrics(Metrics):
    """The return of discovery after an outage. Delays are omitted if no router has received the list."""

    peak_calls_per_s: PerSecond = Field(
        description="calls at discovery in the busiest second after its return"
    )
    peak_calls_per_100ms: Count = Field(
        description="calls at discovery in the busiest tenth of a second after its return"
    )
    calls_per_router: Ratio = Field(
        description="calls of each router from the return until the last had the list"
    )
    p50_s: Seconds | None = Field(
        None, description="seconds from the return until half of the routers had the list"
    )
    p99_s: Seconds | None = Field(
        None, description="seconds from the return until 99% of the routers had the list"
    )
    all_s: Seconds | None = Field(None, description="seconds from the return until all routers had the list")
    unheard: Count = Field(description="routers that did not have it within the time allowed")
    cpu_s: Seconds = Field(description="CPU seconds of discovery from the return until the last had the list")


def describe_metrics() -> dict[str, str]:
    """The metrics of a sample; those of a return are named after the mode and the outage."""
    descriptions = {
        **QuietMetrics.descriptions(),
        **ChangeMetrics.descriptions(),
        **SpreadMetrics.descriptions(),
        **MachineMetrics.descriptions(),
    }
    for mode, outage in itertools.product(MODES, OUTAGES):
        prefix = return_prefix(mode, outage)
        for name, meaning in ReturnMetrics.descriptions().items():
            descriptions[f"{prefix}_{name}"] = f"{meaning}; list {mode}, outage {outage}"
    return descriptions


def return_prefix(mode: SubscriptionMode, outage: Outage) -> str:
    """The start of the names of the metrics of a return, and the name of its histogram."""
    return f"return_{mode}_{outage}"


def quantile(values: Sequence[float], share: float) -> float:
    """The value that a share of the values does not exceed; `values` are sorted."""
    return values[min(len(values) - 1, int(share * len(values)))]


def delay_histogram(delays: Sequence[float]) -> HdrHistogram:
    """A histogram of seconds, in microseconds."""
    histogram = HdrHistogram(1, MAX_DELAY_US, 2)
    for delay in delays:
        histogram.record_value(max(1, round(delay * 1e6)))
    return histogram


def peak_polls(counts: Mapping[float, float], buckets: int) -> float:
    """The largest number of polls in `buckets` consecutive buckets of discovery's count over time."""
    return max((sum(counts.get(bucket + i, 0) for i in range(buckets)) for bucket in counts), default=0.0)


def measure_quiet(fleet: WatchFleet, quiet_s: float) -> QuietMetrics:
    """Measure watches for some seconds without a change."""
    before = fleet.usage()
    time.sleep(quiet_s)
    after = fleet.usage()
    used = after.since(before)
    routers, light_routers, seconds = fleet.options.routers, fleet.light_routers, used.at
    return QuietMetrics(
        calls_per_s=used.polls / seconds,
        connections_per_s=used.connections / seconds,
        peak_calls_per_100ms=peak_polls(fleet.polls_since(before.at), 1),
        calls_per_router_per_s=used.polls / seconds / routers,
        discovery_cpu_share=used.cpu_s / seconds,
        discovery_cpu_per_router_share=used.cpu_s / seconds / routers,
        discovery_cpu_per_call_s=used.cpu_s / max(1.0, used.polls),
        discovery_in_per_router_bytes_per_s=used.bytes_in / seconds / routers,
        discovery_out_per_router_bytes_per_s=used.bytes_out / seconds / routers,
        discovery_resident_bytes=after.resident_bytes,
        discovery_descriptors=after.descriptors,
        real_cpu_share=used.real_cpu_s / seconds / fleet.real_routers,
        real_resident_bytes=after.real_resident_bytes / fleet.real_routers,
        light_cpu_share=used.light_cpu_s / seconds / light_routers if light_routers else None,
    )


@dataclass(slots=True, frozen=True)
class Spread:
    """How changes have reached the routers."""

    delays: Sequence[float]  # seconds, of all routers and changes, sorted
    slowest_s: float  # the longest delay of any change
    unnotified: int  # times that a router did not receive a change


@dataclass(slots=True, frozen=True)
class ChangeSchedule:
    """How many changes are made, the seconds between them, and the wait for all routers after the last."""

    changes: int
    interval_s: float
    timeout_s: float


@dataclass(slots=True, frozen=True)
class ChangePhase:
    """The cost of changes, and their spread."""

    costs: ChangeMetrics
    spread: Spread


def measure_changes(fleet: WatchFleet, schedule: ChangeSchedule) -> ChangePhase:
    """Measure changes that are more frequent than the end of polls without a change."""
    fleet.change()  # after it the polls of all routers start together, as wherever changes are frequent
    fleet.wait_until_notified(schedule.timeout_s)
    before = fleet.usage()
    first_index = fleet.index + 1
    written = make_changes(fleet, schedule)
    fleet.wait_until_notified(schedule.timeout_s)
    used = fleet.usage().since(before)
    changes, routers = schedule.changes, fleet.options.routers
    spread = measure_spread(fleet, first_index)
    costs = ChangeMetrics(
        change_discovery_cpu_s=used.cpu_s / changes,
        change_discovery_cpu_per_router_s=used.cpu_s / changes / routers,
        change_out_per_router_bytes=used.bytes_out / changes / routers,
        change_calls_per_router=used.polls / changes / routers,
        change_peak_calls_per_100ms=peak_polls(fleet.polls_since(before.at), 1),
        change_real_cpu_s=used.real_cpu_s / changes / fleet.real_routers,
        written_s=sorted(written)[len(written) // 2],
    )
    return ChangePhase(costs, spread)


def make_changes(fleet: WatchFleet, schedule: ChangeSchedule) -> list[float]:
    """Make the changes of a schedule.

    Returns, for each change, the seconds until discovery had written it to all waiting routers.
    """
    written = []
    for _ in range(schedule.changes):
        started_at = time.monotonic()
        fleet.change()
        written.append(fleet.notification_s())
        time.sleep(max(0.0, schedule.interval_s - (time.monotonic() - started_at)))
    return written


def measure_spread(fleet: WatchFleet, first_index: int) -> Spread:
    """How the changes from an index to the latest have reached the routers."""
    spread: list[float] = []
    slowest, unnotified = 0.0, 0
    for index in range(first_index, fleet.index + 1):
        notification = fleet.notification_delays(index, fleet.changed_at[index])
        spread += notification.delays_s
        slowest = max(slowest, notification.delays_s[-1] if notification.delays_s else 0.0)
        unnotified += notification.missing
    return Spread(sorted(spread), slowest, unnotified)


def spread_metrics(spread: Spread) -> SpreadMetrics:
    """The metrics of a spread."""
    return SpreadMetrics(
        spread_p50_s=quantile(spread.delays, 0.5),
        spread_p99_s=quantile(spread.delays, 0.99),
        spread_all_s=spread.slowest_s,
        spread_unheard=spread.unnotified,
    )


@dataclass(slots=True, frozen=True)
class Return:
    """The return of discovery after an outage."""

    polls: Mapping[float, float]  # at discovery, by bucket of time
    polls_per_router: float
    cpu_s: float  # of discovery
    delays: Sequence[float]  # seconds from the return until routers had the list, sorted
    unnotified: int  # routers that did not receive it

    def metrics(self) -> ReturnMetrics:
        """The metrics of the return."""
        delays = self.delays
        return ReturnMetrics(
            peak_calls_per_s=peak_polls(self.polls, BUCKETS_PER_SECOND),
            peak_calls_per_100ms=peak_polls(self.polls, 1),
            calls_per_router=self.polls_per_router,
            unheard=self.unnotified,
            cpu_s=self.cpu_s,
            p50_s=quantile(delays, 0.5) if delays else None,
            p99_s=quantile(delays, 0.99) if delays else None,
            all_s=delays[-1] if delays else None,
        )


def measure_outage(fleet: WatchFleet, outage: Outage, outage_s: float, timeout_s: float) -> Return:
    """Stop discovery, change the list, restart discovery, and measure how the routers receive the list.

    The change is made in the middle of the outage. The wait for all routers ends after `timeout_s`.
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
        notification = fleet.notification_delays(index, fleet.changed_at[index])
        spread += notification.delays_s
        slowest = max(slowest, notification.delays_s[-1] if notification.delays_s else 0.0)
        unnotified += notification.missing
    return Spread(sorted(spread), slowest, unnotified)


def build_fleet(parameters: Parameters, size: Size, seed: int, context: ExperimentContext) -> WatchFleet:
    """The fleet of a size, before any process is started."""
    options = WatchFleetOptions(
        routers=size.routers,
        real_routers=parameters.real_routers,
        hollow_processes=parameters.hollow_processes,
        discoveries=parameters.discoveries,
        caches=size.caches,
        zones=parameters.zones,
        real_mode=parameters.real_mode,
        spread_s=parameters.spread_s,
        seed=seed,
    )
    return WatchFleet(options, context)


class WatchRun:
    """One sample: all modes, one after the other."""

    def __init__(self, parameters: Parameters, context: ExperimentContext) -> None:
        self.parameters = parameters
        self.context = context
        self.metrics: dict[str, float] = {}
        self.histograms: dict[str, HdrHistogram] = {}

    def measure_mode(self, mode: SubscriptionMode, fleet: WatchFleet) -> None:
        """Measure the outages of a mode and, in the first mode, also the quiet time and changes."""
        self.context.progress(f"list {mode}: start")
        fleet.start(mode)
        if mode == self.parameters.modes[0]:
            self._measure_quiet_and_changes(fleet)
        else:
            fleet.change()
            fleet.wait_until_notified(self.parameters.return_timeout_s)
        for outage in self.parameters.outages:
            self.context.progress(f"list {mode}: outage {outage}")
            self._measure_return(mode, outage, fleet)

    def measure_machine(self, references: Sequence[float]) -> None:
        """Measure the machine; `references` are the CPU seconds of the reference work during the sample."""
        self.metrics |= measure_machine(references).values()

    def _measure_quiet_and_changes(self, fleet: WatchFleet) -> None:
        self.context.progress("quiet")
        self.metrics |= measure_quiet(fleet, self.parameters.quiet_s).values()
        self.context.progress("changes")
        p = self.parameters
        schedule = ChangeSchedule(p.changes, p.change_interval_s, p.return_timeout_s)
        changes = measure_changes(fleet, schedule)
        self.metrics |= changes.costs.values() | spread_metrics(changes.spread).values()
        self.histograms["spread"] = delay_histogram(changes.spread.delays)

    def _measure_return(self, mode: SubscriptionMode, outage: Outage, fleet: WatchFleet) -> None:
        prefix = return_prefix(mode, outage)
        outage_s, timeout_s = self.parameters.outage_s, self.parameters.return_timeout_s
        outcome = measure_outage(fleet, outage, outage_s, timeout_s)
        self.metrics |= {f"{prefix}_{name}": value for name, value in outcome.metrics().values().items()}
        self.histograms[prefix] = delay_histogram(outcome.delays)


def measure(parameters: Parameters, size: Size, seed: int, context: ExperimentContext) -> Iterator[Sample]:
    """One sample: quiet time and changes in the first mode, the outages in each mode; raises ControlError."""
    run = WatchRun(parameters, context)
    references = [measure_reference_cpu_s()]
    for mode in parameters.modes:
        fleet = build_fleet(parameters, size, seed, context)
        try:
            run.measure_mode(mode, fleet)
        finally:
            fleet.stop()
    references.append(measure_reference_cpu_s())
    run.measure_machine(references)
    yield Sample(run.metrics, run.histograms)


SCENARIO = Scenario(
    description=__doc__ or "",
    parameters=Parameters,
    size=Size,
    metric_descriptions=describe_metrics(),
    measure=measure,
)
