"""What a change of the list, and a whole list, cost one router; no sockets, all in this process.

Only what hosts use is called: `Router.handle`, `read_endpoint_list` and `Dispatcher.on_endpoint_update`, on
pools that hold no connection.
"""

from __future__ import annotations

import gc
import statistics
import time
import tracemalloc
from collections.abc import Iterator, Mapping, Sequence
from typing import Any

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
from scale_experiments.context import ExperimentContext, Sample
from scale_experiments.endpoint_changes import (
    CHANGES,
    DEFAULT_WEIGHT,
    DEFAULT_ZONES,
    ChangeSequence,
    build_entries,
    encode_message,
)
from scale_experiments.reference_work import measure_reference_cpu_s, thread_cpu_s

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


class Size(BaseModel):
    """The columns of a size."""

    model_config = ConfigDict(extra="forbid")

    routers: int = Field(
        default=1, ge=1, le=1_000_000, strict=True, description="siblings, as the settings say"
    )
    caches: int = Field(
        ge=1, le=100_000, strict=True, description="page caches in the list, beside the origin"
    )
    changes_per_s: float = Field(ge=0, description="changes of the list a second")


METRICS = {
    **{f"{sort}_cpu_s": f"CPU seconds of Router.handle for one {sort}, mean" for sort in CHANGES},
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
    "reference_cpu_s": "CPU seconds of a fixed piece of work, by which to compare differently busy machines",
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
    """The entries of a message."""
    return tuple(each.entry for each in read_endpoint_list(orjson.loads(text)).endpoints)


class SteppingClock:
    """The time that a router is told: it only advances."""

    def __init__(self) -> None:
        self.time = 1e9

    def advance(self) -> float:
        self.time += 1.0
        return self.time


def build_dispatcher(settings: Settings, seed: int) -> Dispatcher:
    """A router's dispatcher, with pools that hold no connection."""
    servers = ConnectionPool(CacheConnection, 8, settings.connect_timeout, settings.connection_idle_timeout)
    origin = ConnectionPool(OriginConnection, 8, settings.connect_timeout, settings.connection_idle_timeout)
    return Dispatcher(settings, seed, servers, origin, lambda: None)


def deliver(dispatcher: Dispatcher, text: bytes) -> None:
    """What a watch does with an answer."""
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


def measure_router(
    settings: Settings, entries: Sequence[dict[str, Any]], parameters: Parameters, seed: int
) -> tuple[dict[str, float], HdrHistogram]:
    """The decision module alone, told entries that are read already."""
    whole = read_endpoints(encode_message(1, True, entries))
    clock = SteppingClock()
    first, same = [], []
    router = Router(settings, seed, clock.advance())
    for _ in range(parameters.whole_lists):
        router = Router(settings, seed, clock.advance())
        event = EndpointUpdate(EndpointUpdateKind.SNAPSHOT, whole)
        first.append(thread_cpu_s(router.handle, clock.advance(), event))
        same.append(thread_cpu_s(router.handle, clock.advance(), event))
    spent: dict[str, list[float]] = {sort: [] for sort in CHANGES}
    requests: list[float] = []
    histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
    for sort, text in ChangeSequence(entries, np.random.default_rng(seed), parameters.changes):
        event = EndpointUpdate(EndpointUpdateKind.DELTA, read_endpoints(text))
        cost = thread_cpu_s(router.handle, clock.advance(), event)
        requests.append(first_request_cpu_s(router, clock.advance(), len(requests)))
        if sort is not None:
            spent[sort].append(cost)
            histogram.record_value(min(MAX_LATENCY_US, max(1, round(cost * 1e6))))
    zone = [
        {**entry, "status": "terminating"} for entry in entries[:-1] if entry["zone"] == entries[0]["zone"]
    ]
    lost, back = (
        read_endpoints(encode_message(1, False, zone)),
        tuple(e for e in whole if e.zone == whole[0].zone),
    )
    zones = []
    for _ in range(parameters.whole_lists):
        zones.append(
            thread_cpu_s(router.handle, clock.advance(), EndpointUpdate(EndpointUpdateKind.DELTA, lost))
        )
        router.handle(clock.advance(), EndpointUpdate(EndpointUpdateKind.DELTA, back))
    means = {f"{sort}_cpu_s": statistics.fmean(costs) for sort, costs in spent.items() if costs}
    return {
        **means,
        "change_cpu_s": statistics.fmean(means.values()),
        "change_max_cpu_s": max(cost for costs in spent.values() for cost in costs),
        "request_cpu_s": statistics.fmean(requests),
        "zone_cpu_s": statistics.fmean(zones),
        "first_list_cpu_s": statistics.fmean(first),
        "same_list_cpu_s": statistics.fmean(same),
    }, histogram


def measure_path(
    settings: Settings, entries: Sequence[dict[str, Any]], parameters: Parameters, seed: int
) -> tuple[dict[str, float], HdrHistogram]:
    """All that a list costs once its bytes are there: text, entries, table, decision module."""
    whole = encode_message(1, True, entries)
    first, same, spent, sizes = [], [], [], []
    for _ in range(parameters.whole_lists):
        dispatcher = build_dispatcher(settings, seed)
        first.append(thread_cpu_s(deliver, dispatcher, whole))
        same.append(thread_cpu_s(deliver, dispatcher, whole))
    histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
    for sort, text in ChangeSequence(entries, np.random.default_rng(seed), parameters.changes):
        cost = thread_cpu_s(deliver, dispatcher, text)
        if sort is not None:
            spent.append(cost)
            sizes.append(len(text))
            histogram.record_value(min(MAX_LATENCY_US, max(1, round(cost * 1e6))))
    return {
        "path_change_cpu_s": statistics.fmean(spent),
        "path_first_list_cpu_s": statistics.fmean(first),
        "path_same_list_cpu_s": statistics.fmean(same),
        "change_bytes": statistics.fmean(sizes),
        "whole_list_bytes": float(len(whole)),
    }, histogram


def measure_memory(
    settings: Settings, entries: Sequence[dict[str, Any]], parameters: Parameters, seed: int
) -> dict[str, float]:
    """What the interpreter allocates, with every allocation traced; nothing is timed meanwhile."""
    whole = encode_message(1, True, entries)
    endpoints = read_endpoints(whole)
    change = next(text for _, text in ChangeSequence(entries, np.random.default_rng(seed), 1))
    tracemalloc.start()
    try:
        before = traced_bytes()
        router = Router(settings, seed, 1e9)
        router.handle(1e9, EndpointUpdate(EndpointUpdateKind.SNAPSHOT, endpoints))
        router_bytes = traced_bytes() - before
        del router
        before = traced_bytes()
        dispatcher = build_dispatcher(settings, seed)
        deliver(dispatcher, whole)
        host_bytes = traced_bytes() - before
        before = traced_bytes()
        tracemalloc.reset_peak()
        deliver(dispatcher, change)
        peak = tracemalloc.get_traced_memory()[1] - before
    finally:
        tracemalloc.stop()
    return {
        "router_bytes": float(router_bytes),
        "host_bytes": float(host_bytes),
        "change_peak_bytes": float(peak),
    }


def traced_bytes() -> int:
    """Bytes allocated and not garbage."""
    gc.collect()
    return tracemalloc.get_traced_memory()[0]


def measure(
    parameters: Parameters, size: Mapping[str, float], seed: int, context: ExperimentContext
) -> Iterator[Sample]:
    """One sample; CPU seconds are of this thread alone, so that a busy machine adds little to them."""
    caches, changes_per_s = int(size["caches"]), float(size["changes_per_s"])
    settings = build_settings(int(size.get("routers", 1)))
    entries = build_entries(caches, parameters.zones, parameters.weight, np.random.default_rng(seed))
    gc.collect()
    gc.freeze()  # what the rig itself holds is not a router's to collect
    try:
        references = [measure_reference_cpu_s()]
        context.progress("decision module")
        metrics, change = measure_router(settings, entries, parameters, seed)
        context.progress("whole path")
        more, path = measure_path(settings, entries, parameters, seed)
        references.append(measure_reference_cpu_s())
        context.progress("memory")
        metrics |= more | measure_memory(settings, entries, parameters, seed)
    finally:
        gc.unfreeze()
    metrics["reference_cpu_s"] = statistics.fmean(references)
    metrics["core_share"] = changes_per_s * metrics["path_change_cpu_s"]
    metrics["change_bytes_per_s"] = changes_per_s * metrics["change_bytes"]
    yield Sample(metrics, {"change_us": change, "path_change_us": path})
