"""Hollow routers: hundreds in one process, each with the real watch over a real socket and no clients.

    python -m scale_experiments.routers.hollow

A hollow router is a router without its data path, as a hollow node of Kubernetes is a kubelet without
containers: discovery can't tell it from a whole one. It is the program's own `Discovery` and `Dispatcher`,
put together as the program does it. What it does with an endpoint list depends on its mode:

- "router": the decision module handles every list.
- "list": the dispatcher stores the list, and the decision module only learns that there was one. Its backoff
  after failed polls stays in force, and no ring is built.
- "index": only the index is stored. A poll is made and read with the least work that puts the same bytes on
  the wire, so that one machine bears the load of some thousand routers on discovery.

Commands: `StartRouters`, `GetRoutersStats` and `GetUpdateTimes` of `scale_experiments.emulators.messages`.
"""

from __future__ import annotations

import asyncio
import logging
import math
import re
import time
from array import array
from collections import OrderedDict
from dataclasses import asdict
from typing import cast, get_args

from cache_router.decisions.events import EndpointUpdate, EndpointUpdateKind, Event
from cache_router.endpoint import Endpoint
from cache_router.net.address import parse_address
from cache_router.net.cache_connection import CacheConnection
from cache_router.net.connection_pool import ConnectionPool
from cache_router.net.discovery import MAX_LIST_SIZE, Discovery
from cache_router.net.dispatcher import Dispatcher
from cache_router.net.endpoint_list_reader import EndpointListError, EndpointListMessage, read_endpoint_list
from cache_router.net.endpoint_table import NetworkEndpoint
from cache_router.net.origin_connection import OriginConnection
from cache_router.settings import Settings
from cache_router.settings_reader import read_settings
from scale_experiments.emulators.control import process_usage, serve_commands
from scale_experiments.emulators.messages.common import Done
from scale_experiments.emulators.messages.routers import (
    GetRoutersStats,
    GetUpdateTimes,
    HollowMode,
    RoutersStats,
    StartRouters,
    UpdateTimes,
)

MAX_RECORDED_INDICES = 512  # for each router
RESPONSE_HEAD = re.compile(
    rb"HTTP/1.1 (\d+) .*?\r\ncontent-length: *(\d+)\r\n.*?\r\n\r\n", re.IGNORECASE | re.DOTALL
)
# in place of the endpoints of a response that has any
PLACEHOLDER_ENDPOINTS = [NetworkEndpoint(Endpoint("-"), "127.0.0.1:1")]
HollowCommand = StartRouters | GetRoutersStats | GetUpdateTimes
COMMAND_TYPES: dict[str, type[HollowCommand]] = {
    each.do: each for each in (StartRouters, GetRoutersStats, GetUpdateTimes)
}


class RinglessDispatcher(Dispatcher):
    """A dispatcher that stores endpoints and leaves the decision module without a ring."""

    def post(self, event: Event) -> None:
        """Post an event; of an endpoint update only its kind."""
        super().post(EndpointUpdate(event.kind) if isinstance(event, EndpointUpdate) else event)


class MinimalPoll(asyncio.Protocol):
    """One poll and its response."""

    def __init__(self, request: bytes, done: asyncio.Future[bytes]) -> None:
        self.request = request
        self.done = done
        self.buffer = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the poll."""
        cast(asyncio.Transport, transport).write(self.request)

    def data_received(self, data: bytes) -> None:
        """Finish once the response is whole, or fail if it can't be used."""
        self.buffer += data
        head = RESPONSE_HEAD.match(self.buffer)
        if head is not None and len(self.buffer) >= head.end() + int(head[2]):
            if head[1] == b"200":
                self._finish(self.buffer[head.end() :])
            else:
                self._fail(EndpointListError(f"answered {head[1].decode()}"))
        elif len(self.buffer) > MAX_LIST_SIZE:
            self._fail(EndpointListError("too long"))

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail, unless the response was whole."""
        self._fail(exc or ConnectionResetError("ended without an answer"))

    def _finish(self, body: bytes) -> None:
        if not self.done.done():
            self.done.set_result(body)

    def _fail(self, error: Exception) -> None:
        if not self.done.done():
            self.done.set_exception(error)


class MinimalDiscovery(Discovery):
    """The real watch with a poll of its own: the same request and times, but only the index is read."""

    async def _poll(self) -> EndpointListMessage:
        poll = self.next_poll()
        request = f"GET {poll.target} HTTP/1.1\r\nHost: {self.address}\r\nConnection: close\r\n\r\n".encode()
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(poll.timeout):
            done: asyncio.Future[bytes] = loop.create_future()
            transport, _ = await loop.create_connection(
                lambda: MinimalPoll(request, done), *parse_address(self.address)
            )
            try:
                body = await done
            finally:
                transport.close()
        # decoding all of a list would cost as much as storing it
        index = re.match(rb'{"index":(\d+),"snapshot":(true|false),"endpoints":\[(.?)', body)
        if index is None:
            raise EndpointListError("no list")
        endpoints = PLACEHOLDER_ENDPOINTS if index[3] == b"{" else []
        return EndpointListMessage(int(index[1]), index[2] == b"true", endpoints)


class UpdateTimeTable:
    """When each router first had each index: seconds of the monotonic clock, NaN where it has not."""

    def __init__(self, routers: int) -> None:
        self.routers = routers
        self.by_index: OrderedDict[int, array[float]] = OrderedDict()

    def record(self, router: int, before: int, index: int, at: float) -> None:
        """Record that a router has `index` at a time, after `before`; older indices are dropped."""
        for each in range(max(before + 1, index - MAX_RECORDED_INDICES + 1), index + 1):
            if each not in self.by_index:
                self.by_index[each] = array("d", [math.nan]) * self.routers
                if len(self.by_index) > MAX_RECORDED_INDICES:
                    self.by_index.popitem(last=False)
            self.by_index[each][router] = at


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


class HollowFleet:
    """The routers of this process."""

    def __init__(self) -> None:
        self.settings = Settings(classes={})
        self.mode: HollowMode = "list"
        self.routers: list[HollowRouter] = []
        self.times = UpdateTimeTable(0)
        self.updates = 0
        self.failed = 0
        self.start_timers: list[asyncio.TimerHandle] = []

    def start(self, command: StartRouters) -> None:
        """Start the routers, each at its own time; raises ValueError for settings that can't be used."""
        if command.mode not in get_args(HollowMode):
            raise ValueError(f"no such mode: {command.mode}")
        self.settings = read_settings(command.settings)
        self.mode = command.mode
        cached_list = read_endpoint_list(command.cached_list, "known")
        self.times = UpdateTimeTable(command.routers)
        loop = asyncio.get_running_loop()
        for number in range(command.routers):
            address = command.discovery[number % len(command.discovery)]
            router = HollowRouter(number, self, address, command.seed + number, cached_list.index)
            self.routers.append(router)
            delay_s = command.spread_s * number / command.routers
            self.start_timers.append(loop.call_later(delay_s, router.start, cached_list.endpoints))

    def stats(self) -> RoutersStats:
        """Counts since the start, and what the process has used."""
        return RoutersStats(
            updates=self.updates,
            failed=self.failed,
            lowest_index=min((router.index for router in self.routers), default=0),
            fewest_endpoints=min((len(router.dispatcher.endpoints) for router in self.routers), default=0),
            **asdict(process_usage()),
        )

    def update_times(self, index: int) -> UpdateTimes:
        """When each router had an index; NaN where it has not, which JSON has as null."""
        unknown = array("d", [math.nan]) * self.times.routers
        return UpdateTimes(list(self.times.by_index.get(index, unknown)))

    async def handle(self, command: HollowCommand) -> object:
        """Carry out a command of the control channel; returns the reply."""
        match command:
            case StartRouters():
                self.start(command)
                return Done()
            case GetRoutersStats():
                return self.stats()
            case GetUpdateTimes():
                return self.update_times(command.index)


if __name__ == "__main__":
    # failed polls are counted; some thousand lines a second would cost more than the polls
    logging.basicConfig(level=logging.ERROR)
    asyncio.run(serve_commands(HollowFleet().handle, COMMAND_TYPES))
