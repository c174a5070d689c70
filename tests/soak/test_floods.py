"""Clients with few requests get their answers in time while other clients send at full speed.

The time for which the router and this process waited for a core is added to each limit, so that the verdict
is the same on a loaded machine.
"""

from __future__ import annotations

import asyncio
from concurrent.futures import ProcessPoolExecutor

import pytest

from tests.soak.flood_processes import CROWDS
from tests.soak.flood_run import FloodResult, run_flood
from tests.soak.floods import FloodKind
from tests.soak.seeds import SeedOptions, soak_seed

SEED = 1
SECONDS = 2.0  # duration of a flood
TIME_LIMIT = 60.0  # seconds; long enough for a busy machine
MAX_LATE_SHARE = 0.01
MEMORY_LIMIT = 192  # MB, as on the operators' days
FLOODS = [
    (FloodKind.PING,),
    (FloodKind.NEW_NAMES,),
    (FloodKind.UNSOUND, FloodKind.LEAVING),
    (FloodKind.RECONNECTING, FloodKind.SHORT_FIELDS),
]


async def flood(kinds: tuple[FloodKind, ...]) -> FloodResult:
    """Flood a router in another process, and return what was seen."""
    with ProcessPoolExecutor(1) as pool:
        return await asyncio.get_running_loop().run_in_executor(pool, run_flood, kinds, SEED, SECONDS)


@pytest.mark.time_limit(TIME_LIMIT)
@pytest.mark.parametrize("kind", CROWDS, ids=lambda kind: kind.value)
async def test_memory_stays_below_the_limit_with_hundreds_of_clients(kind: FloodKind) -> None:
    """Guards against a process that is killed for its memory (issue 37, picture b)."""
    result = await flood((kind,))
    assert result.memory < MEMORY_LIMIT, result
    assert not result.faults, result
    for summary in (result.kept, result.new):
        assert summary.foreign == 0, result
        assert summary.lost == 0, result


@pytest.mark.time_limit(TIME_LIMIT)
@pytest.mark.parametrize("kinds", FLOODS, ids=lambda kinds: "+".join(kind.value for kind in kinds))
async def test_other_clients_get_their_answers_in_time_during_a_flood(kinds: tuple[FloodKind, ...]) -> None:
    """Guards against late and lost answers of clients beside one that uses up the processor (issue 37)."""
    result = await flood(kinds)
    assert not result.faults, result
    for summary in (result.kept, result.new):
        assert summary.foreign == 0, result
        assert summary.lost == 0, result
        assert summary.late <= MAX_LATE_SHARE * summary.sent, result


@pytest.mark.time_limit(TIME_LIMIT)
async def test_busy_clients_that_fill_the_descriptors_delay_no_other() -> None:
    """Guards against clients that wait in the backlog while busy ones hold every connection (issue 38)."""
    options = SeedOptions(seconds=15.0, with_floods=True)
    with ProcessPoolExecutor(1) as pool:
        result = await asyncio.get_running_loop().run_in_executor(pool, soak_seed, 616, options)
    assert not result.violations, result.report
