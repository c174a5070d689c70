"""The loads of a process, driven by the commands of its control channel."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from dataclasses import asdict

from hdrh.histogram import HdrHistogram

from scale_experiments.emulators.clients.load import MAX_LATENCY_US, RouterLoad
from scale_experiments.emulators.control import process_usage
from scale_experiments.emulators.messages.clients import (
    CONNECTIONS_OPENED,
    OPEN_CONNECTIONS,
    ClientsStats,
    GetClientsStats,
    PauseClients,
    StartClients,
)
from scale_experiments.emulators.messages.common import Done
from scale_experiments.measurement.histograms import encode_histogram

ClientsCommand = StartClients | PauseClients | GetClientsStats
COMMAND_TYPES: dict[str, type[ClientsCommand]] = {
    each.do: each for each in (StartClients, PauseClients, GetClientsStats)
}


class ClientsEmulator:
    """All that the process emulates, driven by the commands of its control channel."""

    def __init__(self) -> None:
        self.loads: list[RouterLoad] = []
        self.tasks: list[asyncio.Task[None]] = []

    def start(self, command: StartClients) -> None:
        """Start the load on each router, with a seed of its own."""
        for number, address in enumerate(command.routers):
            load = RouterLoad(address, command, command.seed + number)
            self.loads.append(load)
            self.tasks.append(asyncio.create_task(load.run()))

    def stats(self) -> ClientsStats:
        """Counts since the start, in sum over the routers, and what the process has used."""
        counts: Counter[str] = Counter()
        latency = HdrHistogram(1, MAX_LATENCY_US, 2)
        for load in self.loads:
            counts.update(load.counts)
            counts[OPEN_CONNECTIONS] += load.open_connections
            counts[CONNECTIONS_OPENED] += load.connections_opened
            latency.add(load.latency)
        return ClientsStats(
            time=time.time(),
            counts=dict(counts),
            latency=encode_histogram(latency),
            **asdict(process_usage()),
        )

    async def handle(self, command: ClientsCommand) -> object:
        """Carry out a command of the control channel; returns the reply."""
        match command:
            case StartClients():
                self.start(command)
            case PauseClients():
                for load in self.loads:
                    load.paused = True
            case GetClientsStats():
                stats = self.stats()
                if command.restart:
                    for load in self.loads:
                        load.latency.reset()
                return stats
        return Done()
