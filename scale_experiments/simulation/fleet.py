"""Simulation of a fleet of routers in front of modelled cache servers, on a simulated clock.

Each router has a decision module of its own, `cache_router.decisions.router.Router`, which receives only the
events of its router. Its actions are executed by the rules in `network_rules`.

A large fleet is simulated by a sample of its routers. Each decision module is configured for a fleet of
`FleetModel.routers`, but only `FleetModel.routers_sampled` of them are run. The cores and connection limits
of the cache servers have to be set for the load of the sample. The counts at a cache server are those of the
sample, too: for the whole fleet they are `FleetModel.scale` times as high. A mean scales linearly; a
percentile does not, see `ConnectionCount.percentile_99`.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace

from cache_router.endpoint import Endpoint, EndpointState
from cache_router.settings import Settings
from scale_experiments.simulation.cache_server import CacheServer
from scale_experiments.simulation.clients import Clients, key_of
from scale_experiments.simulation.context import SimulationContext
from scale_experiments.simulation.decision_timer import DecisionTimer
from scale_experiments.simulation.event_queue import EventQueue, never
from scale_experiments.simulation.key_placement import place_keys
from scale_experiments.simulation.model import START, FleetModel
from scale_experiments.simulation.network import Network
from scale_experiments.simulation.origin import Origin
from scale_experiments.simulation.router import SimulatedRouter
from scale_experiments.simulation.slow_start import BudgetUse, budget_use
from scale_experiments.simulation.statistics import FleetStatistics


class Fleet:
    """A simulated fleet.

    `run` advances its clock; `statistics` holds the counts since the last `reset_statistics`.
    """

    def __init__(self, settings: Settings, model: FleetModel, seed: int) -> None:
        self.model = model
        self.settings = replace(settings, router_count=model.routers)
        self.events = EventQueue(START)
        self._random = random.Random(seed)
        self.network = Network(model.one_way_latency)
        self.statistics = FleetStatistics(self.events)
        self.decision_timer = DecisionTimer()
        self._context = SimulationContext(
            settings=self.settings,
            model=model,
            random=self._random,
            events=self.events,
            network=self.network,
            statistics=self.statistics,
            decision_timer=self.decision_timer,
        )
        caches = (CacheServer(self._context, i) for i in range(model.caches))
        self.caches = {cache.name: cache for cache in caches}
        self.origin = Origin(self._context, self.caches)
        self.routers: list[SimulatedRouter] = []
        self.clients = Clients(self._context, seed, self.routers)
        endpoints = self.endpoints()
        for i in range(model.routers_run):
            self.routers.append(self._start_router(i, endpoints))
        for router in self.routers:
            self.clients.start(router)
        if model.cached_objects:
            self._preload_caches()

    def _start_router(self, index: int, endpoints: Sequence[Endpoint]) -> SimulatedRouter:
        router = SimulatedRouter(self._context, index, self.caches, self.origin, self.clients.retry)
        router.start(endpoints)
        return router

    def _preload_caches(self) -> None:
        """Fill each cache server with the most popular of the keys that are placed on it."""
        full_caches = 0
        max_keys = 2 * self.model.cached_objects * self.model.caches
        keys = [key_of(rank) for rank in range(min(self.model.objects, max_keys))]
        endpoints = [cache.endpoint for cache in self.caches.values()]
        for key, server in zip(keys, place_keys(self.settings, endpoints, keys), strict=False):
            cached_keys = self.caches[server].cached_keys
            if not cached_keys.is_full:
                cached_keys.preload(key)
                full_caches += cached_keys.is_full
            if full_caches == len(self.caches):
                break

    def endpoints(self) -> tuple[Endpoint, ...]:
        """Return the current endpoint list: all cache servers, then the origin."""
        return tuple(server.endpoint for server in [*self.caches.values(), self.origin])

    # Time and statistics

    def run(self, seconds: float, should_stop: Callable[[], bool] = never) -> bool:
        """Advance the clock by `seconds`; return False if stopped early, see `EventQueue.run`."""
        return self.events.run(seconds, should_stop)

    def reset_statistics(self) -> None:
        """Restart all statistics except those of the decision timer."""
        self.statistics.reset()
        for cache in self.caches.values():
            cache.reset_statistics()
        for router in self.routers:
            router.pool.connections.reset(self.events.now)

    def record_servers_used_every(self, span: float) -> None:
        """Start to record, every `span` seconds, how many cache servers each router used in that time."""
        for router in self.routers:
            router.attempts.clear_servers_used()
        self.events.schedule(span, self._record_servers_used, span)

    def _record_servers_used(self, span: float) -> None:
        self.statistics.record_servers_used(router.attempts.servers_used_count for router in self.routers)
        self.record_servers_used_every(span)

    def budget_use(self, cache: CacheServer) -> BudgetUse:
        """Return the largest use of a cache server's slow start budget in any window since the last reset.

        The server must have started at the time of that reset and must record its arrivals since then.
        """
        started_at = self.statistics.counted_from
        return budget_use(self.settings, self.model, cache.arrivals or (), started_at)

    # Faults

    def fail_servers(self, names: Iterable[str], *, is_silent: bool = True) -> None:
        """Fail the machines of cache servers; if not silent, only the processes: connections are refused."""
        for name in names:
            self.caches[name].fail(is_silent=is_silent)

    def restore_servers(self, names: Iterable[str]) -> None:
        """Restart cache servers, with empty caches and the reduced capacity of slow start."""
        for name in names:
            self.caches[name].restart()

    def send_endpoint_updates(
        self, names: Iterable[str], state: EndpointState, delay: float, spread: float
    ) -> None:
        """Send each router an endpoint update with a new state of cache servers.

        Each router receives it after `delay` plus a random time of up to `spread` seconds.
        """
        endpoints = tuple(replace(self.caches[name].endpoint, state=state) for name in names)
        for router in self.routers:
            after = delay + self._random.uniform(0, spread)
            self.events.schedule(after, router.update_endpoints, endpoints)

    def restart_routers(self, routers: Iterable[SimulatedRouter], delay: float, spread: float) -> None:
        """Replace each of these routers, after `delay` plus a random time of up to `spread` seconds.

        The new routers start with the current endpoint list. Clients retry the requests that the old routers
        leave unanswered.
        """
        endpoints = self.endpoints()
        for router in routers:
            after = delay + self._random.uniform(0, spread)
            self.events.schedule(after, self._replace_router, router, endpoints)

    def _replace_router(self, router: SimulatedRouter, endpoints: Sequence[Endpoint]) -> None:
        router.stop()
        replacement = self._start_router(router.index, endpoints)
        self.routers[router.index] = replacement
        self.clients.start(replacement)
