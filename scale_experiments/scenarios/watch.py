"""Watches of the list: their standing price, how a change spreads, and discovery's return after an outage.

Discovery and the routers are processes of their own on loopback. Some routers are real but for their clients
(the program's own watch and host, which keeps the list); the others put the same calls on the wire at the
same times with less work, so that one machine bears thousands. CPU is of processes; times are wall-clock and
hold the wait for this machine's cores, which all routers share here and would not on machines of their own.
"""

from __future__ import annotations

import os
import subprocess
import sys
import time
from collections.abc import Iterator, Mapping
from typing import Any, Literal

from hdrh.histogram import HdrHistogram
from pydantic import BaseModel, ConfigDict, Field

from scale_experiments.context import ExperimentContext, Sample
from scale_experiments.emulators.control import ControlClient, request_all
from scale_experiments.emulators.messages.common import Done
from scale_experiments.emulators.messages.discovery import (
    ChangeList,
    GetDiscoveryStats,
    Listening,
    ReplaceList,
    ResetUnanswered,
    SetDiscoveryMode,
)
from scale_experiments.emulators.messages.routers import GetRoutersStats, GetUpdateTimes, StartRouters
from scale_experiments.reference_work import measure_reference_cpu_s

MAX_LATENCY_US = 600_000_000  # that a histogram holds
POLL_INTERVAL_S = 0.25
REPLY_TIMEOUT_S = 90.0  # for an answer of a process that is busy with some thousand routers
Mode = Literal["asked", "pushed"]
Outage = Literal["silent", "reset", "refuse", "busy"]
MODES: tuple[Mode, ...] = ("asked", "pushed")
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
    modes: list[Mode] = Field(list(MODES), min_length=1, description="asked for by routers, or pushed")
    outages: list[Outage] = Field(
        ["silent", "reset"],
        description="silent: calls in it are never answered; reset: and reset at its end; "
        "refuse: a dead one; busy: 503 after 2 s",
    )


SIZES = {"routers": "that watch, the real ones among them", "caches": "entries of the list"}
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
    "reference_cpu_s": "CPU seconds of a fixed piece of work, by which to compare differently busy machines",
    "load": "processes that wanted a core of this machine in the last minute, at the end of the sample",
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


def build_entries(caches: int, zones: int) -> list[dict[str, Any]]:
    """A list of caches in discovery's form."""
    return [
        {
            "name": f"s-{i:08x}",
            "address": f"127.1.{i // 250}.{i % 250 + 1}:6379",
            "zone": f"z{i % zones}",
            "type": "m2",
            "group": i // 8,
            "status": "in_service",
            "weight": 1.0,
            "since_ms": 0,
        }
        for i in range(caches)
    ]


def build_settings(mode: Mode, routers: int) -> dict[str, Any]:
    """Settings with the times of the customers' sites."""
    return {
        "classes": [{"name": "read", "aim": 0.5, "giveUp": 2.0, "effect": "free"}],
        "membershipMode": "subscribe" if mode == "asked" else "automatic",
        "siblings": routers,
        "rules": {"rampTime": 10.0, "overloadFor": 1.0, "stopSendingWithin": 0.5},
    }


class WatchFleet:
    """Discovery and the routers of one sample."""

    def __init__(
        self, parameters: Parameters, size: Mapping[str, float], seed: int, context: ExperimentContext
    ) -> None:
        self.parameters = parameters
        self.routers = int(size["routers"])
        self.seed = seed
        self.context = context
        self.entries = build_entries(int(size["caches"]), parameters.zones)
        self.index = 1
        self.changed_at: dict[int, float] = {}  # of each change, at the first process of discovery
        self.processes: list[subprocess.Popen[bytes]] = []
        self.discoveries: list[ControlClient] = []
        self.real: list[ControlClient] = []
        self.light: list[ControlClient] = []

    def _start_emulator(self, name: str, *args: str) -> ControlClient:
        pipes = {"stdin": subprocess.PIPE, "stdout": subprocess.PIPE}
        process = self.context.spawn([sys.executable, "-m", *args], **pipes)
        self.processes.append(process)
        return ControlClient(process, name, REPLY_TIMEOUT_S)

    def start(self, mode: Mode) -> None:
        """Start all, spread over the time in which a call waits, so that their calls don't come in step."""
        counts = [min(self.parameters.real, self.routers)]
        others = self.routers - counts[0]
        hollows = self.parameters.hollows if others else 0
        counts += [others // hollows + (i < others % hollows) for i in range(hollows)]
        self.discoveries = [
            self._start_emulator("discovery", "scale_experiments.emulators.discovery", f"127.0.1.{i + 1}:0")
            for i in range(self.parameters.discoveries)
        ]
        addresses = [d.receive(Listening).address for d in self.discoveries]
        request_all(self.discoveries, ReplaceList(self.index, self.entries))
        every = [self._start_emulator("routers", "scale_experiments.hollow") for _ in counts]
        self.real, self.light = every[:1], every[1:]
        cached_list = {"index": self.index, "snapshot": True, "endpoints": self.entries}
        for i, (control, routers) in enumerate(zip(every, counts, strict=True)):
            control.send(
                StartRouters(
                    routers=routers,
                    seed=self.seed * 1_000_000 + i * 100_000,
                    mode=self.parameters.held if i == 0 else "index",
                    discovery=addresses[i % len(addresses) :] + addresses[: i % len(addresses)],
                    settings=build_settings(mode, self.routers),
                    cached_list=cached_list,
                    spread_s=self.parameters.spread_s,
                )
            )
        for control in every:
            control.receive(Done)
        time.sleep(self.parameters.spread_s + 1.0)

    def stop(self) -> None:
        """End all, so that the next mode starts anew."""
        for process in self.processes:
            self.context.stop(process)
        self.processes.clear()

    def change(self) -> None:
        """Change one entry: it begins to leave, or is back."""
        self.index += 1
        entry = self.entries[self.index // 2 % len(self.entries)]
        entry["status"] = "terminating" if self.index % 2 else "in_service"
        at = [r.at for r in request_all(self.discoveries, ChangeList(self.index, [entry]))]
        self.changed_at[self.index] = min(at)

    def wait_until_notified(self, timeout_s: float) -> None:
        """Wait until all routers have the latest change, and no longer than that."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline and not self.context.expired():
            if (
                min(r.lowest_index for r in request_all([*self.real, *self.light], GetRoutersStats()))
                >= self.index
            ):
                return
            time.sleep(POLL_INTERVAL_S)

    def notification_delays(self, index: int, since: float) -> tuple[list[float], int]:
        """Seconds after `since` at which routers had an index, sorted; and how many did not."""
        replies = request_all([*self.real, *self.light], GetUpdateTimes(index))
        times = [t for reply in replies for t in reply.times]
        delays = sorted(max(0.0, t - since) for t in times if t is not None)
        return delays, len(times) - len(delays)

    def calls_since(self, started_at: float) -> dict[float, float]:
        """Calls at discovery in each tenth of a second, by its number."""
        counts: dict[float, float] = {}
        for stats in request_all(self.discoveries, GetDiscoveryStats()):
            for bucket, calls in stats.polls_over_time:
                if (bucket + 1) * stats.bucket_s > started_at:
                    counts[bucket] = counts.get(bucket, 0.0) + calls
        return counts

    def usage(self) -> dict[str, float]:
        """Counts and usage now, in sum for each role."""
        all_stats = request_all(self.discoveries, GetDiscoveryStats())
        names = ("polls", "connections", "bytes_in", "bytes_out", "cpu_s", "resident_bytes", "descriptors")
        sums: dict[str, float] = {name: sum(getattr(t, name) for t in all_stats) for name in names}
        sums["at"] = all_stats[0].at
        sums["written_s"] = max(t.notification_s for t in all_stats)
        for role, controls in (("real", self.real), ("light", self.light)):
            stats = request_all(controls, GetRoutersStats())
            sums[f"{role}_cpu_s"] = sum(s.cpu_s for s in stats)
            sums[f"{role}_resident_bytes"] = sum(s.resident_bytes for s in stats)
        return sums


def usage_difference(before: Mapping[str, float], after: Mapping[str, float]) -> dict[str, float]:
    """What was used from one moment to another."""
    return {name: after[name] - before[name] for name in after}


def quantile(values: list[float], share: float) -> float:
    """The value that a share of a sorted list does not pass."""
    return values[min(len(values) - 1, int(share * len(values)))]


def latency_histogram(values: list[float]) -> HdrHistogram:
    """Seconds as microseconds."""
    made = HdrHistogram(1, MAX_LATENCY_US, 2)
    for value in values:
        made.record_value(max(1, round(value * 1e6)))
    return made


def measure_quiet(fleet: WatchFleet) -> dict[str, float]:
    """The standing price."""
    before = fleet.usage()
    time.sleep(fleet.parameters.quiet_s)
    after = fleet.usage()
    used = usage_difference(before, after)
    routers, real = fleet.routers, min(fleet.parameters.real, fleet.routers)

    def rate(name: str) -> float:
        return used[name] / used["at"]

    metrics = {
        "calls_per_s": rate("polls"),
        "connections_per_s": rate("connections"),
        "peak_calls_per_100ms": peak_calls(fleet.calls_since(before["at"]), 1),
        "calls_per_router_per_s": rate("polls") / routers,
        "discovery_cpu_share": rate("cpu_s"),
        "discovery_cpu_per_router_share": rate("cpu_s") / routers,
        "discovery_cpu_per_call_s": used["cpu_s"] / max(1.0, used["polls"]),
        "discovery_in_per_router_bytes_per_s": rate("bytes_in") / routers,
        "discovery_out_per_router_bytes_per_s": rate("bytes_out") / routers,
        "discovery_resident_bytes": after["resident_bytes"],
        "discovery_descriptors": after["descriptors"],
        "real_cpu_share": rate("real_cpu_s") / real,
        "real_resident_bytes": after["real_resident_bytes"] / real,
    }
    if routers > real:
        metrics["light_cpu_share"] = rate("light_cpu_s") / (routers - real)
    return metrics


def measure_changes(fleet: WatchFleet) -> tuple[dict[str, float], HdrHistogram]:
    """The price of changes that come before a call has waited its time, and how they spread."""
    fleet.change()  # from here on all wait in step, as wherever changes are frequent
    fleet.wait_until_notified(fleet.parameters.return_most_s)
    before = fleet.usage()
    written, first = [], fleet.index + 1
    for _ in range(fleet.parameters.changes):
        started_at = time.monotonic()
        fleet.change()
        written.append(max(s.notification_s for s in request_all(fleet.discoveries, GetDiscoveryStats())))
        time.sleep(max(0.0, fleet.parameters.change_every_s - (time.monotonic() - started_at)))
    fleet.wait_until_notified(fleet.parameters.return_most_s)
    used = usage_difference(before, fleet.usage())
    each = {name: used[name] / fleet.parameters.changes for name in used}
    spread, slowest, unheard = [], 0.0, 0
    for index in range(first, fleet.index + 1):
        delays, missing = fleet.notification_delays(index, fleet.changed_at[index])
        spread += delays
        slowest = max(slowest, delays[-1] if delays else 0.0)
        unheard += missing
    spread.sort()
    real = min(fleet.parameters.real, fleet.routers)
    metrics = {
        "change_discovery_cpu_s": each["cpu_s"],
        "change_discovery_cpu_per_router_s": each["cpu_s"] / fleet.routers,
        "change_out_per_router_bytes": each["bytes_out"] / fleet.routers,
        "change_calls_per_router": each["polls"] / fleet.routers,
        "change_peak_calls_per_100ms": peak_calls(fleet.calls_since(before["at"]), 1),
        "change_real_cpu_s": each["real_cpu_s"] / real,
        "written_s": sorted(written)[len(written) // 2],
        "spread_p50_s": quantile(spread, 0.5),
        "spread_p99_s": quantile(spread, 0.99),
        "spread_all_s": slowest,
        "spread_unheard": unheard,
    }
    return metrics, latency_histogram(spread)


def peak_calls(counts: Mapping[float, float], buckets: int) -> float:
    """The most calls in so many buckets in a row."""
    return max((sum(counts.get(b + i, 0) for i in range(buckets)) for b in counts), default=0.0)


def measure_outage(fleet: WatchFleet, how: Outage) -> tuple[dict[str, float], HdrHistogram]:
    """Discovery goes, the list changes, discovery comes back: what it meets, and when all have the list."""
    request_all(fleet.discoveries, SetDiscoveryMode("silent" if how == "reset" else how))
    time.sleep(fleet.parameters.outage_s / 2)
    fleet.change()
    time.sleep(fleet.parameters.outage_s / 2)
    before = fleet.usage()
    back = min(r.at for r in request_all(fleet.discoveries, SetDiscoveryMode("serve")))
    if how == "reset":
        request_all(fleet.discoveries, ResetUnanswered())
    fleet.wait_until_notified(fleet.parameters.return_most_s)
    used = usage_difference(before, fleet.usage())
    counts = fleet.calls_since(back)
    delays, missing = fleet.notification_delays(fleet.index, back)
    metrics = {
        "peak_calls_per_s": peak_calls(counts, 10),
        "peak_calls_per_100ms": peak_calls(counts, 1),
        "calls_per_router": used["polls"] / fleet.routers,
        "unheard": float(missing),
        "cpu_s": used["cpu_s"],
    }
    if delays:
        metrics |= {"p50_s": quantile(delays, 0.5), "p99_s": quantile(delays, 0.99), "all_s": delays[-1]}
    return metrics, latency_histogram(delays)


def measure(
    parameters: Parameters, size: Mapping[str, float], seed: int, context: ExperimentContext
) -> Iterator[Sample]:
    """One sample: quiet and changes in the first mode, the outages in each; raises ControlError."""
    sample = Sample({})
    references = [measure_reference_cpu_s()]
    for mode in parameters.modes:
        fleet = WatchFleet(parameters, size, seed, context)
        try:
            context.progress(f"list {mode}: start")
            fleet.start(mode)
            if mode == parameters.modes[0]:
                context.progress("quiet")
                sample.metrics |= measure_quiet(fleet)
                context.progress("changes")
                metrics, sample.histograms["spread"] = measure_changes(fleet)
                sample.metrics |= metrics
            else:
                fleet.change()
                fleet.wait_until_notified(parameters.return_most_s)
            for how in parameters.outages:
                context.progress(f"list {mode}: outage {how}")
                name = f"return_{mode}_{how}"
                metrics, sample.histograms[name] = measure_outage(fleet, how)
                sample.metrics |= {f"{name}_{metric}": value for metric, value in metrics.items()}
        finally:
            fleet.stop()
    references.append(measure_reference_cpu_s())
    sample.metrics |= {"load": os.getloadavg()[0], "reference_cpu_s": sum(references) / 2}
    yield sample
