"""Hollow routers apply the updates of an emulated discovery and record when they first had each index."""

from __future__ import annotations

import asyncio
import math
from typing import Any

import pytest

from scale_experiments.emulators.address import format_address
from scale_experiments.emulators.codec import decode
from scale_experiments.emulators.discovery.emulator import DiscoveryEmulator
from scale_experiments.emulators.messages.common import Done
from scale_experiments.emulators.messages.discovery import SetDiscoveryMode
from scale_experiments.emulators.messages.routers import (
    GetRoutersStats,
    GetUpdateTimes,
    HollowMode,
    RoutersStats,
    StartRouters,
    UpdateTimes,
)
from scale_experiments.routers.hollow import update_times as update_times_module
from scale_experiments.routers.hollow.fleet import HollowFleet
from scale_experiments.routers.hollow.update_times import HollowFleetStatistics, UpdateTimeTable
from scale_experiments.routers.watch_fleet import build_settings
from tests.support.endpoint_lists import ENDPOINT_ENTRY

LIST_INDEX = 5


def endpoint_entry(name: str) -> dict[str, Any]:
    """Return an entry of an endpoint list."""
    return {**ENDPOINT_ENTRY, "name": name}


def start_command(mode: HollowMode, discovery: DiscoveryEmulator) -> StartRouters:
    """Return the command that starts two routers with a cached list of one entry."""
    return StartRouters(
        routers=2,
        seed=1,
        mode=mode,
        discovery=[format_address(discovery.address)],
        settings=build_settings("pushed", 2),
        cached_list={"index": LIST_INDEX, "snapshot": True, "endpoints": [endpoint_entry("s-1")]},
        spread_s=0.0,
    )


async def fleet_stats(fleet: HollowFleet) -> RoutersStats:
    """Return the counts of a fleet."""
    stats = await fleet.handle(GetRoutersStats())
    assert isinstance(stats, RoutersStats)
    return stats


async def update_times(fleet: HollowFleet, index: int) -> list[float | None]:
    """Return the time at which each router of a fleet first had an index."""
    reply = await fleet.handle(GetUpdateTimes(index))
    assert isinstance(reply, UpdateTimes)
    return list(reply.times)


@pytest.mark.parametrize(("mode", "endpoints"), [("router", 2), ("list", 2), ("index", 1)])
async def test_hollow_routers_follow_discovery(mode: HollowMode, endpoints: int) -> None:
    """Routers of each mode apply the new index; in the mode "index" they store one placeholder endpoint."""
    discovery = DiscoveryEmulator()
    await discovery.listen()
    discovery.replace_list(LIST_INDEX, [endpoint_entry("s-1")])
    fleet = HollowFleet()
    assert await fleet.handle(start_command(mode, discovery)) == Done()
    while discovery.stats().waiting < 2:
        await asyncio.sleep(0.001)
    updates_before = (await fleet_stats(fleet)).updates
    changed_at = asyncio.get_running_loop().time()
    discovery.change_list(LIST_INDEX + 1, [endpoint_entry("s-2")])
    while (await fleet_stats(fleet)).lowest_index == LIST_INDEX:
        await asyncio.sleep(0.001)
    stats = await fleet_stats(fleet)
    assert (stats.lowest_index, stats.fewest_endpoints, stats.failed) == (LIST_INDEX + 1, endpoints, 0)
    assert stats.updates - updates_before == 2
    times = await update_times(fleet, LIST_INDEX + 1)
    assert len(times) == 2
    assert all(each is not None and each >= changed_at for each in times)
    assert all(each is not None and math.isnan(each) for each in await update_times(fleet, LIST_INDEX + 2))
    await discovery.set_mode("refuse")


@pytest.mark.parametrize("mode", ["list", "index"])
async def test_hollow_routers_count_failed_polls_and_poll_again(mode: HollowMode) -> None:
    discovery = DiscoveryEmulator()
    await discovery.listen()
    discovery.replace_list(LIST_INDEX + 1, [endpoint_entry("s-1")])
    await discovery.handle(SetDiscoveryMode("busy", 0.0))
    fleet = HollowFleet()
    await fleet.handle(start_command(mode, discovery))
    while (await fleet_stats(fleet)).failed < 2:
        await asyncio.sleep(0.001)
    assert (await fleet_stats(fleet)).updates == 0
    await discovery.set_mode("serve")
    while (await fleet_stats(fleet)).lowest_index == LIST_INDEX:
        await asyncio.sleep(0.001)
    await discovery.set_mode("refuse")


async def test_unknown_mode_is_rejected() -> None:
    discovery = DiscoveryEmulator()
    command = start_command("list", discovery)
    message = {"mode": "all", "held": "all", "known": command.cached_list, "spread_s": 0.0}
    rest = {"routers": 2, "seed": 1, "discovery": command.discovery, "settings": command.settings}
    with pytest.raises(ValueError, match="no such mode: all"):
        await HollowFleet().handle(decode(StartRouters, message | rest))


def test_update_times_are_recorded_for_all_indices_that_a_router_has_passed() -> None:
    table = UpdateTimeTable(2)
    table.record(0, before=5, index=7, at=1.5)
    table.record(1, before=6, index=7, at=2.5)
    assert table.times(7) == [1.5, 2.5]
    first, second = table.times(6)
    assert first == 1.5
    assert math.isnan(second)
    assert all(math.isnan(each) for each in table.times(5))


def test_update_times_of_the_oldest_indices_are_dropped(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(update_times_module, "MAX_RECORDED_INDICES", 2)
    table = UpdateTimeTable(1)
    table.record(0, before=0, index=4, at=1.5)
    table.record(0, before=4, index=5, at=2.5)
    assert [table.times(index) for index in (4, 5)] == [[1.5], [2.5]]
    assert all(math.isnan(table.times(index)[0]) for index in (1, 2, 3))


def test_fleet_statistics_count_updates_and_failures() -> None:
    statistics = HollowFleetStatistics(1)
    statistics.on_update()
    statistics.on_update()
    statistics.on_failure()
    statistics.on_index(0, before=1, index=2, now=3.5)
    assert (statistics.updates, statistics.failed, statistics.update_times(2)) == (2, 1, [3.5])
