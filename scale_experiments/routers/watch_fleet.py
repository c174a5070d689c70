"""Starts discovery and hollow routers that watch it, changes the endpoint list, and reads resource usage."""

from __future__ import annotations

import subprocess
import time
from collections.abc import Sequence
from dataclasses import dataclass, fields
from typing import Any, Literal

from scale_experiments.emulators.control import ControlClient, request_all
from scale_experiments.emulators.launch import DISCOVERY_MODULE, HOLLOW_ROUTERS_MODULE, start_emulator
from scale_experiments.emulators.messages.common import Done
from scale_experiments.emulators.messages.discovery import (
    ChangeList,
    DiscoveryStats,
    GetDiscoveryStats,
    Listening,
    ReplaceList,
)
from scale_experiments.emulators.messages.routers import (
    GetRoutersStats,
    GetUpdateTimes,
    HollowMode,
    RoutersStats,
    StartRouters,
)
from scale_experiments.endpoint_lists.endpoint_entries import (
    IN_SERVICE,
    TERMINATING,
    build_loopback_entries,
    build_snapshot,
)
from scale_experiments.runs.context import ExperimentContext

POLL_INTERVAL_S = 0.25  # interval at which the counts of the routers are read
REPLY_TIMEOUT_S = 90.0  # a process that runs several thousand routers is slow to reply
SETTLING_S = 1.0  # wait after the start of the last router
CACHE_NETWORK = "127.1"  # first octets of the addresses of the listed caches; nothing listens there
DISCOVERY_NETWORK = "127.0.1"  # first octets of the addresses of the discovery processes
SEEDS_PER_SAMPLE = 1_000_000  # distance between the seeds of successive samples
SEEDS_PER_PROCESS = 100_000  # distance between the seeds of the processes of a sample

# "asked": routers have to subscribe to the endpoint list; "pushed": it is pushed to them
SubscriptionMode = Literal["asked", "pushed"]


@dataclass(slots=True, frozen=True, kw_only=True)
class WatchFleetOptions:
    """Size of a fleet, and the manner in which its routers start.

    Real routers are hollow routers that run the program's own watch. All other hollow routers are light: they
    send the same polls, but store only the index of the list.
    """

    routers: int  # number of routers, real and light
    real_routers: int  # maximum number of real routers, which share one process
    hollow_processes: int  # number of processes that run the light routers
    discoveries: int  # number of discovery processes, each with its own address
    caches: int  # number of entries in the endpoint list
    zones: int  # number of zones over which the caches are spread
    real_mode: HollowMode  # mode in which the real routers handle the endpoint list
    spread_s: float  # period over which the starts of the routers are spread
    seed: int


@dataclass(slots=True, frozen=True, kw_only=True)
class FleetUsage:
    """Resource usage of discovery and of the routers since their start, summed over their processes.

    Fields without a prefix are of discovery. The prefixes `real_` and `light_` name the kind of router.
    """

    at: float  # time of the monotonic clock; in a difference, the seconds between the two readings
    polls: float
    connections: float
    bytes_in: float
    bytes_out: float
    cpu_s: float
    resident_bytes: float
    descriptors: float
    real_cpu_s: float
    real_resident_bytes: float
    light_cpu_s: float

    def since(self, earlier: FleetUsage) -> FleetUsage:
        """Return the usage between an earlier reading and this one.

        The resident memory and the descriptors of the result are differences too.
        """
        return FleetUsage(
            **{each.name: getattr(self, each.name) - getattr(earlier, each.name) for each in fields(self)}
        )


def build_settings(mode: SubscriptionMode, routers: int) -> dict[str, Any]:
    """Build router settings in the form of a configuration file, with the times of the deployed sites."""
    return {
        "classes": [{"name": "read", "aim": 0.5, "giveUp": 2.0, "effect": "free"}],
        "membershipMode": "subscribe" if mode == "asked" else "automatic",
        "siblings": routers,
        "rules": {"rampTime": 10.0, "overloadFor": 1.0, "stopSendingWithin": 0.5},
    }


@dataclass(slots=True, frozen=True)
class NotificationDelays:
    """Delays until the routers of a fleet received the list of an index."""

    delays_s: list[float]  # delays of the routers that received it, sorted
    missing: int  # number of routers that did not receive it


class WatchFleet:
    """Discovery, and the hollow routers that watch it.

    All methods raise ControlError if a process has exited or does not reply in time.
    """

    def __init__(self, options: WatchFleetOptions, context: ExperimentContext) -> None:
        self.options = options
        self.context = context
        zones = [f"z{zone}" for zone in range(options.zones)]
        self._entries = build_loopback_entries(options.caches, CACHE_NETWORK, zones, "m2")
        self.index = 1
        # time at which the first discovery process applied the change, by index
        self.changed_at: dict[int, float] = {}
        self._processes: list[subprocess.Popen[bytes]] = []
        self.discoveries: list[ControlClient] = []
        self._real: list[ControlClient] = []
        self._light: list[ControlClient] = []

    @property
    def real_routers(self) -> int:
        """Number of routers that run the program's own watch."""
        return min(self.options.real_routers, self.options.routers)

    @property
    def light_routers(self) -> int:
        """Number of routers that send the same polls and store only the index of the list."""
        return self.options.routers - self.real_routers

    def start(self, mode: SubscriptionMode) -> None:
        """Start discovery and the routers.

        The starts of the routers are spread over `spread_s`, so that their polls are not synchronized.
        """
        self.discoveries = [
            self._start_emulator("discovery", DISCOVERY_MODULE, f"{DISCOVERY_NETWORK}.{number + 1}:0")
            for number in range(self.options.discoveries)
        ]
        addresses = [client.receive(Listening).address for client in self.discoveries]
        request_all(self.discoveries, ReplaceList(self.index, self._entries))
        counts = self._routers_per_process()
        processes = [self._start_emulator("routers", HOLLOW_ROUTERS_MODULE) for _ in counts]
        self._real, self._light = processes[:1], processes[1:]
        for number, (process, routers) in enumerate(zip(processes, counts, strict=True)):
            process.send(self._start_command(number, routers, addresses, mode))
        for process in processes:
            process.receive(Done)
        time.sleep(self.options.spread_s + SETTLING_S)

    def _start_emulator(self, name: str, module: str, *arguments: str) -> ControlClient:
        client = start_emulator(self.context, name, module, *arguments, reply_timeout_s=REPLY_TIMEOUT_S)
        self._processes.append(client.process)
        return client

    def _routers_per_process(self) -> list[int]:
        """Return the number of routers in each process: the real routers first, then the light ones."""
        processes = self.options.hollow_processes if self.light_routers else 0
        light = [
            self.light_routers // processes + (number < self.light_routers % processes)
            for number in range(processes)
        ]
        return [self.real_routers, *light]

    def _start_command(
        self, number: int, routers: int, addresses: list[str], mode: SubscriptionMode
    ) -> StartRouters:
        first = number % len(addresses)
        return StartRouters(
            routers=routers,
            seed=self.options.seed * SEEDS_PER_SAMPLE + number * SEEDS_PER_PROCESS,
            mode=self.options.real_mode if number == 0 else "index",
            discovery=addresses[first:] + addresses[:first],
            settings=build_settings(mode, self.options.routers),
            cached_list=build_snapshot(self.index, self._entries),
            spread_s=self.options.spread_s,
        )

    def stop(self) -> None:
        """Stop all processes."""
        for process in self._processes:
            self.context.stop(process)
        self._processes.clear()

    def change(self) -> None:
        """Set one entry to terminating, or back to in service, under the next index."""
        self.index += 1
        entry = self._entries[self.index // 2 % len(self._entries)]
        entry["status"] = TERMINATING if self.index % 2 else IN_SERVICE
        changed = request_all(self.discoveries, ChangeList(self.index, [entry]))
        self.changed_at[self.index] = min(reply.at for reply in changed)

    def wait_until_notified(self, timeout_s: float) -> None:
        """Wait until all routers have received the latest change.

        Returns early after `timeout_s`, or once the time limit of the run has passed.
        """
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline and not self.context.expired():
            if min(stats.lowest_index for stats in self._router_stats()) >= self.index:
                return
            time.sleep(POLL_INTERVAL_S)

    def notification_delays(self, index: int, since: float) -> NotificationDelays:
        """Return the delays from `since`, a time of the monotonic clock, until routers received an index."""
        replies = request_all([*self._real, *self._light], GetUpdateTimes(index))
        times = [each for reply in replies for each in reply.times]
        delays_s = sorted(max(0.0, each - since) for each in times if each is not None)
        return NotificationDelays(delays_s, missing=len(times) - len(delays_s))

    def polls_since(self, started_at: float) -> dict[float, float]:
        """Return the polls that discovery received since a time of the monotonic clock.

        They are counted by time bucket, whose number is the key. The bucket that contains `started_at` is
        included as a whole.
        """
        counts: dict[float, float] = {}
        for stats in self.discovery_stats():
            for bucket, polls in stats.polls_over_time:
                if (bucket + 1) * stats.bucket_s > started_at:
                    counts[bucket] = counts.get(bucket, 0.0) + polls
        return counts

    def notification_s(self) -> float:
        """Return the seconds that discovery took to answer all waiting polls with the latest change."""
        return max(stats.notification_s for stats in self.discovery_stats())

    def usage(self) -> FleetUsage:
        """Read the resource usage of discovery and of the routers."""
        discovery = self.discovery_stats()
        real = request_all(self._real, GetRoutersStats())
        light = request_all(self._light, GetRoutersStats())
        return FleetUsage(
            at=discovery[0].at,
            polls=sum(stats.polls for stats in discovery),
            connections=sum(stats.connections for stats in discovery),
            bytes_in=sum(stats.bytes_in for stats in discovery),
            bytes_out=sum(stats.bytes_out for stats in discovery),
            cpu_s=sum(stats.cpu_s for stats in discovery),
            resident_bytes=sum(stats.resident_bytes for stats in discovery),
            descriptors=sum(stats.descriptors for stats in discovery),
            real_cpu_s=sum(stats.cpu_s for stats in real),
            real_resident_bytes=sum(stats.resident_bytes for stats in real),
            light_cpu_s=sum(stats.cpu_s for stats in light),
        )

    def discovery_stats(self) -> list[DiscoveryStats]:
        """Read the counts of each discovery process, in the order of their start."""
        return request_all(self.discoveries, GetDiscoveryStats())

    def _router_stats(self) -> Sequence[RoutersStats]:
        return request_all([*self._real, *self._light], GetRoutersStats())
