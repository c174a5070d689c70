"""What a change of the endpoint list costs a real router, a process of its own that watches a discovery.

The router is started by `run` of deploy/balancer.toml, after its `build` in a folder of the run. It has no
clients, and no process serves the caches of its list, so that its only work is the list and the watch.
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
POLL_TIMEOUT_S = 30.0  # for a router to apply a change and poll for the next
POLL_INTERVAL_S = 0.005
FIRST_INDEX = 2  # of discovery's list; the list in the router's configuration has the index before it


class Parameters(BaseModel):
    """What all sizes of an experiment have in common; aliases are the keys."""

    model_config = ConfigDict(extra="forbid")

    changes: int = Field(default=8, ge=1, le=1000, description="changes of each of the five kinds")
    quiet_s: float = Field(
        default=12.0, gt=0, le=600, description="measured without a change; a poll takes 3 s"
    )
    memory_mb: int = Field(default=192, ge=64, description="memory limit in the router's configuration")
    descriptors: int = Field(
        default=1024, alias="sockets", ge=64, description="file descriptors of the router"
    )


class Size(ListChangeSize):
    """The columns of a size."""

    routers: int = Field(
        default=1, ge=1, strict=True, description="siblings, as the settings say; one is run"
    )


class ListChangeProcessMetrics(Metrics):
    """What the process of a router uses, and its traffic with discovery."""

    start_cpu_s: Seconds = Field(
        description="CPU seconds of the router until it watches: program start, cached list and first update"
    )
    process_change_cpu_s: Seconds = Field(
        description="CPU seconds of the router for a change of one entry, with its call"
    )
    quiet_core_share: Share = Field(description="share of one core that the watch takes without any change")
    core_share: Share = Field(
        description="share of one core that the watch and changes_per_s changes take, at most"
    )
    resident_bytes: Bytes = Field(description="resident memory of the router after the first list")
    most_resident_bytes: Bytes = Field(description="resident memory of the router after the changes")
    change_in_bytes: Bytes = Field(
        description="bytes to the router for a change of one entry, headers counted, TCP's not"
    )
    change_out_bytes: Bytes = Field(
        description="bytes from the router for a change of one entry, headers counted, TCP's not"
    )
    quiet_bytes_per_s: BytesPerSecond = Field(
        description="bytes in both directions without any change, headers counted, TCP's not"
    )
    bytes_per_s: BytesPerSecond = Field(
        description="bytes in both directions at changes_per_s, headers counted, TCP's not"
    )
    first_list_bytes: Bytes = Field(
        description="bytes to the router until it is ready, headers counted, TCP's not"
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
    """CPU seconds and bytes of HTTP that a router has used from its start until a time."""

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
        descriptors=parameters.descriptors,
        cached_list=build_snapshot(FIRST_INDEX - 1, entries),
        settings={**SETTINGS, "siblings": size.routers},
    )
    router = start_router(context, configuration, "127.0.0.1")
    wait_until_ready(router, READY_TIMEOUT_S)
    return WatchingRouter(discovery, router)


def apply_changes(watching: WatchingRouter, changes: ChangeSequence) -> int:
    """Apply all changes; returns how many there were, with those that only undo one.

    Each is made while the router waits in a poll, so that no poll ends without a change in this phase.
    """
    count = 0
    for change in changes:
        watching.apply(change)
        count += 1
    return count


@dataclass(slots=True, frozen=True)
class Phases:
    """The usage of a router after its start, after a time without changes, and after changes."""

    started: RouterUsage
    quiet: RouterUsage
    changed: RouterUsage
    changes: int


@dataclass(slots=True, frozen=True)
class ResidentBytes:
    """Resident memory of a router."""

    after_start: float
    after_changes: float


def compute_metrics(
    phases: Phases, resident: ResidentBytes, reference_cpu_s: float, changes_per_s: float
) -> ListChangeProcessMetrics:
    """The metrics of a sample; `reference_cpu_s` is the mean of the reference work during the sample."""
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
    """One sample; CPU seconds are the router's alone.

    Raises what `start` raises, and RuntimeError where the router does not apply a change in time.
    """
    rng = np.random.default_rng(seed)
    entries = build_entries(size.caches, DEFAULT_ZONES, DEFAULT_WEIGHT, rng)
    references = [measure_reference_cpu_s()]
    context.progress("start")
    watching = start(parameters, size, seed, entries, context)
    started = watching.usage()
    resident_after_start = watching.resident_bytes()
    context.progress("quiet")
    time.sleep(parameters.quiet_s)
    quiet = watching.usage()
    context.progress("changes")
    changes = ChangeSequence(entries, rng, parameters.changes, first_index=FIRST_INDEX + 1)
    count = apply_changes(watching, changes)
    phases = Phases(started, quiet, watching.usage(), count)
    resident = ResidentBytes(resident_after_start, watching.resident_bytes())
    references.append(measure_reference_cpu_s())
    context.stop(watching.router.process)
    context.stop(watching.discovery.process)
    metrics = compute_metrics(phases, resident, statistics.fmean(references), size.changes_per_s)
    yield Sample(metrics.values())


SCENARIO = Scenario(
    description=__doc__ or "",
    parameters=Parameters,
    size=Size,
    metric_descriptions=ListChangeProcessMetrics.descriptions(),
    measure=measure,
)
