"""CPU time and memory that one router needs for endpoint list changes and complete lists, without sockets.

The router's code runs in this process through the functions that the program itself calls: `Router.handle`,
`read_endpoint_list` and `Dispatcher.on_endpoint_update`. The connection pools stay empty.
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

MAX_CPU_US = 60_000_000  # highest value that the histograms can record


class Parameters(BaseModel):
    """Parameters that all sizes of an experiment share."""

    model_config = ConfigDict(extra="forbid")

    changes: int = Field(default=8, ge=1, le=1000, description="number of changes of each kind in a sample")
    whole_lists: int = Field(
        default=3, ge=1, le=100, description="number of complete lists of each kind in a sample"
    )
    zones: int = Field(
        default=DEFAULT_ZONES, ge=1, le=10_000, description="number of zones over which the caches are spread"
    )
    weight: float = Field(
        default=DEFAULT_WEIGHT,
        gt=0,
        le=1000,
        description="weight of each cache; a change of weight halves it",
    )


class Size(ListChangeSize):
    """One size of an experiment."""


class ListChangeMetrics(Metrics):
    """Costs of endpoint lists. A sample without changes of a kind omits the metric of that kind."""

    drain_cpu_s: Seconds | None = Field(
        None, description="CPU seconds of Router.handle for an entry that starts to drain, mean"
    )
    gone_cpu_s: Seconds | None = Field(
        None, description="CPU seconds of Router.handle for a removed entry, mean"
    )
    join_cpu_s: Seconds | None = Field(
        None, description="CPU seconds of Router.handle for an added entry, mean"
    )
    restart_cpu_s: Seconds | None = Field(
        None, description="CPU seconds of Router.handle for an entry with a new start time, mean"
    )
    weight_cpu_s: Seconds | None = Field(
        None, description="CPU seconds of Router.handle for an entry with a new weight, mean"
    )
    change_cpu_s: Seconds = Field(
        description="CPU seconds of Router.handle for a change of one entry, mean over the kinds of change"
    )
    change_max_cpu_s: Seconds = Field(
        description="CPU seconds of Router.handle for a change of one entry, maximum"
    )
    request_cpu_s: Seconds = Field(
        description="CPU seconds of Router.handle for the first request after a change, mean"
    )
    zone_cpu_s: Seconds = Field(
        description="CPU seconds of Router.handle for one update that drains all caches of a zone, mean"
    )
    first_list_cpu_s: Seconds = Field(
        description="CPU seconds of Router.handle for a new router's first complete list, mean"
    )
    same_list_cpu_s: Seconds = Field(
        description="CPU seconds of Router.handle for a complete list in which nothing changed, mean"
    )
    path_change_cpu_s: Seconds = Field(
        description="CPU seconds to parse the JSON text of a change and apply it in the dispatcher, mean"
    )
    path_first_list_cpu_s: Seconds = Field(
        description="CPU seconds to parse a first complete list and apply it in the dispatcher, mean"
    )
    path_same_list_cpu_s: Seconds = Field(
        description="CPU seconds to parse an unchanged complete list and apply it in the dispatcher, mean"
    )
    change_bytes: Bytes = Field(
        description="bytes of a change of one entry as JSON, without HTTP headers, mean"
    )
    whole_list_bytes: Bytes = Field(description="bytes of a complete list as JSON, without HTTP headers")
    router_bytes: Bytes = Field(
        description="bytes that a Router allocates for the list, without the endpoints (tracemalloc)"
    )
    host_bytes: Bytes = Field(
        description="bytes that a Dispatcher allocates for the list, with Router and endpoints (tracemalloc)"
    )
    change_peak_bytes: Bytes = Field(
        description="peak of the additional bytes while a Dispatcher applies one change (tracemalloc)"
    )
    reference_cpu_s: Seconds = Field(description=REFERENCE_METRIC["reference_cpu_s"])
    core_share: Share = Field(
        description="share of one core to parse and apply changes at a rate of changes_per_s"
    )
    change_bytes_per_s: BytesPerSecond = Field(
        description="bytes a second of JSON at a rate of changes_per_s, without HTTP headers"
    )


def cost_histogram(costs: Sequence[float]) -> HdrHistogram:
    """Build a histogram in microseconds from CPU times in seconds."""
    histogram = HdrHistogram(1, MAX_CPU_US, 3)
    for cost in costs:
        histogram.record_value(min(MAX_CPU_US, max(1, round(cost * 1e6))))
    return histogram


def mean_change_costs(router: RouterCosts) -> dict[ChangeKind, float]:
    """Return the mean CPU seconds by kind of change, without the kinds that did not occur."""
    return {kind: statistics.fmean(costs) for kind, costs in router.changes.items() if costs}


def compute_metrics(
    router: RouterCosts, path: PathCosts, memory: ListMemory, reference_cpu_s: float, changes_per_s: float
) -> ListChangeMetrics:
    """Compute the metrics of a sample.

    `reference_cpu_s` is the mean CPU time of the reference work during the sample.
    """
    by_kind = mean_change_costs(router)
    path_change_cpu_s = statistics.fmean(path.changes)
    change_bytes = statistics.fmean(path.change_bytes)
    return ListChangeMetrics(
        drain_cpu_s=by_kind.get(ChangeKind.DRAIN),
        gone_cpu_s=by_kind.get(ChangeKind.REMOVE),
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
    """Yield one sample. CPU time is that of this thread alone, so that a busy machine adds little to it."""
    rng = np.random.default_rng(seed)
    entries = build_entries(size.caches, parameters.zones, parameters.weight, rng)
    settings = build_settings(size.routers)
    workload = ListWorkload(settings, entries, parameters.changes, parameters.whole_lists, seed)
    gc.collect()
    gc.freeze()  # measured garbage collections skip the objects of the experiment, which are not the router's
    try:
        references = [measure_reference_cpu_s()]
        context.progress("decision module")
        router = measure_router(workload)
        context.progress("JSON text to decisions")
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
