"""The hollow routers of a process, driven by the commands of its control channel."""

from __future__ import annotations

import asyncio
import math
from array import array
from dataclasses import asdict
from typing import get_args

from cache_router.net.endpoint_list_reader import read_endpoint_list
from cache_router.settings import Settings
from cache_router.settings_reader import read_settings
from scale_experiments.emulators.control import process_usage
from scale_experiments.emulators.messages.common import Done
from scale_experiments.emulators.messages.routers import (
    GetRoutersStats,
    GetUpdateTimes,
    HollowMode,
    RoutersStats,
    StartRouters,
    UpdateTimes,
)
from scale_experiments.routers.hollow.router import HollowRouter
from scale_experiments.routers.hollow.update_times import UpdateTimeTable

HollowCommand = StartRouters | GetRoutersStats | GetUpdateTimes
COMMAND_TYPES: dict[str, type[HollowCommand]] = {
    each.do: each for each in (StartRouters, GetRoutersStats, GetUpdateTimes)
}


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
