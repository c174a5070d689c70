"""Memory that a list takes in a router."""

from __future__ import annotations

import gc
import tracemalloc

from cache_router.decisions.events import EndpointUpdate, EndpointUpdateKind
from cache_router.decisions.router import Router
from scale_experiments.scenarios.list_costs.path import build_dispatcher, deliver
from scale_experiments.scenarios.list_costs.workload import ListWorkload, read_endpoints


def traced_bytes() -> int:
    """Bytes allocated and not garbage."""
    gc.collect()
    return tracemalloc.get_traced_memory()[0]


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
