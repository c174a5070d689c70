"""CPU time, memory and traffic that a router process needs for changes of the endpoint list.

The router is built and started with the commands `build` and `run` of deploy/balancer.toml, in a folder of
the run, and watches an emulated discovery. It has no clients, and no process listens at the addresses of the
listed caches. Its only work is therefore the endpoint list and the watch.
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
from scale_experiments.runs.context import ExperimentContext
from scale_experiments.runs.metrics import Bytes, BytesPerSecond, Metrics, Seconds, Share
from scale_experiments.runs.sample import Sample
from scale_experiments.runs.scenario import Scenario

READY_TIMEOUT_S = 60.0
POLL_TIMEOUT_S = 30.0  # timeout for a router to apply a change and poll for the next one
POLL_INTERVAL_S = 0.005  # interval at which discovery's counts are read while waiting for the router's poll
FIRST_INDEX = 2  # first index of discovery's list; the router's configuration has the list of FIRST_INDEX - 1


class Parameters(BaseModel):
    """Parameters that all sizes of an experiment share; aliases are the keys."""

    model_config = ConfigDict(extra="forbid")

    changes: int = Field(default=8, ge=1, le=1000, description="number of changes of each of the five kinds")
    quiet_s: float = Field(
        default=12.0,
        gt=0,
        le=600,
        description="duration of the phase without changes; a poll without a change takes 3 s",
    )
    memory_mb: int = Field(default=192, ge=64, description="memory limit in the router's configuration")
    descriptors: int = Field(
        default=1024, alias="sockets", ge=64, description="limit of open file descriptors of the router"
    )


class Size(ListChangeSize):
    """One size of an experiment."""

    routers: int = Field(
        default=1, ge=1, strict=True, description="router count in the settings; one router is run"
    )


class ListChangeProcessMetrics(Metrics):
    """Resource usage of a router process, and its traffic with discovery."""

    start_cpu_s: Seconds = Field(
        description="CPU seconds of the router until it watches: program start, cached list and first update"
    )
    process_change_cpu_s: Seconds = Field(
        description="CPU seconds of the router for a change of one entry, including the poll"
    )
    quiet_core_share: Share = Field(description="share of one core that the watch takes without changes")
    core_share: Share = Field(
        description="upper bound of the share of one core that the watch and changes_per_s changes take"
    )
    resident_bytes: Bytes = Field(description="resident memory of the router after the first endpoint list")
    most_resident_bytes: Bytes = Field(description="resident memory of the router after the changes")
    change_in_bytes: Bytes = Field(
        description="bytes to the router for a change of one entry, with HTTP but not TCP headers"
    )
    change_out_bytes: Bytes = Field(
        description="bytes from the router for a change of one entry, with HTTP but not TCP headers"
    )
    quiet_bytes_per_s: BytesPerSecond = Field(
        description="bytes a second in both directions without changes, with HTTP but not TCP headers"
    )
    bytes_per_s: BytesPerSecond = Field(
        description="bytes a second in both directions at changes_per_s, with HTTP but not TCP headers"
    )
    first_list_bytes: Bytes = Field(
        description="bytes to the router until it waits for a change, with HTTP but not TCP headers"
    )
    reference_cpu_s: Seconds = Field(description=REFERENCE_METRIC["reference_cpu_s"])


SETTINGS = {
    "classes": [{"name": "page-read", "aim": 0.3, "giveUp": 1.2, "effect": "free"}],
    "familyInfo": {"mode": "aside", "originKind": 1},
    "skus": ["std-1c", "origin"],
    "membershipMode": "subscribe",
    "weights": "nominal",
}


def wait_until_polled(discovery: ControlClient) -> DiscoveryStats:
    """Wait until the router has the latest change and polls for the next; returns discovery's counts.

    Raises:
        RuntimeError: The router did not poll again within `POLL_TIMEOUT_S`.
    """
    deadline = time.monotonic() + POLL_TIMEOUT_S
    while time.monotonic() < deadline:
        stats = discovery.request(GetDiscoveryStats())
        if stats.waiting == 1 and stats.open == 1:
            return stats
        time.sleep(POLL_INTERVAL_S)
    raise RuntimeError(f"router did not poll again within {POLL_TIMEOUT_S:g} s; counts of discovery: {stats}")


@dataclass(slots=True, frozen=True)
class RouterUsage:
    """CPU seconds and HTTP bytes of a router from its start until the time `at` of the monotonic clock."""

    at: float
    cpu_s: float
    bytes_in: int
    bytes_out: int


class WatchingRouter:
    """A router process, and the discovery that it watches."""

    def __init__(self, discovery: ControlClient, router: RouterProcess) -> None:
        self.discovery = discovery
        self.router = router

    def usage(self) -> RouterUsage:
        """Wait until the router polls for the next change, then read its resource usage."""
        stats = wait_until_polled(self.discovery)
        cpu_s = process_cpu_s(self.router.process.pid)
        # the bytes that discovery received are those that the router sent
        return RouterUsage(stats.at, cpu_s, bytes_in=stats.bytes_out, bytes_out=stats.bytes_in)

    def resident_bytes(self) -> float:
        """Return the current resident memory of the router, in bytes."""
        return float(psutil.Process(self.router.process.pid).memory_info().rss)

    def apply(self, change: EndpointChange) -> None:
        """Apply a change to discovery's list, and wait until the router polls for the next one."""
        self.discovery.request(ChangeList(change.index, [change.entry]))
        wait_until_polled(self.discovery)


def start_watching_router(
    parameters: Parameters,
    size: Size,
    seed: int,
    entries: Sequence[EndpointEntry],
    context: ExperimentContext,
) -> WatchingRouter:
    """Start discovery with these entries, and a router that watches it.

    Raises ControlError, OSError, RouterStartError or subprocess.TimeoutExpired if one of them does not start.
    """
    discovery = start_emulator(context, "discovery", DISCOVERY_MODULE, "127.0.0.1:0")
    address = discovery.receive(Listening).address
    discovery.request(ReplaceList(FIRST_INDEX, entries))
    configuration = RouterConfiguration(
        name="n0",
        discovery=address,
        seed=seed,
        memory_mb=parameters.memory_mb,
        descriptors=parameters.descriptors,
        cached_list=build_snapshot(FIRST_INDEX - 1, entries),
        settings={**SETTINGS, "siblings": size.routers},
    )
    router = start_router(context, configuration, "127.0.0.1")
    wait_until_ready(router, READY_TIMEOUT_S)
    return WatchingRouter(discovery, router)


def apply_changes(watching_router: WatchingRouter, changes: ChangeSequence) -> int:
    """Apply all changes one after the other; returns their number, including those that only undo another.

    Each change is made while a poll of the router waits, so that no poll ends without a change in this phase.
    """
    count = 0
    for change in changes:
        watching_router.apply(change)
        count += 1
    return count


@dataclass(slots=True, frozen=True)
class PhaseUsages:
    """Resource usage of a router at the end of each phase: start, quiet (without changes), and changes.

    `changes` is the number of changes in the last phase.
    """

    started: RouterUsage
    quiet: RouterUsage
    changed: RouterUsage
    changes: int


@dataclass(slots=True, frozen=True)
class ResidentBytes:
    """Resident memory of a router in bytes, after two of the phases."""

    after_start: float
    after_changes: float


def compute_metrics(
    phases: PhaseUsages, resident: ResidentBytes, reference_cpu_s: float, changes_per_s: float
) -> ListChangeProcessMetrics:
    """Compute the metrics of a sample.

    `reference_cpu_s` is the mean CPU time of the reference work during the sample.
    """
    started, quiet, changed = phases.started, phases.quiet, phases.changed
    seconds = quiet.at - started.at
    quiet_core_share = (quiet.cpu_s - started.cpu_s) / seconds
    quiet_bytes_per_s = (quiet.bytes_in - started.bytes_in + quiet.bytes_out - started.bytes_out) / seconds
    change_cpu_s = (changed.cpu_s - quiet.cpu_s) / phases.changes
    change_out_bytes = (changed.bytes_out - quiet.bytes_out) / phases.changes
    change_in_bytes = (changed.bytes_in - quiet.bytes_in) / phases.changes
    return ListChangeProcessMetrics(
        start_cpu_s=started.cpu_s,
        process_change_cpu_s=change_cpu_s,
        quiet_core_share=quiet_core_share,
        core_share=quiet_core_share + changes_per_s * change_cpu_s,
        resident_bytes=resident.after_start,
        most_resident_bytes=resident.after_changes,
        change_in_bytes=change_in_bytes,
        change_out_bytes=change_out_bytes,
        quiet_bytes_per_s=quiet_bytes_per_s,
        bytes_per_s=quiet_bytes_per_s + changes_per_s * (change_in_bytes + change_out_bytes),
        first_list_bytes=started.bytes_in,
        reference_cpu_s=reference_cpu_s,
    )


def measure(parameters: Parameters, size: Size, seed: int, context: ExperimentContext) -> Iterator[Sample]:
    """Yield one sample, whose CPU time is that of the router process alone.

    Raises what `start_watching_router` raises, and RuntimeError if the router does not poll again in time
    after a change.
    """
    rng = np.random.default_rng(seed)
    entries = build_entries(size.caches, DEFAULT_ZONES, DEFAULT_WEIGHT, rng)
    references = [measure_reference_cpu_s()]
    context.progress("start")
    watching_router = start_watching_router(parameters, size, seed, entries, context)
    started = watching_router.usage()
    resident_after_start = watching_router.resident_bytes()
    context.progress("quiet")
    time.sleep(parameters.quiet_s)
    quiet = watching_router.usage()
    context.progress("changes")
    changes = ChangeSequence(entries, rng, parameters.changes, first_index=FIRST_INDEX + 1)
    count = apply_changes(watching_router, changes)
    phases = PhaseUsages(started, quiet, watching_router.usage(), count)
    resident = ResidentBytes(resident_after_start, watching_router.resident_bytes())
    references.append(measure_reference_cpu_s())
    context.stop(watching_router.router.process)
    context.stop(watching_router.discovery.process)
    metrics = compute_metrics(phases, resident, statistics.fmean(references), size.changes_per_s)
    yield Sample(metrics.values())


SCENARIO = Scenario(
    description=__doc__ or "",
    parameters=Parameters,
    size=Size,
    metric_descriptions=ListChangeProcessMetrics.descriptions(),
    measure=measure,
)
