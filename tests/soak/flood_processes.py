"""Processes that flood the router, and the floods that a seed draws for a soak test."""

from __future__ import annotations

import asyncio
import random
import sys
from contextlib import suppress
from dataclasses import dataclass

from tests.soak.floods import FULL_SPEED_KINDS, FloodKind

# kinds that need memory or descriptors; their clients are connected at once in large numbers
CROWDS = (
    FloodKind.STOPPING,
    FloodKind.NOT_READING,
    FloodKind.LARGE_WRITES,
    FloodKind.DRIPPING,
    FloodKind.SHORT_FIELDS,
)
CROWD_SIZE = 300
CLIENTS_OF_KIND = {FloodKind.PING: 6, **dict.fromkeys(CROWDS, CROWD_SIZE)}
DEFAULT_CLIENTS = 8
SOAK_CROWD_SIZE = 60  # fewer than in a run of floods, as a router in a soak test has fewer descriptors
MAX_SECONDS = 120.0  # after which a flood ends also if nobody stops it


@dataclass(slots=True, frozen=True)
class Flood:
    """A flood of a soak test. Times are in seconds after the start of the load."""

    kind: FloodKind
    start: float
    end: float  # infinite if the flood lasts until the router has ended


def draw_floods(seed: int, duration: float) -> list[Flood]:
    """Draw floods: one or two at once during the load, and one that lasts until the router has ended."""
    generator = random.Random(f"floods {seed}")
    kinds = list(FloodKind)
    start = generator.uniform(0.0, duration / 2)
    floods = [
        Flood(kind, start, start + generator.uniform(1.0, duration / 2))
        for kind in generator.sample(kinds, generator.choice([1, 2]))
    ]
    floods.append(Flood(generator.choice(FULL_SPEED_KINDS), duration, float("inf")))
    return floods


async def start_flood(
    kind: FloodKind, address: tuple[str, int], seed: int, clients: int = 0
) -> asyncio.subprocess.Process:
    """Start a process that floods an address until it is stopped; `clients` is 0 for the kind's number."""
    host, port = address
    count = clients or CLIENTS_OF_KIND.get(kind, DEFAULT_CLIENTS)
    options = [f"--clients={count}", f"--seconds={MAX_SECONDS}", f"--seed={seed}"]
    return await asyncio.create_subprocess_exec(
        sys.executable, "-m", "tests.soak.floods", kind.value, host, str(port), *options
    )


async def stop_flood(process: asyncio.subprocess.Process) -> None:
    """Kill a flood's process, unless it has ended."""
    with suppress(ProcessLookupError):
        process.kill()
    await process.wait()


async def run_flood(flood: Flood, address: tuple[str, int], seed: int) -> None:
    """Run a flood of a soak test at its time, until its end or until cancelled."""
    await asyncio.sleep(flood.start)
    is_crowd = flood.kind in CROWDS
    process = await start_flood(flood.kind, address, seed, SOAK_CROWD_SIZE if is_crowd else 0)
    try:
        await (
            asyncio.Event().wait() if flood.end == float("inf") else asyncio.sleep(flood.end - flood.start)
        )
    finally:
        await stop_flood(process)
