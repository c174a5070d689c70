"""What a change of the endpoint list, and a complete list, cost one router, in this process without sockets.

Only what the program itself uses is called: `Router.handle`, `read_endpoint_list` and
`Dispatcher.on_endpoint_update`, with connection pools that stay empty.
"""

from __future__ import annotations

import gc
import statistics
from collections.abc import Iterator, Sequence

import numpy as np
from hdrh.histogram import HdrHistogram
from pydantic import BaseModel, ConfigDict, Field

from scale_experiments.endpoint_lists.endpoint_changes import (
    DEFAULT_WEIGHT,
    DEFAULT_ZONES,
    ChangeKind,
    ListChangeSize,
    build_entries,
)
from scale_experiments.measurement.reference_work import REFERENCE_METRIC, measure_reference_cpu_s
from scale_experiments.runs.context import ExperimentContext
from scale_experiments.runs.metrics import Bytes, BytesPerSecond, Metrics, Seconds, Share
from scale_experiments.runs.sample import Sample
from scale_experiments.runs.scenario import Scenario
from scale_experiments.scenarios.list_costs.memory import ListMemory, measure_memory
from scale_experiments.scenarios.list_costs.path import PathCosts, measure_path
from scale_experiments.scenarios.list_costs.router import RouterCosts, measure_router
from scale_experiments.scenarios.list_costs.workload import ListWorkload, build_settings

MAX_LATENCY_US = 60_000_000  # the largest value of the histograms


class Parameters(BaseModel):
    """What all sizes of an experiment have in common."""

    model_config = ConfigDict(extra="forbid")

    changes: int = Field(default=8, ge=1, le=1000, description="changes of each kind that a sample measures")
    whole_lists: int = Field(
        default=3, ge=1, le=100, description="complete lists of each kind that a sample measures"
    )
    zones: int = Field(
        default=DEFAULT_ZONES, ge=1, le=10_000, description="zones over which the caches are spread"
    )
    weight: float = Field(
        default=DEFAULT_WEIGHT, gt=0, le=1000, description="of each cache; a change of weight halves it"
    )


class Size(ListChangeSize):
    """The columns of a size."""


class ListChangeMetrics(Metrics):
    """Costs of endpoint lists. A sample without changes of a kind omits its metric."""

    drain_cpu_s: Seconds | None = Field(None, description="CPU seconds of Router.handle for one drain, mean")
    gone_cpu_s: Seconds | None = Field(None, description="CPU seconds of Router.handle for one gone, mean")
    join_cpu_s: Seconds | None = Field(None, description="CPU seconds of Router.handle for one join, mean")
    restart_cpu_s: Seconds | None = Field(
        None, description="CPU seconds of Router.handle for one restart, mean"
    )
    weight_cpu_s: Seconds | None = Field(
        None, description="CPU seconds of Router.handle for one weight, mean"
    )
    change_cpu_s: Seconds = Field(
        description="CPU seconds of Router.handle for a change of one entry, mean over the five kinds"
    )
    change_max_cpu_s: Seconds = Field(
        description="CPU seconds of Router.handle for a change of one entry, the longest measured"
    )
    request_cpu_s: Seconds = Field(
        description="CPU seconds of Router.handle for the first request after a change, mean"
    )
    zone_cpu_s: Seconds = Field(
        description="CPU seconds of Router.handle for one message that drains all caches of a zone, mean"
    )
    first_list_cpu_s: Seconds = Field(
        description="CPU seconds of Router.handle for a new router's first complete list, mean"
    )
    same_list_cpu_s: Seconds = Field(
        description="CPU seconds of Router.handle for a complete list in which nothing changed, mean"
    )
    path_change_cpu_s: Seconds = Field(
        description="CPU seconds from a change's JSON text through read_list and the dispatcher, mean"
    )
    path_first_list_cpu_s: Seconds = Field(
        description="CPU seconds from a first complete list's JSON text through the dispatcher, mean"
    )
    path_same_list_cpu_s: Seconds = Field(
        description="CPU seconds from an unchanged list's JSON text through the dispatcher, mean"
    )
    change_bytes: Bytes = Field(description="bytes of a change of one entry as JSON, without headers, mean")
    whole_list_bytes: Bytes = Field(description="bytes of a complete list as JSON, without headers")
    router_bytes: Bytes = Field(
        description="memory of a Router for the list, without the entries, in bytes (tracemalloc)"
    )
    host_bytes: Bytes = Field(
        description="memory of a Dispatcher for the list, with router and entries, in bytes (tracemalloc)"
    )
    change_peak_bytes: Bytes = Field(
        description="temporary bytes above that while it applies one change (tracemalloc)"
    )
    reference_cpu_s: Seconds = Field(description=REFERENCE_METRIC["reference_cpu_s"])
    core_share: Share = Field(
        description="share of one core that changes take at changes_per_s, from JSON text to decisions"
    )
    change_bytes_per_s: BytesPerSecond = Field(
        description="bytes a second that changes bring at changes_per_s, without headers"
    )


def cost_histogram(costs: Sequence[float]) -> HdrHistogram:
    """A histogram of CPU seconds, in microseconds."""
    histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
    for cost in costs:
        histogram.record_value(min(MAX_LATENCY_US, max(1, round(cost * 1e6))))
    return histogram


def mean_change_costs(router: RouterCosts) -> dict[ChangeKind, float]:
    """The mean CPU seconds of each kind of change that there was."""
    return {kind: statistics.fmean(costs) for kind, costs in router.changes.items() if costs}


def compute_metrics(
    router: RouterCosts, path: PathCosts, memory: ListMemory, reference_cpu_s: float, changes_per_s: float
) -> ListChangeMetrics:
    """The metrics of a sample; `reference_cpu_s` is the mean of the reference work during the sample."""
    by_kind = mean_change_costs(router)
    path_change_cpu_s = statistics.fmean(path.changes)
    change_bytes = statistics.fmean(path.change_bytes)
    return ListChangeMetrics(
        drain_cpu_s=by_kind.get(ChangeKind.DRAIN),
        gone_cpu_s=by_kind.get(ChangeKind.GONE),
        join_cpu_s=by_kind.get(ChangeKind.JOIN),
        restart_cpu_s=by_kind.get(ChangeKind.RESTART),
        weight_cpu_s=by_kind.get(ChangeKind.WEIGHT),
        change_cpu_s=statistics.fmean(by_kind.values()),
        change_max_cpu_s=max(router.all_changes()),
        request_cpu_s=statistics.fmean(router.requests),
        zone_cpu_s=statistics.fmean(router.zone_drains),
        first_list_cpu_s=statistics.fmean(router.first_snapshots),
        same_list_cpu_s=statistics.fmean(router.unchanged_snapshots),
        path_change_cpu_s=path_change_cpu_s,
        path_first_list_cpu_s=statistics.fmean(path.first_snapshots),
        path_same_list_cpu_s=statistics.fmean(path.unchanged_snapshots),
        change_bytes=change_bytes,
        whole_list_bytes=path.snapshot_bytes,
        router_bytes=memory.router_bytes,
        host_bytes=memory.dispatcher_bytes,
        change_peak_bytes=memory.change_peak_bytes,
        reference_cpu_s=reference_cpu_s,
        core_share=changes_per_s * path_change_cpu_s,
        change_bytes_per_s=changes_per_s * change_bytes,
    )


def measure(parameters: Parameters, size: Size, seed: int, context: ExperimentContext) -> Iterator[Sample]:
    """One sample; CPU seconds are of this thread alone, so that a busy machine adds little to them."""
    rng = np.random.default_rng(seed)
    entries = build_entries(size.caches, parameters.zones, parameters.weight, rng)
    settings = build_settings(size.routers)
    workload = ListWorkload(settings, entries, parameters.changes, parameters.whole_lists, seed)
    gc.collect()
    gc.freeze()  # the collector skips the objects of the experiment, which are not the router's
    try:
        references = [measure_reference_cpu_s()]
        context.progress("decision module")
        router = measure_router(workload)
        context.progress("complete path")
        path = measure_path(workload)
        references.append(measure_reference_cpu_s())
        context.progress("memory")
        memory = measure_memory(workload)
    finally:
        gc.unfreeze()
    reference_cpu_s = statistics.fmean(references)
    metrics = compute_metrics(router, path, memory, reference_cpu_s, size.changes_per_s)
    histograms = {
        "change_us": cost_histogram(router.all_changes()),
        "path_change_us": cost_histogram(path.changes),
    }
    yield Sample(metrics.values(), histograms)


SCENARIO = Scenario(
    description=__doc__ or "",
    parameters=Parameters,
    size=Size,
    metric_descriptions=ListChangeMetrics.descriptions(),
    measure=measure,
)
