"""Many instances of the decision module before modelled page caches, on a simulated clock.

Each instance is a `cache_router.decisions.router.Router` that is told only its own events. What it asks for
is done as `cache_router/net/dispatcher.py` and `cache_router/net/connection_pool.py` do it: one attempt at a
time on a connection, which is kept until the module closes it, its idle time is
over, or the budget of descriptors needs its place.

A large fleet is simulated by a sample of its routers: `FleetModel.routers` is the count that each decision
module is configured with, `FleetModel.routers_sampled` of them are run, and the cores and connection limits
of the cache servers hold for the sample. What is counted at a cache server is then of the sample, and
`FleetModel.scale` times as much of the fleet. A mean scales linearly; a spread does not, see
`ConnectionCount.high`.
"""

from __future__ import annotations

import bisect
import heapq
import itertools
import math
import random
import time
from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace
from typing import Any

import numpy as np

from cache_router.decisions.actions import Action, Cancel, CloseIdleConnections, Fail, Reject, Send, SetTimer
from cache_router.decisions.events import (
    AttemptCompleted,
    AttemptStatus,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    LoadReport,
    Request,
    TimerFired,
)
from cache_router.decisions.router import Router
from cache_router.endpoint import Endpoint, EndpointState
from cache_router.settings import Settings
from scale_experiments.simulation.connection_accounting import ConnectionCount
from scale_experiments.simulation.entities import (
    Attempt,
    CacheServer,
    ClientRequest,
    PendingRequest,
    SimulatedConnection,
    SimulatedRouter,
)
from scale_experiments.simulation.key_placement import START, place_keys
from scale_experiments.simulation.model import ORIGIN, READ, WRITE, FleetModel

# as in cache_router/net/connection_pool.py, which this module does not load: it needs an event loop
IDLE_MARGIN = 0.5
BLOCK = 4096  # keys drawn at once
SAMPLE_EVERY = 16  # calls of the module of which one is timed


WATCHED = ("wishes", "served", "requests", "refused", "failed")  # also counted for the regions in `watched`
SERIES = (*WATCHED, *(f"watched_{name}" for name in WATCHED), "attempts", "dials", "dials_failed", "origin")
SETTLED = 3  # seconds after which a client has its answer or has given up for good


class Fleet:
    """The simulation. `run` lets time pass; what is counted since `reset` is in `counts` and `series`."""

    def __init__(self, settings: Settings, model: FleetModel, seed: int) -> None:
        self.model = model
        self.settings = replace(settings, router_count=model.routers)
        self.random = random.Random(seed)
        self.draw = np.random.default_rng(seed)
        self.now = START
        self.heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.order = itertools.count()
        self.names = itertools.count()
        self.instances: list[SimulatedRouter] = []
        self.watched: set[int] = set()  # regions whose routers are also counted apart
        self.demand = 1.0  # of the model's rate of requests
        self.cut: set[int] = set()  # regions whose routers reach only their own caches
        self.idle_time = max(0.0, self.settings.connection_idle_timeout - IDLE_MARGIN)
        self.calls = 0
        self.timed_calls = 0
        self.timed_s = 0.0
        self.answers = 0
        self.asked = self.asked_before = 0
        self._make_caches()
        self._make_keys()
        entries = tuple(c.entry for c in [*self.caches.values(), self.origin])
        for i in range(model.routers_run):
            self.instances.append(self._make_instance(i, entries))
        self.reset()
        for instance in self.instances:
            self.at(self._pause(), self._arrive, instance)
        if model.cached_objects:
            self._fill()

    # Setting up

    def _make_caches(self) -> None:
        model = self.model
        self.caches: dict[str, CacheServer] = {}
        for i in range(model.caches):
            name = f"s-{i:08x}"
            zone = i % model.zones
            entry = Endpoint(name, kind="std-1c", zone=f"z{zone}", cell=i // 8, weight=1.0)
            places = model.queue_per_core * max(1, model.cores)
            self.caches[name] = CacheServer(
                entry, zone, zone % model.regions, model.cores, places, ConnectionCount(self.now)
            )
        entry = Endpoint("s-origin", kind=ORIGIN, zone="z0", weight=1.0)
        wait = math.ceil(
            model.origin_max_queueing_time * model.origin_cores / (sum(model.origin_service_time) / 2)
        )
        self.origin = CacheServer(entry, 0, 0, model.origin_cores, wait, ConnectionCount(self.now))

    def _make_keys(self) -> None:
        ranks = np.arange(1, self.model.objects + 1, dtype=np.float64) + self.model.rank_offset
        weights = ranks**-self.model.zipf_exponent
        self.popularity = weights / weights.sum()
        self.cumulative = np.cumsum(self.popularity)
        self.drawn: list[int] = []

    def _make_instance(self, index: int, entries: Sequence[Endpoint]) -> SimulatedRouter:
        zone = index % self.model.zones
        router = Router(self.settings, self.random.getrandbits(48), self.now)
        instance = SimulatedRouter(index, zone, zone % self.model.regions, router, ConnectionCount(self.now))
        instance.listed = {e.name: e for e in entries}
        self.post(instance, EndpointUpdate(EndpointUpdateKind.SNAPSHOT, tuple(entries)))
        return instance

    def _fill(self) -> None:
        """Let each cache hold the most popular of the keys that a router would ask it for."""
        kept, full = self.model.cached_objects, 0
        keys = [f"page:{k}" for k in range(min(self.model.objects, 2 * kept * self.model.caches))]
        entries = [c.entry for c in self.caches.values()]
        for key, server in zip(keys, place_keys(self.settings, entries, keys), strict=False):
            contents = self.caches[server].contents
            if len(contents) < kept:
                contents[key] = None
                contents.move_to_end(key, last=False)  # the most popular as the ones used last
                full += len(contents) == kept
            if full == len(self.caches):
                break

    def reset(self) -> None:
        """Count from here on."""
        self.counted_from = self.now
        self.counts = dict.fromkeys((*SERIES, "handshakes", "moot", "timeouts", "misses"), 0)
        self.series: dict[str, list[int]] = {name: [] for name in SERIES}
        self.latencies: list[float] = []
        self.met_counts: list[int] = []
        for table in [c.table for c in self.caches.values()] + [i.table for i in self.instances]:
            table.reset(self.now)
        for cache in self.caches.values():
            cache.received = cache.received_again = 0

    # The clock

    def at(self, delay: float, call: Callable[..., None], *args: Any) -> None:
        heapq.heappush(self.heap, (self.now + delay, next(self.order), call, args))

    def run(self, seconds: float, stop: Callable[[], bool] = lambda: False) -> bool:
        """Let time pass; answers with whether it was not stopped before. `stop` is asked now and then."""
        until = self.now + seconds
        for step in itertools.count(1):
            if not self.heap or self.heap[0][0] > until:
                break
            if step % 10_000 == 0 and stop():
                return False
            self.now, _, call, args = heapq.heappop(self.heap)
            call(*args)
        self.now = until
        return True

    def count(self, what: str, instance: SimulatedRouter | None = None, at: float | None = None) -> None:
        """Count one, now or with the second of `at`; what came before the last reset is not counted."""
        at = self.now if at is None else at
        if at < self.counted_from:
            return
        names = [what]
        if instance is not None and instance.region in self.watched:
            names.append(f"watched_{what}")
        for name in names:
            self.counts[name] += 1
            series = self.series.get(name)
            if series is not None:
                second = int(at - self.counted_from)
                series.extend([0] * (second + 1 - len(series)))
                series[second] += 1

    def watch_meetings(self, every: float) -> None:
        """Count, for each span of so many seconds, the caches that each router sends to."""
        for instance in self.instances:
            instance.met.clear()
        self.at(every, self._note_meetings, every)

    def _note_meetings(self, every: float) -> None:
        self.met_counts.extend(len(i.met) for i in self.instances)
        self.watch_meetings(every)

    # The list and the network

    def notify(self, instance: SimulatedRouter, entries: Iterable[Endpoint]) -> None:
        """Tell an instance of changes; what it kept to a server that changed is closed, as the host does."""
        if not instance.alive:
            return
        entries = tuple(entries)
        for entry in entries:
            old = instance.listed.get(entry.name)
            if entry.state is EndpointState.REMOVED:
                instance.listed.pop(entry.name, None)
            else:
                instance.listed[entry.name] = entry
            if old is not None and (not entry.is_ready or entry.started_at != old.started_at):
                self._close_idle(instance, entry.name)
        self.post(instance, EndpointUpdate(EndpointUpdateKind.DELTA, entries))

    def notify_all(self, names: Iterable[str], state: EndpointState, notice: float, spread: float) -> None:
        """Tell each instance of servers' state after a notice and its own share of a spread, in seconds."""
        entries = tuple(replace(self.caches[n].entry, state=state) for n in names)
        for instance in self.instances:
            self.at(notice + self.random.uniform(0, spread), self.notify, instance, entries)

    def fail_servers(self, names: Iterable[str], silent: bool = True) -> None:
        """Caches vanish with all they hold, or their processes die."""
        for name in names:
            cache = self.caches[name]
            cache.up, cache.refuses = False, not silent
            cache.queue.clear()
            cache.busy = 0
            cache.contents.clear()
            cache.since = self.now

    def restore_servers(self, names: Iterable[str]) -> None:
        """They start again, cold and empty."""
        for name in names:
            cache = self.caches[name]
            cache.up, cache.refuses = True, False
            cache.since = self.now
            cache.entry = replace(cache.entry, started_at=self.now)
            cache.smoothed, cache.reported_at = 0.0, -math.inf

    def restart(self, instance: SimulatedRouter, entries: Sequence[Endpoint]) -> None:
        """Replace an instance by one that knows only a list; what it owed is asked again by its clients."""
        instance.alive = False
        for connection in list(instance.idle):
            self._drop(connection)
        for taken in list(instance.requests.values()):
            for attempt in list(taken.out.values()):
                attempt.ended = True
                if attempt.connection is not None:
                    self._drop(attempt.connection)
            if not taken.closed:
                self._answer(taken, "failed")
        fresh = self._make_instance(instance.index, entries)
        self.instances[instance.index] = fresh
        self.at(self._pause(), self._arrive, fresh)

    def reachable(self, instance: SimulatedRouter, cache: CacheServer) -> bool:
        if not cache.up:
            return False
        if instance.region == cache.region or cache is self.origin and self.model.origin_always_reachable:
            return True
        return instance.region not in self.cut and cache.region not in self.cut

    def share(self, cache: CacheServer) -> float:
        """Of its capacity that a cache has now: evenly from the cold share to all of it."""
        age = self.now - cache.since
        ramp = self.settings.slow_start_duration
        if cache.since <= 0 or age >= ramp:
            return 1.0
        return (
            self.settings.slow_start_initial_share + (1 - self.settings.slow_start_initial_share) * age / ramp
        )

    def one_way(self, instance: SimulatedRouter, cache: CacheServer) -> float:
        if instance.zone == cache.zone:
            return self.model.one_way_latency[0]
        return self.model.one_way_latency[1 if instance.region == cache.region else 2]

    # Clients

    def _pause(self) -> float:
        return self.random.expovariate(self.model.requests_per_s * self.demand)

    def _arrive(self, instance: SimulatedRouter) -> None:
        if not instance.alive:
            return
        self.at(self._pause(), self._arrive, instance)
        if not self.drawn:
            ranks = np.searchsorted(self.cumulative, self.draw.random(BLOCK))
            self.drawn = np.minimum(ranks, self.model.objects - 1).tolist()
        wish = ClientRequest(
            f"page:{self.drawn.pop()}", self.random.random() < self.model.write_share, self.now
        )
        self.count("wishes", instance)
        self._ask(instance, wish)

    def _ask(self, instance: SimulatedRouter, wish: ClientRequest) -> None:
        instance = self.instances[instance.index]  # the one that runs now
        wish.tries += 1
        name = f"{next(self.names):016x}"
        patience = self.random.uniform(*self.model.client_timeout) - 0.02  # as the host's margin
        taken = PendingRequest(name, instance, wish, self.now + patience)
        instance.requests[name] = taken
        self.asked += 1
        self.count("requests", instance)
        self.at(patience, self._overdue, taken)
        kind = WRITE if wish.write else READ
        self.post(instance, Request(name, kind, patience, wish.key, is_write=wish.write))

    def _answer(self, taken: PendingRequest, how: str) -> None:
        """Give a request its one answer."""
        if taken.closed:
            raise AssertionError(f"a second answer to {taken.name}: {how}")
        taken.closed = True
        self.answers += 1
        wish = taken.wish
        if how == "served":
            self.count("served", taken.instance, wish.born)
            self.latencies.append(self.now - wish.born)
            return
        self.count(how, taken.instance)
        if wish.tries < self.model.client_attempts:
            pause = self.random.uniform(*self.model.client_backoff) * 2 ** (wish.tries - 1)
            self.at(pause, self._ask, taken.instance, wish)

    # The host

    def post(self, instance: SimulatedRouter, event: Event) -> None:
        if not instance.alive:
            return
        instance.events.append(event)
        if instance.handling:
            return
        instance.handling = True
        while instance.events:
            event = instance.events.popleft()
            self.calls += 1
            if self.calls % SAMPLE_EVERY:
                actions = instance.router.handle(self.now, event)
            else:
                start = time.thread_time()
                actions = instance.router.handle(self.now, event)
                self.timed_s += time.thread_time() - start
                self.timed_calls += 1
            for action in actions:
                self._carry_out(instance, action)
        instance.handling = False

    def _carry_out(self, instance: SimulatedRouter, action: Action) -> None:
        if isinstance(action, SetTimer):
            self.at(action.delay, self.post, instance, TimerFired(action.token))
        elif isinstance(action, Send):
            self._send(instance, action)
        elif isinstance(action, (Reject, Fail)):
            taken = instance.requests.get(action.request_id)
            if taken is not None and not taken.closed:
                self._answer(taken, "refused" if isinstance(action, Reject) else "failed")
                self._forget(taken)
        elif isinstance(action, Cancel):
            taken = instance.requests.get(action.request_id)
            attempt = taken.out.get(action.attempt_number) if taken is not None else None
            if attempt is not None:
                self._give_up(attempt, AttemptStatus.CANCELLED)
        elif isinstance(action, CloseIdleConnections):
            self._close_idle(instance, action.server)

    def _forget(self, taken: PendingRequest) -> None:
        if taken.closed and not taken.out:
            taken.instance.requests.pop(taken.name, None)

    def _overdue(self, taken: PendingRequest) -> None:
        if not taken.instance.alive:
            return
        taken.overdue = True
        for attempt in list(taken.out.values()):
            self._give_up(attempt, AttemptStatus.TIMEOUT)
        if not taken.closed:  # the module had its last event for it and gave no answer
            self.at(self.settings.clock_resolution * 4, self._check_answered, taken)

    def _check_answered(self, taken: PendingRequest) -> None:
        if not taken.closed and taken.instance.alive:
            raise AssertionError(f"no answer in time to {taken.name}")

    def _send(self, instance: SimulatedRouter, action: Send) -> None:
        taken = instance.requests.get(action.request_id)
        if taken is None:
            return
        cache = self.caches.get(action.server, self.origin)
        attempt = Attempt(taken, taken.sent, cache, self.now)
        taken.sent += 1
        taken.out[attempt.number] = attempt
        status = self._precondition(attempt)
        if attempt.number >= self.settings.max_attempts:
            status = AttemptStatus.NOT_SENT
        if status is not None:
            self._finish(attempt, status)
            return
        if cache is self.origin:
            self._start_at_origin(attempt)
            return
        instance.met.add(action.server)
        self.count("attempts")
        kept = self._take(instance, cache)
        if kept is not None:
            self._begin(kept, attempt)
        elif self._has_room(instance):
            self._dial(instance, attempt)
        else:
            self._finish(attempt, AttemptStatus.NOT_SENT)

    def _precondition(self, attempt: Attempt) -> AttemptStatus | None:
        if attempt.taken.closed or attempt.taken.overdue:
            return AttemptStatus.NOT_SENT
        entry = attempt.taken.instance.listed.get(attempt.cache.entry.name)
        return None if entry is not None and entry.is_ready else AttemptStatus.CONNECT_FAILED

    def _give_up(self, attempt: Attempt, status: AttemptStatus) -> None:
        if attempt.connection is not None:
            self._drop(attempt.connection)
        if status is AttemptStatus.TIMEOUT:
            self.count("timeouts")
        self._finish(attempt, status)

    def _finish(self, attempt: Attempt, status: AttemptStatus, load: LoadReport | None = None) -> None:
        taken = attempt.taken
        if attempt.ended:
            return
        attempt.ended = True
        del taken.out[attempt.number]
        if status is AttemptStatus.OK and not taken.closed:
            self._answer(taken, "served")
        if status is AttemptStatus.NOT_SENT:
            self.count("moot")
        event = AttemptCompleted(
            taken.name, attempt.number, status, taken.closed, self.now - attempt.sent_at, load
        )
        self.post(taken.instance, event)
        self._forget(taken)

    # The pool

    def _take(self, instance: SimulatedRouter, cache: CacheServer) -> SimulatedConnection | None:
        while (connection := next(iter(instance.idle_at.get(cache.entry.name, ())), None)) is not None:
            if connection.kept_at > self.now - self.model.reuse_delay:
                return None
            self._leave_idle(connection)
            if connection.process == instance.listed[cache.entry.name].started_at:
                return connection
            self._drop(connection)
        return None

    def _has_room(self, instance: SimulatedRouter) -> bool:
        if instance.table.now < self.model.router_descriptors:
            return True
        for connection in instance.idle:
            self._drop(connection)
            return True
        return False

    def _dial(self, instance: SimulatedRouter, attempt: Attempt) -> None:
        cache = attempt.cache
        self.count("dials")
        connection = SimulatedConnection(instance, cache, instance.listed[cache.entry.name].started_at)
        attempt.connection = connection
        instance.table.add(1, self.now)
        round_trip = 2 * self.one_way(instance, cache)
        if not self.reachable(instance, cache) and not cache.refuses:
            self.at(self.settings.connect_timeout, self._dial_failed, connection, attempt)
        elif cache.refuses or self.model.max_connections and cache.table.now >= self.model.max_connections:
            self.at(round_trip, self._dial_failed, connection, attempt)
        else:
            connection.start = cache.since
            cache.table.add(1, self.now)
            self.at(round_trip * self.model.handshake_round_trips, self._dialled, connection, attempt)

    def _dial_failed(self, connection: SimulatedConnection, attempt: Attempt) -> None:
        self.count("dials_failed")
        self._drop(connection)
        self._finish(attempt, AttemptStatus.CONNECT_FAILED)

    def _dialled(self, connection: SimulatedConnection, attempt: Attempt) -> None:
        if not connection.open:
            return
        if not self.reachable(connection.instance, connection.cache):
            left = attempt.sent_at + self.settings.connect_timeout - self.now
            self.at(max(0.0, left), self._dial_failed, connection, attempt)
            return
        self.count("handshakes")
        status = self._precondition(attempt)
        if status is None:
            attempt.handshake = True
            self._begin(connection, attempt)
            return
        if status is AttemptStatus.NOT_SENT:
            self._keep(connection)
        else:
            self._drop(connection)
        self._finish(attempt, status)

    def _keep(self, connection: SimulatedConnection) -> None:
        connection.kept_at, connection.idle = self.now, True
        connection.instance.idle[connection] = None
        connection.instance.idle_at.setdefault(connection.cache.entry.name, {})[connection] = None
        if not connection.watched:
            connection.watched = True
            self.at(self.idle_time, self._expire, connection)

    def _expire(self, connection: SimulatedConnection) -> None:
        connection.watched = False
        if not connection.open or not connection.idle:
            return
        left = connection.kept_at + self.idle_time - self.now
        if left > 1e-6:
            connection.watched = True
            self.at(left, self._expire, connection)
        else:
            self._drop(connection)

    def _leave_idle(self, connection: SimulatedConnection) -> None:
        if connection.idle:
            connection.idle = False
            instance, name = connection.instance, connection.cache.entry.name
            del instance.idle[connection]
            del instance.idle_at[name][connection]
            if not instance.idle_at[name]:
                del instance.idle_at[name]

    def _drop(self, connection: SimulatedConnection) -> None:
        if not connection.open:
            return
        connection.open = False
        self._leave_idle(connection)
        connection.instance.table.add(-1, self.now)
        if connection.start < math.inf:
            connection.cache.table.add(-1, self.now)

    def _close_idle(self, instance: SimulatedRouter, server: str) -> None:
        for connection in list(instance.idle_at.get(server, ())):
            self._drop(connection)

    # Page caches

    def _begin(self, connection: SimulatedConnection, attempt: Attempt) -> None:
        attempt.connection = connection
        self.at(self.one_way(connection.instance, connection.cache), self._received, attempt)

    def _received(self, attempt: Attempt) -> None:
        cache, connection = attempt.cache, attempt.connection
        assert connection is not None
        if not self.reachable(connection.instance, cache):
            return  # silent: the attempt ends when its router gives it up
        if connection.start < cache.since:  # of a process that is gone
            self._drop(connection)
            self.at(self.one_way(connection.instance, cache), self._finish, attempt, AttemptStatus.RESET)
            return
        cache.received += 1
        cache.received_again += attempt.number > 0
        if cache.arrivals is not None:
            cache.arrivals.append(self.now)
        if not cache.cores or cache.busy < cache.cores:
            self._serve(cache, attempt)
        elif len(cache.queue) >= cache.queue_places:
            self._reply(attempt, AttemptStatus.REJECTED)
        else:
            cache.queue.append(attempt)

    def _serve(self, cache: CacheServer, attempt: Attempt) -> None:
        cache.busy += 1
        hit = self._holds(cache, attempt.taken.wish)
        work = self.random.uniform(*self.model.service_time) if hit else self.model.miss_service_time
        work += self.model.handshake_core_time if attempt.handshake else 0.0
        work /= self.share(cache)
        cache.smoothed += 0.1 * (work - cache.smoothed) if cache.smoothed else work
        self.at(
            work, self._served, cache, attempt, AttemptStatus.OK if hit else AttemptStatus.MISS, cache.since
        )

    def _holds(self, cache: CacheServer, wish: ClientRequest) -> bool:
        if not self.model.cached_objects:
            return self.random.random() < self.model.hit_share
        if wish.key not in cache.contents:
            return False
        cache.contents.move_to_end(wish.key)
        return True

    def _served(self, cache: CacheServer, attempt: Attempt, status: AttemptStatus, process: float) -> None:
        if not cache.up or cache.since != process:
            return
        cache.busy -= 1
        if cache.queue:
            self._serve(cache, cache.queue.popleft())
        if status is AttemptStatus.MISS:
            self.count("misses")
            attempt.taken.missed.append(cache)
        self._reply(attempt, status)

    def _reply(self, attempt: Attempt, status: AttemptStatus) -> None:
        cache = attempt.cache
        if self.now - cache.reported_at > self.model.load_report_interval:
            cache.reported_at = self.now
            cache.report = LoadReport(cache.smoothed, float(len(cache.queue)))
        instance = attempt.taken.instance
        if not attempt.ended and self.reachable(instance, cache):
            self.at(self.one_way(instance, cache), self._answered, attempt, status, cache.report)

    def _answered(self, attempt: Attempt, status: AttemptStatus, load: LoadReport) -> None:
        connection = attempt.connection
        if attempt.ended or connection is None or not connection.open:
            return
        if self.reachable(connection.instance, connection.cache):
            self._keep(connection)
            self._finish(attempt, status, load)

    # The origin: its connections are kept by each router and counted by none of the figures

    def _start_at_origin(self, attempt: Attempt) -> None:
        instance, origin = attempt.taken.instance, self.origin
        self.count("origin")
        if not self.reachable(instance, origin):
            self.at(self.settings.connect_timeout, self._finish, attempt, AttemptStatus.CONNECT_FAILED)
            return
        if origin.cores and origin.busy >= origin.cores:
            if len(origin.queue) >= origin.queue_places:
                delay = 2 * self.one_way(instance, origin)
                self.at(delay, self._finish, attempt, AttemptStatus.REJECTED)
            else:
                origin.queue.append(attempt)
            return
        self._serve_at_origin(attempt)

    def _serve_at_origin(self, attempt: Attempt) -> None:
        self.origin.busy += 1
        trip = 2 * self.one_way(attempt.taken.instance, self.origin)
        work = self.random.uniform(*self.model.origin_service_time)
        self.at(work, self._served_at_origin)
        self.at(work + trip, self._fetched, attempt)

    def _served_at_origin(self) -> None:
        self.origin.busy -= 1
        if self.origin.queue:
            self._serve_at_origin(self.origin.queue.popleft())

    def _fetched(self, attempt: Attempt) -> None:
        if attempt.ended or not self.reachable(attempt.taken.instance, self.origin):
            return
        wish = attempt.taken.wish
        if self.model.cached_objects:
            if wish.write:
                for cache in self.caches.values():
                    cache.contents.pop(wish.key, None)
            for cache in attempt.taken.missed[:2]:
                if cache.up:
                    cache.contents[wish.key] = None
                    if len(cache.contents) > self.model.cached_objects:
                        cache.contents.popitem(last=False)
        self._finish(attempt, AttemptStatus.OK)

    # Figures

    def served_by_second(self, of: str = "served", among: str = "wishes") -> list[float]:
        """The share served of what clients wanted in each settled second since the last reset."""
        asked = self.series[among][: max(0, int(self.now - self.counted_from) - SETTLED)]
        got = self.series[of] + [0] * len(asked)
        return [g / a if a else 1.0 for g, a in zip(got, asked, strict=False)]

    def served_share(self, of: str = "served", among: str = "wishes") -> float:
        """The same of all these seconds together."""
        settled = max(0, int(self.now - self.counted_from) - SETTLED)
        return sum(self.series[of][:settled]) / max(1, sum(self.series[among][:settled]))

    def overload(
        self, cache: CacheServer, began: float, window: float, multiple: float
    ) -> tuple[float, float]:
        """The largest share of a cold cache's budget that it was sent, without and with slack for chance.

        Of every window of `window` seconds that begins with an arrival after `began`: what arrived, over
        N = `multiple` x the capacity within it, and over N + 2 x root of N + 2.
        """
        arrivals = [t for t in cache.arrivals or () if t >= began]
        share = strict = 0.0
        for i, start in enumerate(arrivals):
            count = bisect.bisect_right(arrivals, start + window) - i
            budget = multiple * self.capacity(cache, start - began, window)
            strict = max(strict, count / budget)
            share = max(share, count / (budget + 2 * math.sqrt(budget) + 2))
        return strict, share

    def capacity(self, cache: CacheServer, age: float, window: float) -> float:
        """Requests that a cache of some age can serve within a window: its warming is even."""
        ramp, cold = self.settings.slow_start_duration, self.settings.slow_start_initial_share
        cold_left = max(0.0, min(window, ramp - age))  # seconds of the window in which it still warms
        mean = cold + (1 - cold) * (age + cold_left / 2) / ramp if cold_left else 1.0
        work = cold_left * mean + window - cold_left
        return max(1, cache.cores) * work / self.model.mean_service_time

    def forget_timing(self) -> None:
        """Time the module's calls from here on: those with whole lists are apart."""
        self.calls = self.timed_calls = 0
        self.timed_s = 0.0
        self.asked_before = self.asked

    def calls_per_request(self) -> float:
        return self.calls / max(1, self.asked - self.asked_before)

    def handle_cpu(self) -> float:
        """Seconds of processor time of the module for each call, from one call in `SAMPLE_EVERY`."""
        return self.timed_s / max(1, self.timed_calls)
