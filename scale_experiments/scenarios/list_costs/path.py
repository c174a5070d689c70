"""Processor time of a list from its JSON text through the dispatcher."""

from __future__ import annotations

import statistics

import orjson

from cache_router.net.cache_connection import CacheConnection
from cache_router.net.connection_pool import ConnectionPool
from cache_router.net.dispatcher import Dispatcher
from cache_router.net.endpoint_list_reader import read_endpoint_list
from cache_router.net.origin_connection import OriginConnection
from cache_router.settings import Settings
from scale_experiments.measurement.reference_work import thread_cpu_s
from scale_experiments.scenarios.list_costs.workload import ListWorkload


def build_dispatcher(settings: Settings, seed: int) -> Dispatcher:
    """A router's dispatcher, with pools that hold no connection."""
    servers = ConnectionPool(CacheConnection, 8, settings.connect_timeout, settings.connection_idle_timeout)
    origin = ConnectionPool(OriginConnection, 8, settings.connect_timeout, settings.connection_idle_timeout)
    return Dispatcher(settings, seed, servers, origin, lambda: None)


def deliver(dispatcher: Dispatcher, text: bytes) -> None:
    """Do what a watch does with a response."""
    update = read_endpoint_list(orjson.loads(text))
    dispatcher.on_endpoint_update(update.update_kind, update.endpoints)


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
