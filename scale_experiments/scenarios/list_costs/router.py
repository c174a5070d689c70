"""Processor time of the decision module alone, which gets endpoints that are decoded already."""

from __future__ import annotations

import statistics
import time

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
from scale_experiments.endpoint_lists.endpoint_changes import ChangeKind
from scale_experiments.endpoint_lists.endpoint_entries import TERMINATING, EndpointEntry, encode_list
from scale_experiments.measurement.reference_work import thread_cpu_s
from scale_experiments.scenarios.list_costs.workload import ListWorkload, read_endpoints


class SteppingClock:
    """The time that a router is given, in seconds; it only advances."""

    def __init__(self) -> None:
        self.time = 1e9

    def advance(self) -> float:
        """One second later."""
        self.time += 1.0
        return self.time


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
