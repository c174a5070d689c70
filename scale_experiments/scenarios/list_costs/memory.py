"""Memory that a router allocates for an endpoint list."""

from __future__ import annotations

import gc
import tracemalloc
from dataclasses import dataclass

from cache_router.decisions.events import EndpointUpdate, EndpointUpdateKind
from cache_router.decisions.router import Router
from scale_experiments.scenarios.list_costs.path import apply_list, build_dispatcher
from scale_experiments.scenarios.list_costs.workload import START_TIME, ListWorkload, read_endpoints


@dataclass(slots=True, frozen=True)
class ListMemory:
    """Bytes that a router allocates for an endpoint list, as `tracemalloc` counts them."""

    router_bytes: int  # bytes of a Router, without the endpoints
    dispatcher_bytes: int  # bytes of a Dispatcher, with its Router and the endpoints
    change_peak_bytes: int  # peak of the additional bytes while the Dispatcher applies one change


def traced_bytes() -> int:
    """Collect garbage, and return the number of bytes that are then allocated."""
    gc.collect()
    return tracemalloc.get_traced_memory()[0]


def measure_memory(workload: ListWorkload) -> ListMemory:
    """Measure the memory that the interpreter allocates.

    Tracing slows the interpreter down, so that CPU time is measured elsewhere.
    """
    settings, seed = workload.settings, workload.seed
    snapshot = workload.snapshot()
    endpoints = read_endpoints(snapshot)
    change = workload.first_change()
    tracemalloc.start()
    try:
        before = traced_bytes()
        router = Router(settings, seed, START_TIME)
        router.handle(START_TIME, EndpointUpdate(EndpointUpdateKind.SNAPSHOT, endpoints))
        router_bytes = traced_bytes() - before
        del router
        before = traced_bytes()
        dispatcher = build_dispatcher(settings, seed)
        apply_list(dispatcher, snapshot)
        dispatcher_bytes = traced_bytes() - before
        before = traced_bytes()
        tracemalloc.reset_peak()
        apply_list(dispatcher, change)
        peak = tracemalloc.get_traced_memory()[1] - before
    finally:
        tracemalloc.stop()
    return ListMemory(router_bytes, dispatcher_bytes, peak)
