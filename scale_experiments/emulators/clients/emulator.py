"""The loads on all routers, and the commands of the clients' control channel."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from dataclasses import asdict

from scale_experiments.emulators.clients.load import RouterLoad
from scale_experiments.emulators.clients.statistics import build_latency_histogram
from scale_experiments.emulators.codec import types_by_name
from scale_experiments.emulators.control import process_usage
from scale_experiments.emulators.messages.clients import (
    ClientsStats,
    GetClientsStats,
    PauseClients,
    StartClients,
)
from scale_experiments.emulators.messages.common import Done
from scale_experiments.measurement.histograms import encode_histogram

ClientsCommand = StartClients | PauseClients | GetClientsStats
COMMAND_TYPES = types_by_name(StartClients, PauseClients, GetClientsStats)


class ClientsEmulator:
    """The emulated clients of the process, with a load on each router, controlled by commands."""

    def __init__(self) -> None:
        self._loads: list[RouterLoad] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def handle(self, command: ClientsCommand) -> object:
        """Execute a command of the control channel and return its reply.

        Raises:
            ValueError: The port of a router's address is not a number.
        """
        match command:
            case StartClients():
                self._start(command)
            case PauseClients():
                for load in self._loads:
                    load.pause()
            case GetClientsStats():
                stats = self._stats()
                if command.restart:
                    for load in self._loads:
                        load.statistics.restart_latency()
                return stats
        return Done()

    def _start(self, command: StartClients) -> None:
        """Start the load on each router, with a seed of its own."""
        for number, address in enumerate(command.routers):
            load = RouterLoad(address, command, command.seed + number)
            self._loads.append(load)
            self._tasks.append(asyncio.create_task(load.run()))

    def _stats(self) -> ClientsStats:
        """Return the counts since the start, in sum over the routers, and the usage of the process."""
        counts: Counter[str] = Counter()
        latency = build_latency_histogram()
        for load in self._loads:
            load.statistics.add_to(counts, latency)
        return ClientsStats(
            time=time.time(),
            counts=dict(counts),
            latency=encode_histogram(latency),
            **asdict(process_usage()),
        )
