"""One router without clients."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from cache_router.decisions.events import EndpointUpdate, EndpointUpdateKind, Event
from cache_router.net.cache_connection import CacheConnection
from cache_router.net.connection_pool import ConnectionPool
from cache_router.net.discovery import Discovery
from cache_router.net.dispatcher import Dispatcher
from cache_router.net.endpoint_table import NetworkEndpoint
from cache_router.net.origin_connection import OriginConnection
from scale_experiments.routers.hollow.minimal_discovery import MinimalDiscovery

if TYPE_CHECKING:
    from scale_experiments.routers.hollow.fleet import HollowFleet


class RinglessDispatcher(Dispatcher):
    """A dispatcher that stores endpoints and leaves the decision module without a ring."""

    def post(self, event: Event) -> None:
        """Post an event; of an endpoint update only its kind."""
        super().post(EndpointUpdate(event.kind) if isinstance(event, EndpointUpdate) else event)


class HollowRouter:
    """One router without clients."""

    def __init__(self, number: int, fleet: HollowFleet, address: str, seed: int, index: int) -> None:
        self.number = number
        self.fleet = fleet
        self.index = index
        settings = fleet.settings
        connect_timeout, idle_timeout = settings.connect_timeout, settings.connection_idle_timeout
        cache_pool = ConnectionPool(CacheConnection, 1, connect_timeout, idle_timeout)
        origin_pool = ConnectionPool(OriginConnection, 1, connect_timeout, idle_timeout)
        dispatcher_type = Dispatcher if fleet.mode == "router" else RinglessDispatcher
        self.dispatcher = dispatcher_type(settings, seed, cache_pool, origin_pool, self._subscribe)
        self.is_automatic = not settings.must_subscribe
        discovery_type = MinimalDiscovery if fleet.mode == "index" else Discovery
        self.discovery = discovery_type(
            address, index, self._on_update, self._on_failure, self.is_automatic, budget=settings.watch_budget
        )

    def start(self, cached_list: list[NetworkEndpoint]) -> None:
        """Post the cached endpoint list and subscribe, as the program does."""
        endpoints = [] if self.fleet.mode == "index" else cached_list
        self.dispatcher.on_endpoint_update(EndpointUpdateKind.CACHED, endpoints)
        if self.is_automatic:
            self.discovery.subscribe()

    def _subscribe(self) -> None:
        self.discovery.subscribe()

    def _on_update(self, kind: EndpointUpdateKind, members: list[NetworkEndpoint]) -> None:
        self.dispatcher.on_endpoint_update(kind, members)
        index = self.discovery.index
        if index is not None and index > self.index:
            self.fleet.times.record(self.number, self.index, index, time.monotonic())
            self.index = index
        self.fleet.updates += 1

    def _on_failure(self) -> None:
        self.fleet.failed += 1
        self.dispatcher.on_watch_failed()
