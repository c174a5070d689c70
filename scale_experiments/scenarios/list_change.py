"""What a change of the list, and a whole list, cost one router; no sockets, all in this process.

Only what the program itself uses is called: `Router.handle`, `read_endpoint_list` and
`Dispatcher.on_endpoint_update`, on pools without connections.
"""

from __future__ import annotations

import gc
import statistics
import time
import tracemalloc
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

import numpy as np
import orjson
from hdrh.histogram import HdrHistogram
from pydantic import BaseModel, ConfigDict, Field

from cache_router.decisions.actions import Send
from cache_router.decisions.events import (
    AttemptCompleted,
    AttemptStatus,
    EndpointUpdate,
    EndpointUpdateKind,
    Request,
)
from cache_router.decisions.router import Router
from cache_router.endpoint import Endpoint
from cache_router.net.cache_connection import CacheConnection
from cache_router.net.connection_pool import ConnectionPool
from cache_router.net.dispatcher import Dispatcher
from cache_router.net.endpoint_list_reader import read_endpoint_list
from cache_router.net.origin_connection import OriginConnection
from cache_router.settings import Settings
from cache_router.settings_reader import read_settings
from scale_experiments.endpoint_lists.endpoint_changes import (
    DEFAULT_WEIGHT,
    DEFAULT_ZONES,
    ChangeKind,
    ChangeSequence,
    ListChangeSize,
    build_entries,
)
from scale_experiments.endpoint_lists.endpoint_entries import (
    TERMINATING,
    EndpointEntry,
    build_snapshot,
    encode_list,
)
from scale_experiments.measurement.reference_work import (
    REFERENCE_METRIC,
    measure_reference_cpu_s,
    thread_cpu_s,
)
from scale_experiments.runs.context import ExperimentContext, Sample
from scale_experiments.runs.scenario import Scenario

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


def build_settings(routers: int) -> Settings:
    """A site's settings, as far as lists matter: an origin in the list, weights that are sizes."""
    return read_settings(
        {
            "classes": [{"name": "page-read", "aim": 0.3, "giveUp": 1.2, "effect": "free"}],
            "familyInfo": {"mode": "aside", "originKind": 1},
            "skus": ["std-1c", "origin"],
            "siblings": routers,
            "weights": "nominal",
        }
    )


def read_endpoints(text: bytes) -> tuple[Endpoint, ...]:
    """The endpoints of a list in discovery's JSON."""
    return tuple(each.entry for each in read_endpoint_list(orjson.loads(text)).endpoints)


class SteppingClock:
    """The time that a router is given, in seconds; it only advances."""

    def __init__(self) -> None:
        self.time = 1e9

    def advance(self) -> float:
        """One second later."""
        self.time += 1.0
        return self.time


def build_dispatcher(settings: Settings, seed: int) -> Dispatcher:
    """A router's dispatcher, with pools that hold no connection."""
    servers = ConnectionPool(CacheConnection, 8, settings.connect_timeout, settings.connection_idle_timeout)
    origin = ConnectionPool(OriginConnection, 8, settings.connect_timeout, settings.connection_idle_timeout)
    return Dispatcher(settings, seed, servers, origin, lambda: None)


def deliver(dispatcher: Dispatcher, text: bytes) -> None:
    """Do what a watch does with a response."""
    update = read_endpoint_list(orjson.loads(text))
    dispatcher.on_endpoint_update(update.update_kind, update.endpoints)


def first_request_cpu_s(router: Router, now: float, number: int) -> float:
    """CPU seconds of a request, which also meets work that a change put off; it is then answered."""
    name = f"r{number}"
    request = Request(name, "page-read", 1.2, f"page:{number}")
    started_at = time.thread_time()
    actions = router.handle(now, request)
    spent = time.thread_time() - started_at
    for action in actions:
        if isinstance(action, Send):
            router.handle(now + 0.01, AttemptCompleted(name, 0, AttemptStatus.OK, True, 0.01))
    return spent


def cost_histogram(costs: Sequence[float]) -> HdrHistogram:
    """CPU seconds as microseconds."""
    histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
    for cost in costs:
        histogram.record_value(min(MAX_LATENCY_US, max(1, round(cost * 1e6))))
    return histogram


@dataclass(slots=True, frozen=True)
class ListWorkload:
    """What one sample feeds a router with: its settings, its list, and how often each is changed."""

    settings: Settings
    entries: Sequence[EndpointEntry]
    changes_per_kind: int
    snapshots: int
    seed: int

    def changes(self) -> ChangeSequence:
        """The changes of the sample, the same each time."""
        return self._changes(self.changes_per_kind)

    def first_change(self) -> bytes:
        """The first change, as discovery's JSON."""
        return next(iter(self._changes(1))).encoded()

    def snapshot(self) -> bytes:
        """The whole list, as discovery's JSON."""
        return encode_list(build_snapshot(1, self.entries))

    def _changes(self, rounds: int) -> ChangeSequence:
        return ChangeSequence(self.entries, np.random.default_rng(self.seed), rounds)


def measure_router(workload: ListWorkload) -> tuple[dict[str, float], list[float]]:
    """The decision module alone, which gets endpoints that are decoded already."""
    endpoints = read_endpoints(workload.snapshot())
    clock = SteppingClock()
    router, snapshot_costs = measure_router_snapshots(workload, endpoints, clock)
    change_costs, request_costs = measure_router_changes(workload, router, clock)
    zone_cpu_s = measure_router_zone(workload, endpoints, router, clock)
    means = {f"{kind}_cpu_s": statistics.fmean(costs) for kind, costs in change_costs.items() if costs}
    every_cost = [cost for costs in change_costs.values() for cost in costs]
    return {
        **means,
        "change_cpu_s": statistics.fmean(means.values()),
        "change_max_cpu_s": max(every_cost),
        "request_cpu_s": statistics.fmean(request_costs),
        "zone_cpu_s": zone_cpu_s,
        **snapshot_costs,
    }, every_cost


def measure_router_snapshots(
    workload: ListWorkload, endpoints: tuple[Endpoint, ...], clock: SteppingClock
) -> tuple[Router, dict[str, float]]:
    """A router that has the list; the mean CPU seconds of a first snapshot and of an unchanged one."""
    snapshot = EndpointUpdate(EndpointUpdateKind.SNAPSHOT, endpoints)
    first, same = [], []
    router = Router(workload.settings, workload.seed, clock.advance())
    for _ in range(workload.snapshots):
        router = Router(workload.settings, workload.seed, clock.advance())
        first.append(thread_cpu_s(router.handle, clock.advance(), snapshot))
        same.append(thread_cpu_s(router.handle, clock.advance(), snapshot))
    means = {"first_list_cpu_s": statistics.fmean(first), "same_list_cpu_s": statistics.fmean(same)}
    return router, means


def measure_router_changes(
    workload: ListWorkload, router: Router, clock: SteppingClock
) -> tuple[dict[ChangeKind, list[float]], list[float]]:
    """CPU seconds of the changes of each kind, and of the first request after each change."""
    change_costs: dict[ChangeKind, list[float]] = {kind: [] for kind in ChangeKind}
    request_costs: list[float] = []
    for change in workload.changes():
        update = EndpointUpdate(EndpointUpdateKind.DELTA, read_endpoints(change.encoded()))
        cost = thread_cpu_s(router.handle, clock.advance(), update)
        request_costs.append(first_request_cpu_s(router, clock.advance(), len(request_costs)))
        if change.kind is not None:
            change_costs[change.kind].append(cost)
    return change_costs, request_costs


def measure_router_zone(
    workload: ListWorkload, endpoints: tuple[Endpoint, ...], router: Router, clock: SteppingClock
) -> float:
    """CPU seconds of one update that drains all caches of the first zone, mean; each is undone."""
    entries = workload.entries
    zone: list[EndpointEntry] = [
        {**entry, "status": TERMINATING} for entry in entries[:-1] if entry["zone"] == entries[0]["zone"]
    ]
    draining = read_endpoints(encode_list({"index": 1, "snapshot": False, "endpoints": zone}))
    ready = tuple(endpoint for endpoint in endpoints if endpoint.zone == endpoints[0].zone)
    costs = []
    for _ in range(workload.snapshots):
        update = EndpointUpdate(EndpointUpdateKind.DELTA, draining)
        costs.append(thread_cpu_s(router.handle, clock.advance(), update))
        router.handle(clock.advance(), EndpointUpdate(EndpointUpdateKind.DELTA, ready))
    return statistics.fmean(costs)


def measure_path(workload: ListWorkload) -> tuple[dict[str, float], list[float]]:
    """All that a list costs once its bytes are there: JSON, endpoints, table, decision module."""
    snapshot = workload.snapshot()
    first, same, costs, sizes = [], [], [], []
    for _ in range(workload.snapshots):
        dispatcher = build_dispatcher(workload.settings, workload.seed)
        first.append(thread_cpu_s(deliver, dispatcher, snapshot))
        same.append(thread_cpu_s(deliver, dispatcher, snapshot))
    for change in workload.changes():
        text = change.encoded()
        cost = thread_cpu_s(deliver, dispatcher, text)
        if change.kind is not None:
            costs.append(cost)
            sizes.append(len(text))
    return {
        "path_change_cpu_s": statistics.fmean(costs),
        "path_first_list_cpu_s": statistics.fmean(first),
        "path_same_list_cpu_s": statistics.fmean(same),
        "change_bytes": statistics.fmean(sizes),
        "whole_list_bytes": float(len(snapshot)),
    }, costs


def measure_memory(workload: ListWorkload) -> dict[str, float]:
    """What the interpreter allocates, with every allocation traced; nothing is timed meanwhile."""
    settings, seed = workload.settings, workload.seed
    snapshot = workload.snapshot()
    endpoints = read_endpoints(snapshot)
    change = workload.first_change()
    tracemalloc.start()
    try:
        before = traced_bytes()
        router = Router(settings, seed, 1e9)
        router.handle(1e9, EndpointUpdate(EndpointUpdateKind.SNAPSHOT, endpoints))
        router_bytes = traced_bytes() - before
        del router
        before = traced_bytes()
        dispatcher = build_dispatcher(settings, seed)
        deliver(dispatcher, snapshot)
        dispatcher_bytes = traced_bytes() - before
        before = traced_bytes()
        tracemalloc.reset_peak()
        deliver(dispatcher, change)
        peak = tracemalloc.get_traced_memory()[1] - before
    finally:
        tracemalloc.stop()
    return {
        "router_bytes": float(router_bytes),
        "host_bytes": float(dispatcher_bytes),
        "change_peak_bytes": float(peak),
    }


def traced_bytes() -> int:
    """Bytes allocated and not garbage."""
    gc.collect()
    return tracemalloc.get_traced_memory()[0]


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
