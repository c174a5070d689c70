"""One hollow router: the watch and the dispatcher of a complete router, without clients and requests."""

from __future__ import annotations

import asyncio
import time

from cache_router.decisions.events import EndpointUpdate, EndpointUpdateKind, Event
from cache_router.net.cache_connection import CacheConnection
from cache_router.net.connection_pool import ConnectionPool
from cache_router.net.discovery import Discovery
from cache_router.net.dispatcher import Dispatcher
from cache_router.net.endpoint_table import NetworkEndpoint
from cache_router.net.origin_connection import OriginConnection
from cache_router.settings import Settings
from scale_experiments.emulators.messages.routers import HollowMode
from scale_experiments.routers.hollow.minimal_discovery import MinimalDiscovery
from scale_experiments.routers.hollow.update_times import HollowFleetStatistics


class RinglessDispatcher(Dispatcher):
    """A dispatcher that stores endpoints, but whose decision module builds no hash ring from them."""

    def post(self, event: Event) -> None:
        """Post an event; an endpoint update is posted without its endpoints."""
        super().post(EndpointUpdate(event.kind) if isinstance(event, EndpointUpdate) else event)


class HollowRouter:
    """A hollow router, with its number in the process, that watches discovery at `address` (host:port)."""

    def __init__(
        self,
        number: int,
        *,
        address: str,
        index: int,
        mode: HollowMode,
        seed: int,
        settings: Settings,
        statistics: HollowFleetStatistics,
    ) -> None:
        self._number = number
        self._index = index
        self._mode = mode
        self._statistics = statistics
        connect_timeout, idle_timeout = settings.connect_timeout, settings.connection_idle_timeout
        cache_pool = ConnectionPool(CacheConnection, 1, connect_timeout, idle_timeout)
        origin_pool = ConnectionPool(OriginConnection, 1, connect_timeout, idle_timeout)
        dispatcher_type = Dispatcher if mode == "router" else RinglessDispatcher
        self._dispatcher = dispatcher_type(settings, seed, cache_pool, origin_pool, self._subscribe)
        self._updates_are_pushed = not settings.must_subscribe
        discovery_type = MinimalDiscovery if mode == "index" else Discovery
        self._discovery = discovery_type(
            address,
            index,
            self._on_update,
            self._on_failure,
            self._updates_are_pushed,
            budget=settings.watch_budget,
        )

    @property
    def index(self) -> int:
        """Highest index that the router has had, including that of the cached list."""
        return self._index

    @property
    def endpoint_count(self) -> int:
        """Number of endpoints that the dispatcher stores."""
        return len(self._dispatcher.endpoints)

    def start(self, cached_list: list[NetworkEndpoint]) -> None:
        """Post the cached endpoint list and subscribe, as a complete router does."""
        endpoints = [] if self._mode == "index" else cached_list
        self._dispatcher.on_endpoint_update(EndpointUpdateKind.CACHED, endpoints)
        if self._updates_are_pushed:
            self._discovery.subscribe()

    def _subscribe(self) -> None:
        self._discovery.subscribe()

    def _on_update(self, kind: EndpointUpdateKind, endpoints: list[NetworkEndpoint]) -> None:
        self._dispatcher.on_endpoint_update(kind, endpoints)
        self._statistics.on_update()
        # the watch stores the new index only after this method has returned
        asyncio.get_running_loop().call_soon(self._record_index)

    def _record_index(self) -> None:
        """Record the current index of the watch, if it is higher than all earlier ones."""
        index = self._discovery.index
        if index is not None and index > self._index:
            self._statistics.on_index(self._number, self._index, index, time.monotonic())
            self._index = index

    def _on_failure(self, discovery_address: str) -> None:
        self._statistics.on_failure()
        self._dispatcher.on_watch_failed(discovery_address)
