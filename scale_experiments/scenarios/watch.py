"""Watches of the list: their standing price, how a change spreads, and discovery's return after an outage.

Discovery and the routers are processes of their own on loopback. Some routers are real but for their clients
(the program's own watch and dispatcher, which stores the list); the others send the same polls at the same
times with less work, so that one machine bears thousands. CPU is of processes; times are wall-clock and
include the wait for this machine's cores, which all routers share here.
"""

from __future__ import annotations

import time
from collections.abc import Iterator, Mapping
from typing import Literal

from hdrh.histogram import HdrHistogram
from pydantic import BaseModel, ConfigDict, Field

from scale_experiments.emulators.control import request_all
from scale_experiments.emulators.messages.discovery import ResetUnanswered, SetDiscoveryMode
from scale_experiments.measurement.reference_work import (
    MACHINE_METRICS,
    machine_metrics,
    measure_reference_cpu_s,
)
from scale_experiments.routers.watch_fleet import SubscriptionMode, WatchFleet, WatchFleetOptions
from scale_experiments.runs.context import ExperimentContext
from scale_experiments.runs.sample import Sample
from scale_experiments.runs.scenario import Scenario, WholeNumber

MAX_DELAY_US = 600_000_000  # that a histogram holds
Outage = Literal["silent", "reset", "refuse", "busy"]
MODES: tuple[SubscriptionMode, ...] = ("asked", "pushed")
OUTAGES: tuple[Outage, ...] = ("silent", "reset", "refuse", "busy")


class Parameters(BaseModel):
    """What is the same at all sizes."""

    model_config = ConfigDict(extra="forbid")

    discoveries: int = Field(2, ge=1, le=16, description="processes of discovery, an address each")
    real: int = Field(200, ge=1, le=2000, description="routers with the program's own watch, in one process")
    hollows: int = Field(3, ge=1, le=32, description="processes for the other routers")
    held: Literal["list", "router"] = Field("list", description="by real routers: the list, or its ring too")
    zones: int = Field(51, ge=1, le=10_000, description="zones over which the caches are spread")
    spread_s: float = Field(3.0, ge=0, le=60, description="within which all routers start")
    quiet_s: float = Field(12.0, gt=0, le=600, description="watched without a change")
    changes: int = Field(6, ge=1, le=200, description="changes of one entry")
    change_every_s: float = Field(2.5, gt=0, le=60, description="from one change to the next")
    outage_s: float = Field(10.0, gt=0, le=600, description="of discovery; a change is made in it")
    return_most_s: float = Field(40.0, gt=0, le=600, description="after it, within which all should return")
    modes: list[SubscriptionMode] = Field(
        list(MODES), min_length=1, description="asked for by routers, or pushed"
    )
    outages: list[Outage] = Field(
        ["silent", "reset"],
        description="silent: calls in it are never answered; reset: and reset at its end; "
        "refuse: a dead one; busy: 503 after 2 s",
    )


class Size(BaseModel):
    """The columns of a size."""

    routers: WholeNumber = Field(description="routers that watch, with those of the program's own watch")
    caches: WholeNumber = Field(description="entries of the list")


METRICS = {
    "calls_per_s": "calls at discovery, quiet",
    "connections_per_s": "connections opened to discovery, quiet",
    "peak_calls_per_100ms": "calls at discovery in the busiest tenth of a second, quiet",
    "calls_per_router_per_s": "calls of each router, quiet",
    "discovery_cpu_share": "cores that discovery uses in all, quiet",
    "discovery_cpu_per_router_share": "cores that discovery uses for each router, quiet",
    "discovery_cpu_per_call_s": "CPU seconds of discovery for a call, quiet",
    "discovery_in_per_router_bytes_per_s": "bytes of HTTP from each router to discovery, quiet",
    "discovery_out_per_router_bytes_per_s": "bytes of HTTP from discovery to each router, quiet",
    "discovery_resident_bytes": "resident memory of discovery's processes with all watching",
    "discovery_descriptors": "descriptors of discovery's processes with all watching",
    "real_cpu_share": "cores that one real router uses, quiet",
    "real_resident_bytes": "resident memory of the process of real routers, for each",
    "light_cpu_share": "cores that one other router uses, quiet",
    "change_discovery_cpu_s": "CPU seconds of discovery for a change and the calls that it ends",
    "change_discovery_cpu_per_router_s": "the same for each router",
    "change_out_per_router_bytes": "bytes of HTTP to each router for a change",
    "change_calls_per_router": "calls of each router for a change",
    "change_peak_calls_per_100ms": "calls at discovery in the busiest tenth of a second, with changes",
    "change_real_cpu_s": "CPU seconds of one real router for a change",
    "written_s": "seconds from a change until discovery had written it to all that waited, median of changes",
    **{
        f"spread_{p}_s": f"seconds from a change until {p[1:]}% of all routers had it" for p in ("p50", "p99")
    },
    "spread_all_s": "seconds from a change until all routers had it, the slowest of the changes",
    "spread_unheard": "times that a router did not hear of a change before the next phase",
    **MACHINE_METRICS,
    **{
        f"return_{mode}_{outage}_{name}": f"{meaning}; list {mode}, outage {outage}"
        for mode in MODES
        for outage in OUTAGES
        for name, meaning in {
            "peak_calls_per_s": "calls at discovery in the busiest second after its return",
            "peak_calls_per_100ms": "calls at discovery in the busiest tenth of a second after its return",
            "calls_per_router": "calls of each router from the return until the last had the list",
            "p50_s": "seconds from the return until half of the routers had the list",
            "p99_s": "seconds from the return until 99% of the routers had the list",
            "all_s": "seconds from the return until all routers had the list",
            "unheard": "routers that did not have it within the time allowed",
            "cpu_s": "CPU seconds of discovery from the return until the last had the list",
        }.items()
    },
}


def quantile(values: list[float], share: float) -> float:
    """The value that so large a share of a sorted list does not exceed."""
    return values[min(len(values) - 1, int(share * len(values)))]


def delay_histogram(delays: list[float]) -> HdrHistogram:
    """Seconds as microseconds."""
    histogram = HdrHistogram(1, MAX_DELAY_US, 2)
    for delay in delays:
        histogram.record_value(max(1, round(delay * 1e6)))
    return histogram


def peak_polls(counts: Mapping[float, float], buckets: int) -> float:
    """The most polls in so many buckets in a row."""
    return max((sum(counts.get(bucket + i, 0) for i in range(buckets)) for bucket in counts), default=0.0)


def measure_quiet(fleet: WatchFleet, quiet_s: float) -> dict[str, float]:
    """What watches cost while nothing changes."""
    before = fleet.usage()
    time.sleep(quiet_s)
    after = fleet.usage()
    used = after.since(before)
    routers, seconds = fleet.options.routers, used.at
    metrics = {
        "calls_per_s": used.polls / seconds,
        "connections_per_s": used.connections / seconds,
        "peak_calls_per_100ms": peak_polls(fleet.polls_since(before.at), 1),
        "calls_per_router_per_s": used.polls / seconds / routers,
        "discovery_cpu_share": used.cpu_s / seconds,
        "discovery_cpu_per_router_share": used.cpu_s / seconds / routers,
        "discovery_cpu_per_call_s": used.cpu_s / max(1.0, used.polls),
        "discovery_in_per_router_bytes_per_s": used.bytes_in / seconds / routers,
        "discovery_out_per_router_bytes_per_s": used.bytes_out / seconds / routers,
        "discovery_resident_bytes": after.resident_bytes,
        "discovery_descriptors": after.descriptors,
        "real_cpu_share": used.real_cpu_s / seconds / fleet.real_routers,
        "real_resident_bytes": after.real_resident_bytes / fleet.real_routers,
    }
    if fleet.light_routers:
        metrics["light_cpu_share"] = used.light_cpu_s / seconds / fleet.light_routers
    return metrics


def measure_changes(fleet: WatchFleet, parameters: Parameters) -> tuple[dict[str, float], HdrHistogram]:
    """What changes cost that come before a poll has waited its time, and how they spread."""
    fleet.change()  # from here on all wait in step, as wherever changes are frequent
    fleet.wait_until_notified(parameters.return_most_s)
    before = fleet.usage()
    first_index = fleet.index + 1
    written = make_changes(fleet, parameters)
    fleet.wait_until_notified(parameters.return_most_s)
    used = fleet.usage().since(before)
    changes, routers = parameters.changes, fleet.options.routers
    spread_metrics, delays = measure_spread(fleet, first_index)
    metrics = {
        "change_discovery_cpu_s": used.cpu_s / changes,
        "change_discovery_cpu_per_router_s": used.cpu_s / changes / routers,
        "change_out_per_router_bytes": used.bytes_out / changes / routers,
        "change_calls_per_router": used.polls / changes / routers,
        "change_peak_calls_per_100ms": peak_polls(fleet.polls_since(before.at), 1),
        "change_real_cpu_s": used.real_cpu_s / changes / fleet.real_routers,
        "written_s": sorted(written)[len(written) // 2],
    }
    return metrics | spread_metrics, delay_histogram(delays)


def make_changes(fleet: WatchFleet, parameters: Parameters) -> list[float]:
    """Make changes at their pace; returns the seconds that discovery took to write each to all waiting."""
    written = []
    for _ in range(parameters.changes):
        started_at = time.monotonic()
        fleet.change()
        written.append(fleet.notification_s())
        time.sleep(max(0.0, parameters.change_every_s - (time.monotonic() - started_at)))
    return written


def measure_spread(fleet: WatchFleet, first_index: int) -> tuple[dict[str, float], list[float]]:
    """How the changes from an index on spread; the delays of all routers and changes, sorted."""
    spread: list[float] = []
    slowest, unnotified = 0.0, 0
    for index in range(first_index, fleet.index + 1):
        notification = fleet.notification_delays(index, fleet.changed_at[index])
        spread += notification.delays_s
        slowest = max(slowest, notification.delays_s[-1] if notification.delays_s else 0.0)
        unnotified += notification.missing
    spread.sort()
    metrics = {
        "spread_p50_s": quantile(spread, 0.5),
        "spread_p99_s": quantile(spread, 0.99),
        "spread_all_s": slowest,
        "spread_unheard": unnotified,
    }
    return metrics, spread


def measure_outage(
    fleet: WatchFleet, outage: Outage, parameters: Parameters
) -> tuple[dict[str, float], HdrHistogram]:
    """Discovery fails, the list changes, discovery is back: what it meets, and when all have the list."""
    request_all(fleet.discoveries, SetDiscoveryMode("silent" if outage == "reset" else outage))
    time.sleep(parameters.outage_s / 2)
    fleet.change()
    time.sleep(parameters.outage_s / 2)
    before = fleet.usage()
    returned_at = min(reply.at for reply in request_all(fleet.discoveries, SetDiscoveryMode("serve")))
    if outage == "reset":
        request_all(fleet.discoveries, ResetUnanswered())
    fleet.wait_until_notified(parameters.return_most_s)
    used = fleet.usage().since(before)
    polls = fleet.polls_since(returned_at)
    notification = fleet.notification_delays(fleet.index, returned_at)
    delays = notification.delays_s
    metrics = {
        "peak_calls_per_s": peak_polls(polls, 10),
        "peak_calls_per_100ms": peak_polls(polls, 1),
        "calls_per_router": used.polls / fleet.options.routers,
        "unheard": float(notification.missing),
        "cpu_s": used.cpu_s,
    }
    if delays:
        metrics |= {"p50_s": quantile(delays, 0.5), "p99_s": quantile(delays, 0.99), "all_s": delays[-1]}
    return metrics, delay_histogram(delays)


def build_fleet(parameters: Parameters, size: Size, seed: int, context: ExperimentContext) -> WatchFleet:
    """The fleet of a size; nothing is started yet."""
    options = WatchFleetOptions(
        routers=size.routers,
        real_routers=parameters.real,
        hollow_processes=parameters.hollows,
        discoveries=parameters.discoveries,
        caches=size.caches,
        zones=parameters.zones,
        real_mode=parameters.held,
        spread_s=parameters.spread_s,
        seed=seed,
    )
    return WatchFleet(options, context)


def measure_mode(mode: SubscriptionMode, fleet: WatchFleet, parameters: Parameters, sample: Sample) -> None:
    """Add to the sample what is measured in a mode: the outages and, in the first mode, all else."""
    progress = fleet.context.progress
    progress(f"list {mode}: start")
    fleet.start(mode)
    if mode == parameters.modes[0]:
        progress("quiet")
        sample.metrics |= measure_quiet(fleet, parameters.quiet_s)
        progress("changes")
        metrics, sample.histograms["spread"] = measure_changes(fleet, parameters)
        sample.metrics |= metrics
    else:
        fleet.change()
        fleet.wait_until_notified(parameters.return_most_s)
    for outage in parameters.outages:
        progress(f"list {mode}: outage {outage}")
        name = f"return_{mode}_{outage}"
        metrics, sample.histograms[name] = measure_outage(fleet, outage, parameters)
        sample.metrics |= {f"{name}_{metric}": value for metric, value in metrics.items()}


def measure(parameters: Parameters, size: Size, seed: int, context: ExperimentContext) -> Iterator[Sample]:
    """One sample: quiet and changes in the first mode, the outages in each; raises ControlError."""
    sample = Sample({})
    references = [measure_reference_cpu_s()]
    for mode in parameters.modes:
        fleet = build_fleet(parameters, size, seed, context)
        try:
            measure_mode(mode, fleet, parameters, sample)
        finally:
            fleet.stop()
    references.append(measure_reference_cpu_s())
    sample.metrics |= machine_metrics(references)
    yield sample


SCENARIO = Scenario(
    description=__doc__ or "", parameters=Parameters, size=Size, metric_descriptions=METRICS, measure=measure
)
