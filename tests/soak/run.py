"""Execution of a plan: starts all peers and the router, and executes each step at its time."""

from __future__ import annotations

import asyncio
import gc
import os
import random
import signal
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from cache_router.descriptor_budget import DescriptorBudget
from tests.soak.clients import Client, hold_idle_connections
from tests.soak.discovery import Discovery
from tests.soak.flood_processes import run_flood
from tests.soak.network import Network
from tests.soak.observations import Observations
from tests.soak.plan import (
    CACHE_KIND,
    ORIGIN_KIND,
    CacheMode,
    DiscoveryMode,
    OriginMode,
    Plan,
    SignalSeries,
    Step,
)
from tests.soak.router import RouterProcess
from tests.soak.upstreams import Cache, Origin

MAX_MEMORY_GROWTH = 40.0  # MB by which the load may increase the resident memory
SETTLE_TIME = 1.5  # seconds between the end of the load and the check of resources
POLL_CONNECTIONS = 1  # a poll of discovery may be open after the load and not before it
LOAD_BEFORE_END = 1.0  # seconds of load before the last SIGTERM
CLOSE_DETECTION_TIME = 0.3  # seconds after the end of the process for clients to detect closed connections


class SoakRun:
    """One run of a plan. The router is a process of its own; its peers share this process's event loop."""

    def __init__(self, plan: Plan, folder: Path, fault: str = "") -> None:
        """Create the peers of a plan, which start in `execute`."""
        self.plan = plan
        self.observations = Observations()
        self.network = Network(os.getpid())
        self._generator = random.Random(plan.seed)
        self._now = asyncio.get_running_loop().time
        self.caches = [self._create_cache(index) for index in range(plan.cache_count)]
        self.origin = Origin("origin-1", self.network.origin, self._generator, self.observations)
        self.discovery = Discovery([self.network.discovery(i) for i in range(2)], self.observations)
        for index in range(plan.cache_count):
            self.discovery.registry.put(self.endpoint_entry(index))
        self.discovery.registry.put(self._origin_entry())
        entries = list(self.discovery.registry.entries.values())
        cached_list = {"index": 1, "snapshot": True, "endpoints": entries}
        self.router = RouterProcess(
            plan,
            network=self.network,
            folder=folder,
            cached_list=cached_list,
            observations=self.observations,
            fault=fault,
        )

    def _create_cache(self, index: int) -> Cache:
        address = self.network.cache(index)
        return Cache(f"cache-{index}", address, self.plan.is_cache_aside, self._generator, self.observations)

    def endpoint_entry(self, index: int, **changes: Any) -> dict[str, Any]:
        """Return a cache server's entry in the endpoint list."""
        host, port = self.network.cache(index)
        entry = {
            "name": f"cache-{index}",
            "address": f"{host}:{port}",
            "zone": "ab"[index % 2],
            "type": CACHE_KIND,
            "group": index % 2,
            "status": "in_service",
            "weight": 1.0,
            "since_ms": 0,
        }
        return {**entry, **changes}

    def _origin_entry(self) -> dict[str, Any]:
        host, port = self.network.origin
        return self.endpoint_entry(
            0, name="origin-1", address=f"{host}:{port}", type=ORIGIN_KIND, zone="a", group=9
        )

    async def execute(self) -> None:
        """Execute the whole plan, and end the router."""
        async with self.running_peers() as background:
            await self._execute_plan(background)

    @asynccontextmanager
    async def running_peers(self) -> AsyncIterator[list[asyncio.Task[None]]]:
        """Run the router's peers; yield a list of tasks that are cancelled when the context ends.

        The router's process is killed at the end if it is still running.
        """
        background = [asyncio.create_task(self.observations.measure_lag())]
        listeners = [*(c.listener for c in self.caches), self.origin.listener, *self.discovery.listeners]
        try:
            for listener in listeners:
                await listener.open()
            yield background
        finally:
            self.router.kill()
            for task in background:
                task.cancel()
            await asyncio.gather(*background, return_exceptions=True)
            for listener in listeners:
                listener.close()

    async def _execute_plan(self, background: list[asyncio.Task[None]]) -> None:
        await self.router.start()
        ready = asyncio.create_task(self.router.wait_until_ready())
        steps = asyncio.create_task(self._execute_steps())
        background += [ready, steps]
        await ready
        at_load_start = self._resource_usage()
        load = self._start_load()
        background += load
        floods = [
            asyncio.create_task(run_flood(flood, self.network.router, self.plan.seed * 10 + n))
            for n, flood in enumerate(self.plan.floods)
        ]
        background += floods
        await steps
        await self._stop_load(load)
        if not self.plan.floods:
            await self._check_idle_resources(at_load_start)
        load = self._start_load("d")
        background += load
        await asyncio.sleep(LOAD_BEFORE_END)
        await self._terminate()
        await asyncio.sleep(CLOSE_DETECTION_TIME)
        await self._stop_load(load)

    @staticmethod
    async def _stop_load(load: list[asyncio.Task[None]]) -> None:
        for client in load:
            client.cancel()
        await asyncio.gather(*load, return_exceptions=True)
        # A client that is cancelled while it connects leaves an open socket to the garbage collector.
        gc.collect()

    async def _check_idle_resources(self, at_load_start: tuple[int, float]) -> None:
        """Check that, without clients, the router holds no more resources than before the load."""
        restarted = len(self.observations.lifetimes) > 1
        await asyncio.sleep(SETTLE_TIME)
        descriptors, memory = self._resource_usage()
        budget = DescriptorBudget.divide(self.plan.descriptors)  # idle connections to upstreams stay open
        if descriptors - at_load_start[0] > budget.caches + budget.origin + POLL_CONNECTIONS:
            self._record_violation(
                f"resources: {descriptors} descriptors after the load, {at_load_start[0]} before it"
            )
        if memory - at_load_start[1] > MAX_MEMORY_GROWTH and not restarted:
            self._record_violation(
                f"resources: {memory:.0f} MB after the load, {at_load_start[1]:.0f} MB before it"
            )

    def _record_violation(self, text: str) -> None:
        self.observations.violations.append(text)

    def _start_load(self, prefix: str = "c") -> list[asyncio.Task[None]]:
        classes = self.plan.settings["classes"]
        clients = [
            Client(
                f"{prefix}{n}",
                kind,
                address=self.network.router,
                classes=classes,
                generator=random.Random(self.plan.seed + n),
                observations=self.observations,
            )
            for n, kind in enumerate(self.plan.clients)
        ]
        load = [asyncio.create_task(client.run()) for client in clients]
        if self.plan.idle_connections:
            load.append(
                asyncio.create_task(hold_idle_connections(self.network.router, self.plan.idle_connections))
            )
        return load

    async def _execute_steps(self) -> None:
        started_at = self._now()
        for step in self.plan.steps:
            await asyncio.sleep(max(0.0, started_at + step.time - self._now()))
            self.observations.record_event(self._now() - started_at, f"{step.kind} {step.cache_index}")
            await self._execute_step(step)
        await asyncio.sleep(max(0.0, started_at + self.plan.duration - self._now()))

    async def _execute_step(self, step: Step) -> None:
        match step.kind:
            case CacheMode():
                await self._set_cache_mode(step.cache_index, step.kind)
            case DiscoveryMode():
                await self.discovery.set_mode(step.kind)
            case OriginMode():
                self.origin.mode = step.kind
                if step.kind is OriginMode.GONE:
                    self.origin.listener.close()
                else:
                    await self.origin.listener.open()
            case SignalSeries():
                await self.router.send_sighup_series(step.kind)
            case "drain":
                self._drain(step.cache_index)
            case "restart":
                await self._restart()

    async def _set_cache_mode(self, index: int, mode: CacheMode) -> None:
        cache = self.caches[index]
        was_gone = cache.mode is CacheMode.GONE
        cache.mode = mode
        if mode is CacheMode.GONE:
            cache.listener.close()
        elif was_gone:  # the server restarts with an empty cache
            await cache.listener.open()
            if cache.name not in self.observations.drain_started_at:
                self.discovery.registry.put(self.endpoint_entry(index, since_ms=int(time.time() * 1000)))

    def _drain(self, index: int) -> None:
        self.observations.drain_started_at.setdefault(f"cache-{index}", self._now())
        self.discovery.registry.put(self.endpoint_entry(index, status="terminating"))

    async def _restart(self) -> None:
        await self._terminate()
        await self.router.start()
        self.router.send(signal.SIGHUP)  # arrives before the first endpoint list
        await self.router.wait_until_ready()

    async def _terminate(self) -> None:
        await self.router.terminate(self.plan.sigkill_after)

    def _resource_usage(self) -> tuple[int, float]:
        """Return the router's number of descriptors and its resident memory in MB."""
        folder = Path(f"/proc/{self.router.process_id}")
        try:
            pages = int((folder / "statm").read_text().split()[1])
            return len(list((folder / "fd").iterdir())), pages * 4096 / 1e6
        except OSError:
            return 0, 0.0
