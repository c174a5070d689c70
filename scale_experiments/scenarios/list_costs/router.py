"""CPU time of the decision module alone, which receives parsed endpoints."""

from __future__ import annotations

import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

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
from scale_experiments.scenarios.list_costs.workload import START_TIME, ListWorkload, read_endpoints

RESPONSE_TIME_S = 0.01  # response time of the server that answers a request


@dataclass(slots=True, frozen=True)
class RouterCosts:
    """CPU seconds of single calls of `Router.handle`, by the event that it handled."""

    changes: Mapping[ChangeKind, Sequence[float]]
    requests: Sequence[float]  # CPU seconds of the first request after each change
    zone_drains: Sequence[float]  # CPU seconds of one update that drains all caches of a zone
    first_snapshots: Sequence[float]
    unchanged_snapshots: Sequence[float]

    def all_changes(self) -> list[float]:
        """Return the CPU seconds of the changes of all kinds."""
        return [cost for costs in self.changes.values() for cost in costs]


@dataclass(slots=True, frozen=True)
class SnapshotCosts:
    """CPU seconds of first and unchanged snapshots, and a router that has received the list."""

    router: Router
    first: Sequence[float]
    unchanged: Sequence[float]


@dataclass(slots=True, frozen=True)
class ChangeCosts:
    """CPU seconds of changes by kind, and of the first request after each change."""

    changes: Mapping[ChangeKind, Sequence[float]]
    requests: Sequence[float]


class SteppingClock:
    """Clock for the times that are passed to a router, in seconds; it only advances."""

    def __init__(self) -> None:
        self.time = START_TIME

    def advance(self) -> float:
        """Advance by one second; returns the new time."""
        self.time += 1.0
        return self.time


def first_request_cpu_s(router: Router, now: float, number: int) -> float:
    """Return the CPU seconds to handle a request, including work that an endpoint change has deferred.

    The request is then completed, outside the measured time.
    """
    name = f"r{number}"
    request = Request(name, "page-read", 1.2, f"page:{number}")
    started_at = time.thread_time()
    actions = router.handle(now, request)
    spent = time.thread_time() - started_at
    for action in actions:
        if isinstance(action, Send):
            completed = AttemptCompleted(name, 0, AttemptStatus.OK, True, RESPONSE_TIME_S)
            router.handle(now + RESPONSE_TIME_S, completed)
    return spent


def measure_router(workload: ListWorkload) -> RouterCosts:
    """Measure snapshots, then changes and the drains of a zone on the router of the last snapshot."""
    endpoints = read_endpoints(workload.snapshot())
    clock = SteppingClock()
    snapshots = measure_snapshots(workload, endpoints, clock)
    router = snapshots.router
    changes = measure_changes(workload, router, clock)
    zone_drains = measure_zone_drains(workload, endpoints, router, clock)
    return RouterCosts(
        changes=changes.changes,
        requests=changes.requests,
        zone_drains=zone_drains,
        first_snapshots=snapshots.first,
        unchanged_snapshots=snapshots.unchanged,
    )


def measure_snapshots(
    workload: ListWorkload, endpoints: tuple[Endpoint, ...], clock: SteppingClock
) -> SnapshotCosts:
    """Measure a first and an unchanged snapshot on each of several new routers; the last router is kept."""
    snapshot = EndpointUpdate(EndpointUpdateKind.SNAPSHOT, endpoints)
    first, unchanged = [], []
    router = Router(workload.settings, workload.seed, clock.advance())
    for _ in range(workload.repetitions):
        router = Router(workload.settings, workload.seed, clock.advance())
        first.append(thread_cpu_s(router.handle, clock.advance(), snapshot))
        unchanged.append(thread_cpu_s(router.handle, clock.advance(), snapshot))
    return SnapshotCosts(router, first, unchanged)


def measure_changes(workload: ListWorkload, router: Router, clock: SteppingClock) -> ChangeCosts:
    """Measure the changes of each kind, and the first request after each change."""
    changes: dict[ChangeKind, list[float]] = {kind: [] for kind in ChangeKind}
    requests: list[float] = []
    for change in workload.changes():
        update = EndpointUpdate(EndpointUpdateKind.DELTA, read_endpoints(change.encoded()))
        cost = thread_cpu_s(router.handle, clock.advance(), update)
        requests.append(first_request_cpu_s(router, clock.advance(), len(requests)))
        if change.kind is not None:
            changes[change.kind].append(cost)
    return ChangeCosts(changes, requests)


def measure_zone_drains(
    workload: ListWorkload, endpoints: tuple[Endpoint, ...], router: Router, clock: SteppingClock
) -> list[float]:
    """Measure repeated updates that drain all caches of the first zone; undoing them is not measured."""
    entries = workload.entries
    # the last entry is the origin, which stays in service
    zone: list[EndpointEntry] = [
        {**entry, "status": TERMINATING} for entry in entries[:-1] if entry["zone"] == entries[0]["zone"]
    ]
    draining = read_endpoints(encode_list({"index": 1, "snapshot": False, "endpoints": zone}))
    ready = tuple(endpoint for endpoint in endpoints if endpoint.zone == endpoints[0].zone)
    costs = []
    for _ in range(workload.repetitions):
        update = EndpointUpdate(EndpointUpdateKind.DELTA, draining)
        costs.append(thread_cpu_s(router.handle, clock.advance(), update))
        router.handle(clock.advance(), EndpointUpdate(EndpointUpdateKind.DELTA, ready))
    return costs
