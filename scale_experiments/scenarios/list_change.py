"""What a change of the list, and a whole list, cost one router; no sockets, all in this process.

Only what the program itself uses is called: `Router.handle`, `read_endpoint_list` and
`Dispatcher.on_endpoint_update`, on pools without connections.
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
from scale_experiments.runs.context import ExperimentContext, Sample
from scale_experiments.runs.scenario import Scenario
from scale_experiments.scenarios.list_costs.memory import measure_memory
from scale_experiments.scenarios.list_costs.path import measure_path
from scale_experiments.scenarios.list_costs.router import measure_router
from scale_experiments.scenarios.list_costs.workload import ListWorkload, build_settings

MAX_LATENCY_US = 60_000_000  # that a histogram holds


class Parameters(BaseModel):
    """What is the same at all sizes."""

    model_config = ConfigDict(extra="forbid")

    changes: int = Field(default=8, ge=1, le=1000, description="changes of each sort that a sample times")
    whole_lists: int = Field(
        default=3, ge=1, le=100, description="whole lists of each sort that a sample times"
    )
    zones: int = Field(
        default=DEFAULT_ZONES, ge=1, le=10_000, description="zones over which the caches are spread"
    )
    weight: float = Field(
        default=DEFAULT_WEIGHT, gt=0, le=1000, description="of each cache; a change of weight halves it"
    )


class Size(ListChangeSize):
    """The columns of a size."""


METRICS = {
    **{f"{kind}_cpu_s": f"CPU seconds of Router.handle for one {kind}, mean" for kind in ChangeKind},
    "change_cpu_s": "CPU seconds of Router.handle for a change of one entry, mean over the five sorts",
    "change_max_cpu_s": "CPU seconds of Router.handle for a change of one entry, the longest seen",
    "request_cpu_s": "CPU seconds of Router.handle for the first request after a change, mean",
    "zone_cpu_s": "CPU seconds of Router.handle for one message that drains all caches of a zone, mean",
    "first_list_cpu_s": "CPU seconds of Router.handle for a new router's first whole list, mean",
    "same_list_cpu_s": "CPU seconds of Router.handle for a whole list in which nothing changed, mean",
    "path_change_cpu_s": "CPU seconds from a change's JSON text through read_list and the dispatcher, mean",
    "path_first_list_cpu_s": "CPU seconds from a first whole list's JSON text through the dispatcher, mean",
    "path_same_list_cpu_s": "CPU seconds from an unchanged list's JSON text through the dispatcher, mean",
    "change_bytes": "bytes of a change of one entry as JSON, without headers, mean",
    "whole_list_bytes": "bytes of a whole list as JSON, without headers",
    "router_bytes": "bytes that a Router holds for the list, the entries not counted (tracemalloc)",
    "host_bytes": "bytes that a Dispatcher holds for the list, with router and entries (tracemalloc)",
    "change_peak_bytes": "bytes above that for a moment, while it takes one change (tracemalloc)",
    **REFERENCE_METRIC,
    "core_share": "share of one core that changes take at changes_per_s, whole path",
    "change_bytes_per_s": "bytes a second that changes bring at changes_per_s, without headers",
}


def cost_histogram(costs: Sequence[float]) -> HdrHistogram:
    """CPU seconds as microseconds."""
    histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
    for cost in costs:
        histogram.record_value(min(MAX_LATENCY_US, max(1, round(cost * 1e6))))
    return histogram


def measure(parameters: Parameters, size: Size, seed: int, context: ExperimentContext) -> Iterator[Sample]:
    """One sample; CPU seconds are of this thread alone, so that a busy machine adds little to them."""
    changes_per_s = size.changes_per_s
    entries = build_entries(size.caches, parameters.zones, parameters.weight, np.random.default_rng(seed))
    settings = build_settings(size.routers)
    workload = ListWorkload(settings, entries, parameters.changes, parameters.whole_lists, seed)
    gc.collect()
    gc.freeze()  # objects of the experiment are not a router's to collect
    try:
        references = [measure_reference_cpu_s()]
        context.progress("decision module")
        metrics, change_costs = measure_router(workload)
        context.progress("whole path")
        path_metrics, path_costs = measure_path(workload)
        references.append(measure_reference_cpu_s())
        context.progress("memory")
        metrics |= path_metrics | measure_memory(workload)
    finally:
        gc.unfreeze()
    metrics["reference_cpu_s"] = statistics.fmean(references)
    metrics["core_share"] = changes_per_s * metrics["path_change_cpu_s"]
    metrics["change_bytes_per_s"] = changes_per_s * metrics["change_bytes"]
    yield Sample(
        metrics, {"change_us": cost_histogram(change_costs), "path_change_us": cost_histogram(path_costs)}
    )


SCENARIO = Scenario(
    description=__doc__ or "", parameters=Parameters, size=Size, metric_descriptions=METRICS, measure=measure
)
