"""What a change of the list costs a real router, a process of its own that watches a discovery.

The router is started by `run` of deploy/balancer.toml, after its `build` in a folder of the run. It has no
clients and its list is of caches that nobody runs, so that all its work is the list and its watch.
"""

from __future__ import annotations

import statistics
import time
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

import numpy as np
import psutil
from pydantic import BaseModel, ConfigDict, Field

from scale_experiments.emulators.control import ControlClient
from scale_experiments.emulators.launch import DISCOVERY_MODULE, start_emulator
from scale_experiments.emulators.messages.discovery import (
    ChangeList,
    DiscoveryStats,
    GetDiscoveryStats,
    Listening,
    ReplaceList,
)
from scale_experiments.endpoint_lists.endpoint_changes import (
    DEFAULT_WEIGHT,
    DEFAULT_ZONES,
    ChangeSequence,
    EndpointChange,
    ListChangeSize,
    build_entries,
)
from scale_experiments.endpoint_lists.endpoint_entries import EndpointEntry, build_snapshot
from scale_experiments.measurement.cpu import process_cpu_s
from scale_experiments.measurement.reference_work import REFERENCE_METRIC, measure_reference_cpu_s
from scale_experiments.routers.router_process import (
    RouterConfiguration,
    RouterProcess,
    start_router,
    wait_until_ready,
)
from scale_experiments.runs.context import ExperimentContext, Sample
from scale_experiments.runs.scenario import Scenario

READY_TIMEOUT_S = 60.0
POLL_TIMEOUT_S = 30.0  # for a router to apply a change and poll for the next
POLL_INTERVAL_S = 0.005
FIRST_INDEX = 2  # of discovery's list; the router has the one before from its configuration


class Parameters(BaseModel):
    """What is the same at all sizes."""

    model_config = ConfigDict(extra="forbid")

    changes: int = Field(default=8, ge=1, le=1000, description="changes of each of five sorts")
    quiet_s: float = Field(
        default=12.0, gt=0, le=600, description="watched without a change; a call takes 3 s"
    )
    memory_mb: int = Field(default=192, ge=64, description="limit that the router is told")
    sockets: int = Field(default=1024, ge=64, description="descriptors that the router may hold")


class Size(ListChangeSize):
    """The columns of a size."""

    routers: int = Field(
        default=1, ge=1, strict=True, description="siblings, as the settings say; one is run"
    )


METRICS = {
    "start_cpu_s": "CPU seconds of the router until it watches: program, list known and first list told",
    "process_change_cpu_s": "CPU seconds of the router for a change of one entry, with its call",
    "quiet_core_share": "share of one core that the watch takes without any change",
    "core_share": "share of one core that the watch and changes_per_s changes take, at most",
    "resident_bytes": "resident memory of the router after the first list",
    "most_resident_bytes": "resident memory of the router after the changes",
    "change_in_bytes": "bytes to the router for a change of one entry, headers counted, TCP's not",
    "change_out_bytes": "bytes from the router for a change of one entry, headers counted, TCP's not",
    "quiet_bytes_per_s": "bytes in both directions without any change, headers counted, TCP's not",
    "bytes_per_s": "bytes in both directions at changes_per_s, headers counted, TCP's not",
    "first_list_bytes": "bytes to the router until it is ready, headers counted, TCP's not",
    **REFERENCE_METRIC,
}
SETTINGS = {
    "classes": [{"name": "page-read", "aim": 0.3, "giveUp": 1.2, "effect": "free"}],
    "familyInfo": {"mode": "aside", "originKind": 1},
    "skus": ["std-1c", "origin"],
    "membershipMode": "subscribe",
    "weights": "nominal",
}


def wait_until_polled(discovery: ControlClient) -> DiscoveryStats:
    """Wait until the router has the latest change and polls for the next; returns discovery's counts then.

    Raises RuntimeError after `POLL_TIMEOUT_S`.
    """
    deadline = time.monotonic() + POLL_TIMEOUT_S
    while time.monotonic() < deadline:
        stats = discovery.request(GetDiscoveryStats())
        if stats.waiting == 1 and stats.open == 1:
            return stats
        time.sleep(POLL_INTERVAL_S)
    raise RuntimeError(f"the router has not polled again within {POLL_TIMEOUT_S:g} s: {stats}")


@dataclass(slots=True, frozen=True)
class RouterUsage:
    """What a router has used since its start, CPU seconds and bytes of HTTP, at a time."""

    at: float
    cpu_s: float
    bytes_in: int
    bytes_out: int


class WatchingRouter:
    """One router, and the discovery that it watches."""

    def __init__(self, discovery: ControlClient, router: RouterProcess) -> None:
        self.discovery = discovery
        self.router = router

    def usage(self) -> RouterUsage:
        """What the router has used once it has the latest change and polls for the next."""
        stats = wait_until_polled(self.discovery)
        cpu_s = process_cpu_s(self.router.process.pid)
        # what discovery has received, the router has sent
        return RouterUsage(stats.at, cpu_s, bytes_in=stats.bytes_out, bytes_out=stats.bytes_in)

    def resident_bytes(self) -> float:
        """Resident memory of the router now."""
        return float(psutil.Process(self.router.process.pid).memory_info().rss)

    def apply(self, change: EndpointChange) -> None:
        """Change the list, and wait until the router polls for the next change."""
        self.discovery.request(ChangeList(change.index, [change.entry]))
        wait_until_polled(self.discovery)


def start(
    parameters: Parameters,
    size: Size,
    seed: int,
    entries: Sequence[EndpointEntry],
    context: ExperimentContext,
) -> WatchingRouter:
    """Start discovery and a router with these entries.

    Raises ControlError, OSError or RouterStartError where one of them does not start.
    """
    discovery = start_emulator(context, "discovery", DISCOVERY_MODULE, "127.0.0.1:0")
    address = discovery.receive(Listening).address
    discovery.request(ReplaceList(FIRST_INDEX, entries))
    configuration = RouterConfiguration(
        name="n0",
        discovery=address,
        seed=seed,
        memory_mb=parameters.memory_mb,
        descriptors=parameters.sockets,
        cached_list=build_snapshot(FIRST_INDEX - 1, entries),
        settings={**SETTINGS, "siblings": size.routers},
    )
    router = start_router(context, configuration, "127.0.0.1")
    wait_until_ready(router, READY_TIMEOUT_S)
    return WatchingRouter(discovery, router)


def measure_changes(watching: WatchingRouter, changes: ChangeSequence) -> tuple[RouterUsage, int]:
    """Apply all changes; returns the usage after the last, and how many there were.

    Each comes before the poll is over that waits for it, so that no poll without a change is among what they
    cost. Those that only undo one are counted as well.
    """
    count = 0
    for change in changes:
        watching.apply(change)
        count += 1
    return watching.usage(), count


def compute_metrics(
    start: RouterUsage, quiet: RouterUsage, changed: RouterUsage, changes: int, changes_per_s: float
) -> dict[str, float]:
    """Metrics of the router's usage after its start, a time without changes, and so many changes."""
    seconds = quiet.at - start.at
    quiet_share = (quiet.cpu_s - start.cpu_s) / seconds
    quiet_bytes = (quiet.bytes_in - start.bytes_in + quiet.bytes_out - start.bytes_out) / seconds
    change_cpu_s = (changed.cpu_s - quiet.cpu_s) / changes
    change_out = (changed.bytes_out - quiet.bytes_out) / changes
    change_in = (changed.bytes_in - quiet.bytes_in) / changes
    return {
        "start_cpu_s": start.cpu_s,
        "process_change_cpu_s": change_cpu_s,
        "quiet_core_share": quiet_share,
        "core_share": quiet_share + changes_per_s * change_cpu_s,
        "change_in_bytes": change_in,
        "change_out_bytes": change_out,
        "quiet_bytes_per_s": quiet_bytes,
        "bytes_per_s": quiet_bytes + changes_per_s * (change_in + change_out),
        "first_list_bytes": float(start.bytes_in),
    }


def measure(parameters: Parameters, size: Size, seed: int, context: ExperimentContext) -> Iterator[Sample]:
    """One sample; CPU seconds are the router's alone.

    Raises what `start` raises, and RuntimeError where the router does not take a change.
    """
    rng = np.random.default_rng(seed)
    entries = build_entries(size.caches, DEFAULT_ZONES, DEFAULT_WEIGHT, rng)
    references = [measure_reference_cpu_s()]
    context.progress("start")
    watching = start(parameters, size, seed, entries, context)
    started = watching.usage()
    resident_bytes = watching.resident_bytes()
    context.progress("quiet")
    time.sleep(parameters.quiet_s)
    quiet = watching.usage()
    context.progress("changes")
    changes = ChangeSequence(entries, rng, parameters.changes, first_index=FIRST_INDEX + 1)
    changed, count = measure_changes(watching, changes)
    metrics = compute_metrics(started, quiet, changed, count, size.changes_per_s)
    metrics["resident_bytes"] = resident_bytes
    metrics["most_resident_bytes"] = watching.resident_bytes()
    references.append(measure_reference_cpu_s())
    context.stop(watching.router.process)
    context.stop(watching.discovery.process)
    metrics["reference_cpu_s"] = statistics.fmean(references)
    yield Sample({name: metrics[name] for name in METRICS})


SCENARIO = Scenario(
    description=__doc__ or "", parameters=Parameters, size=Size, metric_descriptions=METRICS, measure=measure
)
