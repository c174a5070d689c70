"""The cache servers and the origin of a process, and the commands of its control channel."""

from __future__ import annotations

import asyncio
import time
from dataclasses import asdict
from typing import get_args

from scale_experiments.emulators.address import format_address, parse_address
from scale_experiments.emulators.cache.cluster import CacheCluster
from scale_experiments.emulators.cache.origin import Origin
from scale_experiments.emulators.cache.server import CacheServer
from scale_experiments.emulators.codec import types_by_name
from scale_experiments.emulators.control import process_usage
from scale_experiments.emulators.messages.caches import (
    CacheMode,
    CachesStarted,
    CachesStats,
    GetCachesStats,
    OriginCounters,
    SetCacheMode,
    StartCaches,
)
from scale_experiments.emulators.messages.common import Done

SAMPLE_INTERVAL_S = 0.1  # interval between samples of the number of open connections
CachesCommand = StartCaches | SetCacheMode | GetCachesStats
COMMAND_TYPES = types_by_name(StartCaches, SetCacheMode, GetCachesStats)


class CachesEmulator:
    """The emulated cache servers and the origin of the process, controlled by commands."""

    def __init__(self) -> None:
        self._caches: dict[str, CacheServer] = {}  # cache servers by name
        self._origin: Origin | None = None
        self._sample_count = 0
        self._sampling_task: asyncio.Task[None] | None = None

    async def handle(self, command: CachesCommand) -> object:
        """Execute a command of the control channel and return its reply.

        Raises:
            OSError: An address cannot be used.
            KeyError: No cache server has the name given.
            ValueError: The mode does not exist, or the port of an address is not a number.
        """
        match command:
            case StartCaches():
                return await self._start(command)
            case GetCachesStats():
                return self._stats()
            case SetCacheMode():
                await self._set_mode(command)
        return Done()

    async def _start(self, command: StartCaches) -> CachesStarted:
        cluster = CacheCluster(command)
        for name, address in command.addresses.items():
            self._caches[name] = CacheServer(cluster, name, parse_address(address))
        for cache in list(self._caches.values()):
            await cache.listen()
        self._origin = Origin(
            cluster.on_origin_response,
            cluster.value_for,
            command.origin_service_s,
            command.origin_max_concurrent,
        )
        self._sampling_task = asyncio.create_task(self._sample_connections())
        origin_address = await self._origin.listen(*parse_address(command.origin))
        return CachesStarted(format_address(origin_address))

    async def _sample_connections(self) -> None:
        while True:
            self._sample_count += 1
            for cache in self._caches.values():
                cache.sample_connections()
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def _set_mode(self, command: SetCacheMode) -> None:
        if command.mode not in get_args(CacheMode):
            raise ValueError(f"no such mode: {command.mode}")
        for name in command.names:
            await self._caches[name].set_mode(command.mode)

    def _stats(self) -> CachesStats:
        return CachesStats(
            time=time.time(),
            samples=self._sample_count,
            caches={cache.name: cache.counters() for cache in self._caches.values()},
            origin=self._origin.counters() if self._origin is not None else OriginCounters(),
            **asdict(process_usage()),
        )
