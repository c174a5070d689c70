"""The caches and the origin of a process, driven by the commands of its control channel."""

from __future__ import annotations

import asyncio
import time
from dataclasses import asdict
from typing import get_args

from scale_experiments.emulators.cache.cluster import CacheCluster
from scale_experiments.emulators.cache.origin import Origin
from scale_experiments.emulators.cache.server import Cache
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

SAMPLE_INTERVAL_S = 0.1  # between counts of open connections
CachesCommand = StartCaches | SetCacheMode | GetCachesStats
COMMAND_TYPES: dict[str, type[CachesCommand]] = {
    each.do: each for each in (StartCaches, SetCacheMode, GetCachesStats)
}


class CachesEmulator:
    """All that the process emulates, driven by the commands of its control channel."""

    def __init__(self) -> None:
        self.caches: dict[str, Cache] = {}
        self.origin: Origin | None = None
        self.samples = 0
        self.sampling: asyncio.Task[None] | None = None

    async def start(self, command: StartCaches) -> CachesStarted:
        """Start the caches and the origin; raises OSError if an address can't be used."""
        cluster = CacheCluster(command)
        for name, address in command.addresses.items():
            self.caches[name] = Cache(cluster, name, _parse_address(address))
        caches = list(self.caches.values())
        for cache in caches:
            await cache.listen()
        self.origin = Origin(
            lambda key, request_id, is_write: cluster.on_fetched(key, request_id, is_write, caches),
            cluster.value,
            command.origin_service_s,
            command.origin_max_concurrent,
        )
        self.sampling = asyncio.create_task(self._sample())
        return CachesStarted("{}:{}".format(*await self.origin.listen(*_parse_address(command.origin))))

    async def _sample(self) -> None:
        while True:
            self.samples += 1
            for cache in self.caches.values():
                cache.open_sum += len(cache.connections)
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def stats(self) -> CachesStats:
        """Counts of each cache and the origin since the start, and what the process has used."""
        return CachesStats(
            time=time.time(),
            samples=self.samples,
            caches={cache.name: cache.counters() for cache in self.caches.values()},
            origin=self.origin.counters() if self.origin is not None else OriginCounters(),
            **asdict(process_usage()),
        )

    async def handle(self, command: CachesCommand) -> object:
        """Carry out a command of the control channel; returns the reply."""
        match command:
            case StartCaches():
                return await self.start(command)
            case GetCachesStats():
                return self.stats()
            case SetCacheMode():
                if command.mode not in get_args(CacheMode):
                    raise ValueError(f"no such mode: {command.mode}")
                for name in command.names:
                    await self.caches[name].set_mode(command.mode)
        return Done()


def _parse_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
