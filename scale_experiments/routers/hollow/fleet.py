"""The hollow routers of a process, and the commands of its control channel."""

from __future__ import annotations

import asyncio
from dataclasses import asdict
from typing import get_args

from cache_router.net.endpoint_list_reader import read_endpoint_list
from cache_router.settings_reader import read_settings
from scale_experiments.emulators.codec import types_by_name
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
from scale_experiments.routers.hollow.update_times import HollowFleetStatistics

HollowCommand = StartRouters | GetRoutersStats | GetUpdateTimes
COMMAND_TYPES = types_by_name(StartRouters, GetRoutersStats, GetUpdateTimes)


class HollowFleet:
    """All hollow routers of this process."""

    def __init__(self) -> None:
        self._routers: list[HollowRouter] = []
        self._statistics = HollowFleetStatistics(0)
        self._start_timers: list[asyncio.TimerHandle] = []

    async def handle(self, command: HollowCommand) -> object:
        """Execute a command of the control channel and return the reply.

        Raises:
            ValueError: The mode is unknown, or the settings or the cached list cannot be used.
        """
        match command:
            case StartRouters():
                self._start(command)
                return Done()
            case GetRoutersStats():
                return self._stats()
            case GetUpdateTimes():
                return UpdateTimes(self._statistics.update_times(command.index))

    def _start(self, command: StartRouters) -> None:
        """Start the routers, spread evenly over `spread_s` of the command."""
        if command.mode not in get_args(HollowMode):
            raise ValueError(f"no such mode: {command.mode}")
        settings = read_settings(command.settings)
        cached_list = read_endpoint_list(command.cached_list, "known")
        self._statistics = HollowFleetStatistics(command.routers)
        loop = asyncio.get_running_loop()
        for number in range(command.routers):
            router = HollowRouter(
                number,
                address=command.discovery[number % len(command.discovery)],
                index=cached_list.index,
                mode=command.mode,
                seed=command.seed + number,
                settings=settings,
                statistics=self._statistics,
            )
            self._routers.append(router)
            delay_s = command.spread_s * number / command.routers
            self._start_timers.append(loop.call_later(delay_s, router.start, cached_list.endpoints))

    def _stats(self) -> RoutersStats:
        """Return the counts since the start, the lowest index and endpoint count, and the process usage."""
        return RoutersStats(
            updates=self._statistics.updates,
            failed=self._statistics.failed,
            lowest_index=min((router.index for router in self._routers), default=0),
            fewest_endpoints=min((router.endpoint_count for router in self._routers), default=0),
            **asdict(process_usage()),
        )
