"""CPU time to parse an endpoint list and apply it in the dispatcher."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import orjson

from cache_router.net.cache_connection import CacheConnection
from cache_router.net.connection_pool import ConnectionPool
from cache_router.net.dispatcher import Dispatcher
from cache_router.net.endpoint_list_reader import read_endpoint_list
from cache_router.net.origin_connection import OriginConnection
from cache_router.settings import Settings
from scale_experiments.measurement.reference_work import thread_cpu_s
from scale_experiments.scenarios.list_costs.workload import ListWorkload

CONNECTION_LIMIT = 8  # limit of each connection pool, which stays empty


@dataclass(slots=True, frozen=True)
class PathCosts:
    """CPU seconds to parse and apply single changes and snapshots, and the sizes of their JSON."""

    changes: Sequence[float]
    first_snapshots: Sequence[float]
    unchanged_snapshots: Sequence[float]
    change_bytes: Sequence[int]
    snapshot_bytes: int


def build_dispatcher(settings: Settings, seed: int) -> Dispatcher:
    """Build a dispatcher with empty connection pools."""
    servers = ConnectionPool(
        CacheConnection, CONNECTION_LIMIT, settings.connect_timeout, settings.connection_idle_timeout
    )
    origin = ConnectionPool(
        OriginConnection, CONNECTION_LIMIT, settings.connect_timeout, settings.connection_idle_timeout
    )
    return Dispatcher(settings, seed, servers, origin, lambda: None)


def apply_list(dispatcher: Dispatcher, text: bytes) -> None:
    """Parse an endpoint list and apply it in the dispatcher, as the program's watch does with a response."""
    update = read_endpoint_list(orjson.loads(text))
    dispatcher.on_endpoint_update(update.update_kind, update.endpoints)


def measure_path(workload: ListWorkload) -> PathCosts:
    """Measure the CPU time to parse received lists and update the endpoint table and the decision module."""
    snapshot = workload.snapshot()
    first, unchanged, changes, sizes = [], [], [], []
    for _ in range(workload.repetitions):
        dispatcher = build_dispatcher(workload.settings, workload.seed)
        first.append(thread_cpu_s(apply_list, dispatcher, snapshot))
        unchanged.append(thread_cpu_s(apply_list, dispatcher, snapshot))
    for change in workload.changes():
        text = change.encoded()
        cost = thread_cpu_s(apply_list, dispatcher, text)
        if change.kind is not None:
            changes.append(cost)
            sizes.append(len(text))
    return PathCosts(
        changes=changes,
        first_snapshots=first,
        unchanged_snapshots=unchanged,
        change_bytes=sizes,
        snapshot_bytes=len(snapshot),
    )
