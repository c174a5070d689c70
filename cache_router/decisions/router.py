"""Every decision of a cache_router router, as a state machine without I/O.

It is told `events` and answers with `actions`, both in modules of these names beside this one.

Each key is hashed onto a ring of weighted virtual nodes and sent to the first server clockwise; the walk
goes on past servers whose load has reached (1 + epsilon) times the average.
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import islice

from cache_router.decisions import slow_start as ramp
from cache_router.decisions.actions import (
    Action,
    Cancel,
    CloseIdleConnections,
    Fail,
    LogMessage,
    Reject,
    Send,
    SetTimer,
    SubscribeToEndpoints,
)
from cache_router.decisions.events import (
    NOT_EXECUTED,
    AttemptCompleted,
    AttemptStatus,
    ClientDisconnected,
    DiscoveryAddressChanged,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    Request,
    ResponseStarted,
    ShutdownStarted,
    TimerFired,
)
from cache_router.decisions.hash_ring import Ring, ring_hash
from cache_router.decisions.retry_policy import recognises_repeats
from cache_router.endpoint import Endpoint, EndpointState
from cache_router.settings import MIN_BACKOFF, Idempotency, IdempotencyScope, RequestClass, Settings

POINTS = 128  # virtual nodes of a server as large as the unit of weight: shares within a tenth or so
EPSILON = 0.25  # a server may stand this far above the average load before the walk passes it
WALK = 64  # points a walk goes at most: no tour of the fleet for each request when all is crowded
ROOM = 0.3  # of own attempts answered well: above it a refusal as full, being cheap, spends no retry
QUEUE = 0.25  # of the time left that may be spent waiting behind what a server is reported to hold
SPILL = 2  # servers a key may visit: further on they lack it, and a crowd of hits would turn into misses
LIMIT_START = 4.0  # first guess of what one router may have out at a server; moves within seconds
CACHE_TARGET = 0.25  # of the aim: answers slower than this on average mean that too many are out
ORIGIN_TARGET = 0.5  # the same for the origin, which is slow by nature
FETCH_ROOM = 2.0  # times the usual latency that must be left: a fetch given up midway is not even stored
SMOOTHING = 0.2  # of the latest sample in a mean; five answers or so are remembered
LIMIT_CUT = 0.75  # soon enough to empty a crowded server within a few rounds; a tenth took many seconds
RETRY_SHARE = 0.2  # retries for each request taken: enough for a server lost, too few to feed an overload
RETRIES_SAVED = 10.0  # unspent retries kept, so that those of a lost server can all go at once
OUTLIER = 4.0  # times what is usual: the most that one sample says, or one lost answer makes all look late
COPY = 6.0  # times the usual latency after which an answer is more likely lost than late
CROWDED = 0.5  # of the shortest aim: a delay from which a server is on its way into a jam
ABREAST = 4.0  # requests a server works on at once, about: what waits there goes by so many at a time
SILENCE = 1.0  # shortest aims without any answer: longer than pauses, soon enough to matter
KEEP = 0.5  # of the idle time at which a connection costs as much as the handshake it saves
TABLE = (
    100  # connections at each server: the unit in which settings price them, and what all routers may keep
)
KEEP_GAIN = 0.01  # of the way back to KEEP with each answer, after failures have cut it by half each
FAILED = (
    AttemptStatus.ERROR,
    AttemptStatus.RESET,
    AttemptStatus.CONNECT_FAILED,
)  # fast, and telling nothing of load
CHEAP = (AttemptStatus.REJECTED, AttemptStatus.CONNECT_FAILED)  # told at once, and no work for any server
FAILURES = 3  # in a row take a server out: spoilt answers come one by one, those of a dead process together
PAUSE = 0.5  # seconds out at first, doubled with each trial that fails; routers must not try in step
MOST_OUT = 0.5  # share of the fleet; when more fails it is not the servers, and the others could not bear it
SPREAD = (0.2, 1.0)  # of a pause before the next call for the list: all routers lose discovery at once
UNHEARD = (AttemptStatus.TIMEOUT, AttemptStatus.CANCELLED, AttemptStatus.NOT_SENT)


@dataclass(slots=True, eq=False)
class Server:
    """A listed server as this router sees it."""

    entry: Endpoint
    cache: bool = True  # or the origin
    load: int = 0  # own attempts in flight
    size: float = 1.0  # its weight, steady
    reported: float = 0.0  # requests held for each unit of size, by all routers, seconds ago
    limit: float = LIMIT_START  # of own attempts in flight
    cut_at: float = -math.inf
    latency: float = 0.0  # smoothed
    slowness: float = 0.0  # smoothed share of the target that answers take, as one says little
    quiet_since: float = math.inf  # first send since its last answer
    used_at: float = 0.0  # last end of an attempt
    failures: int = 0  # in a row
    pause: float = 0.0
    out_until: float = -math.inf
    rest_until: float = -math.inf  # by then what waits there now is done
    budget: ramp.Budget | None = None  # while it is cold


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of a request."""

    server: Server
    target: float  # slower than this means too many are out
    sent_at: float
    open: bool = True
    may_have_run: bool = True  # until an outcome proves the contrary


@dataclass(slots=True, eq=False)
class Held:
    """A request that is owed its final answer."""

    request: Request
    request_class: RequestClass
    until: float  # no use in waiting for longer
    to_origin: bool
    attempts: list[Attempt] = field(default_factory=list)
    waiting: bool = False  # for a place at the origin, or for any server at all
    streaming: bool = False

    def open_attempts(self) -> int:
        return sum(a.open for a in self.attempts)


class Router:
    """The decisions of one router."""

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        self.settings = settings
        self.shortest_aim = min(c.latency_objective for c in settings.classes.values())
        self.random = random.Random(seed)
        self.now = now
        self.out: list[Action] = []
        self.servers: dict[str, Server] = {}
        self.ring: Ring[Server] = Ring()
        self.failing: set[Server] = set()  # so often in a row that they are out, or on trial
        self.bearing = ramp.Bearing(now, settings.overload_window)
        self.seen: dict[str, int] = {}  # requests of each key, in a memory that halves every ramp
        self.seen_total = 0.0
        self.sizes: dict[str, float] = {}  # the largest weight seen of a kind
        self.held: dict[str, Held] = {}
        self.attempts: dict[tuple[str, int], Attempt] = {}
        self.queue: list[tuple[float, int, Held]] = []  # for the origin, or any server: worth, then age
        self.queued = 0
        self.list_failures = 0
        self.watch = settings.watch_budget
        self.call_due = now + self.watch.poll_cycle  # the next call for the list has begun by then,
        self.least_pause = self.watch.max_backoff  # but no sooner after a failure than this, jitter aside
        self.retries = RETRIES_SAVED
        self.born = self.halve_at = now
        self.taken = 0  # requests, since birth
        self.keep = KEEP
        self.largest = 0.0  # weight of a server
        self.warm_size, self.warm_until = 0.0, -math.inf
        self._build_ring(())
        self.wait = 0.0  # smoothed latency for each request held a unit of size, the one in hand included
        self.usual = 0.0  # smoothed service time of servers at which nothing waits
        self.good = 1.0  # smoothed share of attempts at caches that were answered well

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take one event and answer with actions, to be carried out in order."""
        self.now, self.out = now, []
        if isinstance(event, AttemptCompleted):
            self._on_outcome(event)
        elif isinstance(event, Request):
            self._on_request(event)
        elif isinstance(event, TimerFired):
            self._on_timer(event)
        elif isinstance(event, EndpointUpdate):
            self._on_list(event)
        elif isinstance(event, DiscoveryAddressChanged):
            self.list_failures = 0  # guards against waiting out the pause that another discovery earned
            self.call_due, self.least_pause = now + self.watch.address_change_cycle, MIN_BACKOFF
            self._subscribe()
        elif isinstance(event, ClientDisconnected) and event.request_id in self.held:
            self._forget(self.held[event.request_id])
        elif isinstance(event, ShutdownStarted):
            self._on_ending(event)
        elif isinstance(event, ResponseStarted) and event.request_id in self.held:
            self.held[event.request_id].streaming = True
        return self.out

    def _on_ending(self, event: ShutdownStarted) -> None:
        for held in self.held.values():
            held.until = min(held.until, self.now + event.answer_within - self.settings.clock_resolution)
            if held.waiting:
                self._wake_in_time(held)

    def _on_list(self, event: EndpointUpdate) -> None:
        if event.kind is EndpointUpdateKind.FAILED:
            self._ask_list_later()
            return
        if event.kind is not EndpointUpdateKind.DELTA:
            for i in self.servers.keys() - {e.name for e in event.endpoints}:
                self._drop(i)
        changed = {}
        for entry in event.endpoints:
            known = self.servers.get(entry.name)
            if entry.state is EndpointState.REMOVED:
                self._drop(entry.name)
            elif (
                known is None or entry.started_at > known.entry.started_at
            ):  # a new process: nothing learned holds
                self._drop(entry.name)
                origin = self.settings.cache_aside and entry.kind == self.settings.origin_kind
                changed[entry.name] = self.servers[entry.name] = Server(entry, not origin)
            else:
                known.entry = entry
                changed[entry.name] = known
        self.call_due, self.least_pause = (
            self.now + self.watch.poll_cycle,
            self.watch.max_backoff,
        )  # the watch goes on
        if event.kind is not EndpointUpdateKind.CACHED:
            self.list_failures = 0
        else:
            self._subscribe()
        if event.kind is EndpointUpdateKind.DELTA and not event.endpoints:
            return
        self._build_ring(s for name, s in changed.items() if self.servers.get(name) is s)
        queue, self.queue = sorted(self.queue), []
        for _, _, held in queue:
            if held.waiting:
                held.waiting = False
                self._advance(held)

    def _subscribe(self) -> None:
        if self.settings.must_subscribe:
            self.out.append(SubscribeToEndpoints())

    def _ask_list_later(self) -> None:
        """Subscribe again after a doubling, jittered pause, so that routers don't call in step.

        The call that failed may have begun just before discovery could be reached: whatever time it took,
        the next has begun by the end of the cycle, or what it would bring counts as told before it comes.
        """
        self.list_failures += 1
        pause = min(
            self.settings.slow_start_duration, self.settings.overload_window * 2.0 ** (self.list_failures - 2)
        )
        left = self.call_due - self.now if self.settings.must_subscribe else self.watch.max_backoff
        pause = max(MIN_BACKOFF, min(pause, max(self.least_pause, left)) * self.random.uniform(*SPREAD))
        self.call_due = self.now + pause + self.watch.poll_cycle
        self.out.append(SetTimer(pause, "list"))
        self.out.append(LogMessage(f"list out of reach, {self.list_failures} in a row"))

    def _drop(self, name: str) -> None:
        if name in self.servers:
            self.ring.place(name, self.servers.pop(name), 0)

    def _build_ring(self, changed: Iterable[Server]) -> None:
        """Points follow the size of a server alone, so that others coming or going move none of them.

        Guards against lists that change often in a large fleet: only servers that changed are placed anew.
        """
        ready = [s for s in self.servers.values() if s.entry.state is EndpointState.READY]
        caches = self.caches = [s for s in ready if s.cache]
        self.origins = [s for s in ready if not s.cache]
        weights = [s.entry.weight for s in caches]
        if self.settings.live_weights:
            # live weights fall with load and come late: on the ring they moved keys with every list
            changed = self.servers.values()
            for s in caches:
                kind = s.entry.kind
                s.size = self.sizes[kind] = max(self.sizes.get(kind, 0.0), s.entry.weight)
                s.reported = s.size / s.entry.weight - 1 if s.entry.weight else 0.0
            weights = [s.size for s in caches]
        largest = max(weights, default=0.0) or 1.0  # and what a missing weight counts as
        if largest != self.largest:
            changed, self.largest = self.servers.values(), largest
        unit = 2.0 ** math.ceil(math.log2(largest))  # rarely changes with the fleet
        for s in changed:
            s.size = (s.size if self.settings.live_weights else s.entry.weight) or largest
            on_ring = s.cache and s.entry.is_ready
            self.ring.place(s.entry.name, s, math.ceil(POINTS * s.size / unit) if on_ring else 0)
        self.warm_until = -math.inf
        self.failing = {s for s in caches if s.failures >= FAILURES}
        self.total_size = sum(s.size for s in caches)
        live = self.settings.live_weights
        self.mean_reported = sum(s.reported for s in caches) / max(1, len(caches)) if live else 0.0

    def _origin(self) -> Server | None:
        """The least loaded origin member that may be sent to."""
        return min(self.origins, key=lambda s: s.load, default=None)

    def _choose(self, held: Held) -> Server | None:
        """The bounded walk: a key's load flows clockwise, and each server keeps (1 + epsilon) fair shares."""
        key = held.request.key if held.request.key is not None else held.request.request_id
        flow = self.random.random() * self._load_of(key)
        cap = (1 + EPSILON) * max(1.0, self.mean_reported)  # passed by chance: all read the same late report
        passed: set[Server] = set()
        crowded = 0
        first = None
        for server, rank in islice(self.ring.walk(ring_hash(key)[0]), WALK):
            warm = self._warm_share(server)
            # guards against pushing over a cold server: all leave out the same points, and none spills to it
            if rank > warm or server in passed or (warm < 1 and passed):
                continue
            passed.add(server)
            if self._eligible(held, server):
                first = first or server
                flow -= (1 + EPSILON) * warm * server.size / self.total_size
                if flow <= 0 and server.reported * self.random.random() <= cap:
                    return server
            elif self.now < server.rest_until or server.load >= server.limit and not self._silent(server):
                crowded += 1
                if crowded >= SPILL:
                    break
        return first  # all over the cap: then it is as good as any, and likelier to have the key

    def _load_of(self, key: str) -> float:
        """A key's share of own requests. Guards against hot keys: own loads are too few to show them."""
        if self.now > self.halve_at:
            self.halve_at = self.now + self.settings.slow_start_duration
            self.seen = {k: n // 2 for k, n in self.seen.items() if n > 1}
            self.seen_total /= 2
        self.seen_total += 1
        times = self.seen[key] = self.seen.get(key, 0) + 1
        return (times - 1) / max(self.seen_total, len(self.caches))  # a key met twice by chance is not hot

    def _too_late(self, held: Held, server: Server) -> bool:
        """Refuses by chance what would wait too long. Guards against rooms so full that all is late."""
        crowd = server.reported / QUEUE if self.settings.live_weights else 1.0  # told, or seen in own waits
        return self.random.random() * self.wait * crowd > held.until - self.now

    def _eligible(self, held: Held, server: Server) -> bool:
        """Whether a server may take the request now."""
        if self.now < server.out_until or server.load and server.failures >= FAILURES:
            return False
        if self.now < server.rest_until:
            return False
        if server.load >= server.limit or server.load and self._silent(server):
            return False
        if any(a.server is server for a in held.attempts) or self._spent(server):
            return False
        return self._permits(held, server)

    def _note_failure(self, server: Server, status: AttemptStatus) -> None:
        """Guards retries: keys of a server that fails each attempt at once would spend them all."""
        others = len(self.failing) - (server in self.failing)
        absent = status is AttemptStatus.CONNECT_FAILED
        most = others + 1 > MOST_OUT * len(self.caches)
        if status not in FAILED or not server.cache or most and not absent:
            server.failures, server.pause = 0, 0.0
            self.failing.discard(server)
            return
        # nobody is there, and who meets it once in seconds would need many to see it thrice
        server.failures += FAILURES if absent else 1
        if server.failures >= FAILURES and self.servers.get(server.entry.name) is server:
            self.failing.add(server)
        if server.failures >= FAILURES and self.now >= server.out_until:
            server.pause = min(
                self.settings.slow_start_duration, max(PAUSE, 0.0 if most else 2 * server.pause)
            )
            server.out_until = self.now + server.pause * self.random.uniform(0.5, 1.0)
            server.limit = min(server.limit, LIMIT_START)  # it may come back cold, and the list tells it late

    def _note_load(self, server: Server, event: AttemptCompleted) -> None:
        """Guards against jams: what waits longer than its aim is work done for nobody, and more comes behind.

        A router of many meets a server too seldom to see a crowd in its own attempts; it waits until the one
        reported is served, each for its own jittered while, so that they don't all come back in step.
        """
        delay = event.latency if event.status is AttemptStatus.TIMEOUT else 0.0
        if event.load_report is not None:
            delay = event.load_report.service_time * (1 + event.load_report.queue_length / ABREAST)
            if event.load_report.queue_length < 1:
                self.usual += SMOOTHING * (event.load_report.service_time - self.usual)
        if server.cache and delay > CROWDED * self.shortest_aim:
            # as all routers that meet it rest for so long, what they send together is less than it bears;
            # and no longer than a server takes to bear its all: a large fleet would rest for minutes
            pause = max(
                self.settings.router_count * self.usual, min(self.settings.slow_start_duration / 2, delay)
            )
            pause = min(pause, self.settings.slow_start_duration)
            server.rest_until = self.now + pause * self.random.uniform(0.75, 1.25)

    def _silent(self, server: Server) -> bool:
        """Whether a server owes us an answer and has given none, to anything, for too long."""
        return self.now - server.quiet_since > SILENCE * self.shortest_aim

    def _warm_share(self, server: Server) -> float:
        """Share of its points that count: the stated warm-up, cut by our own share of good answers."""
        if not self._is_cold(server):
            return 1.0
        # guards against client retries, which multiply what is sent just when servers bear the least
        return self.good * ramp.present_share(self.settings, server.entry, self.now)

    def _is_cold(self, server: Server) -> bool:
        return ramp.is_cold(self.settings, server.entry, self.now)

    def _warm_size(self) -> float:
        """Sum of the sizes of caches that are not in their ramp; counted when a ramp begins or ends."""
        if self.now >= self.warm_until:
            begun = max(0.0, self.now - self.settings.slow_start_duration)
            cold = [s for s in self.caches if s.entry.started_at > begun]
            self.warm_size = self.total_size - sum(s.size for s in cold)
            self.warm_until = (
                min((s.entry.started_at for s in cold), default=math.inf) + self.settings.slow_start_duration
            )
        return self.warm_size

    def _spent(self, server: Server) -> bool:
        """Whether a cold server has had our part of its budget. Guards against what no router sees alone.

        Where nothing is warm nobody knows what is borne, and refusing all would serve nobody.
        """
        if not self._is_cold(server) or self._warm_size() <= 0:
            return False
        server.budget = server.budget or ramp.Budget(self.random.random())
        bears = server.size * self.bearing.rate(self.now, self.settings.overload_window)
        return server.budget.spent(self.settings, server.entry, bears, self.now)

    def _on_request(self, request: Request) -> None:
        unknown = RequestClass(request.request_class, 0.0, Idempotency.NOT_IDEMPOTENT)
        request_class = self.settings.classes.get(request.request_class, unknown)
        until = self.now + min(
            request.time_left - self.settings.clock_resolution, request_class.latency_objective
        )
        origin = self.settings.cache_aside and request.is_write
        held = self.held[request.request_id] = Held(request, request_class, until, origin)
        self.taken += 1
        self.retries = min(RETRIES_SAVED, self.retries + RETRY_SHARE)
        self._advance(held)

    def _permits(self, held: Held, server: Server | None) -> bool:
        """What the class still permits: another send to this server or, with None, a refusal."""
        kind = held.request_class
        ran = [a for a in held.attempts if a.may_have_run]
        waits = held.open_attempts() and not self.settings.hedging_allowed
        if server is not None and (waits or len(held.attempts) >= self.settings.max_attempts):
            return False
        if kind.idempotency is Idempotency.IDEMPOTENT or not ran:
            return True
        if kind.idempotency is Idempotency.NOT_IDEMPOTENT or server is None:
            return kind.idempotency is Idempotency.WITH_KEY and kind.idempotency_scope is IdempotencyScope.ALL
        # it may yet wait for a connection: what comes behind the window is carried out again
        if self.now + self.settings.connect_timeout >= min(a.sent_at for a in ran) + kind.idempotency_window:
            return False
        scope = kind.idempotency_scope
        return all(recognises_repeats(scope, a.server.entry, server.entry) for a in ran)

    def _advance(self, held: Held) -> None:
        """Send the next attempt, hold the request for one, or end it."""
        to_ring = self.ring.size and not held.to_origin
        server = self._choose(held) if to_ring else self._origin()
        if self.now >= held.until or (server is None or not self._permits(held, server)) and held.attempts:
            self._end(held)
        elif not to_ring:
            self._enqueue(held)
        elif server is None or self._too_late(held, server):
            self._end(held)
        else:
            self._send(held, server)

    def _send(self, held: Held, server: Server) -> None:
        name = held.request.request_id
        target = CACHE_TARGET if server.cache else ORIGIN_TARGET
        attempt = Attempt(server, target * held.request_class.latency_objective, self.now)
        self.attempts[name, len(held.attempts)] = attempt
        held.attempts.append(attempt)
        server.load += 1
        if server.budget is not None:
            server.budget.note(self.now, self.settings.overload_window)
        server.quiet_since = min(server.quiet_since, self.now)
        self.out.append(Send(name, server.entry.name))
        pause = max(COPY * max(server.latency, self.wait), self.settings.clock_resolution)
        safe = held.request_class.idempotency is Idempotency.IDEMPOTENT and self.settings.hedging_allowed
        if safe and server.cache and server.latency and self.now + pause < held.until:
            self.out.append(SetTimer(pause, "copy:" + name))

    def _copy(self, held: Held) -> None:
        """Guards reads against answers that are lost, within the budget of retries.

        A server that has answered others since has the key; one that has not may be out.
        """
        last = held.attempts[-1]
        if held.waiting or held.streaming or held.to_origin or not last.open or self.retries < 1:
            return
        server: Server | None = last.server
        listed = self.servers.get(last.server.entry.name) is server and last.server.entry.is_ready
        alive = listed and last.server.quiet_since > last.sent_at and self.now >= last.server.out_until
        if not alive or last.server.load >= last.server.limit or self._spent(last.server):
            server = self._choose(held)
        if server is not None and self._permits(held, server):
            self.retries -= 1
            self._send(held, server)

    def _on_timer(self, event: TimerFired) -> None:
        what, _, name = event.token.partition(":")
        if what == "list":
            self.out.append(SubscribeToEndpoints())
        elif what == "idle":
            self._close_idle(self.servers.get(name))
        held = self.held.get(name)
        if held is not None and what == "copy":
            self._copy(held)
        elif held is not None and held.waiting:
            # half a tick of grace: rounding may wake us a hair before
            if self.now >= self._latest_start(held, self._origin()) - self.settings.clock_resolution / 2:
                self._end(held)
            else:
                self._wake_in_time(held)

    def _close_idle(self, server: Server | None) -> None:
        """Guards against full tables: an idle connection goes once its price has passed a new one's.

        Where neither has a price, the idle ones that the whole fleet keeps at a server still have to fit:
        at the fleet's rate, so many come to lie there within `keep` (Little's law).
        """
        if server is None or server.load:
            return
        price = self.settings.connection_price
        if not price and self.settings.router_count <= TABLE:  # one of each router fits
            return
        rate = self.taken / max(self.now - self.born, self.shortest_aim) * self.settings.router_count
        idle = TABLE * (self.keep * self.settings.handshake_price / price if price else self.keep / KEEP)
        keep = idle * len(self.caches) / rate
        left = server.used_at + keep - self.now
        if left < self.settings.clock_resolution:
            self.out.append(CloseIdleConnections(server.entry.name))
        elif left < self.settings.connection_idle_timeout:
            self.out.append(SetTimer(left, "idle:" + server.entry.name))

    def _end(self, held: Held) -> None:
        """The final answer: a refusal where the class permits one, else a failure."""
        if held.streaming or held.open_attempts():
            return
        name = held.request.request_id
        origin = self._origin() if held.to_origin else None
        # by then what stood in its way is over; guards against clients that ask again while it is not
        come_back = min(self.settings.max_retry_after, origin.latency if origin else self.wait)
        self.out.append(Reject(name, come_back) if self._permits(held, None) else Fail(name))
        self._forget(held)

    def _forget(self, held: Held) -> None:
        held.waiting = False
        del self.held[held.request.request_id]
        for number, attempt in enumerate(held.attempts):
            if attempt.open and self.settings.cancellation_allowed:
                self.out.append(Cancel(held.request.request_id, number))

    def _on_outcome(self, event: AttemptCompleted) -> None:
        attempt = self.attempts.pop((event.request_id, event.attempt_number), None)
        if attempt is None:
            return
        attempt.open = False
        attempt.may_have_run = event.status not in NOT_EXECUTED
        attempt.server.load -= 1
        if event.status not in UNHEARD:
            attempt.server.quiet_since = math.inf
            self._note_failure(attempt.server, event.status)
        attempt.server.used_at = self.now
        self._note_load(attempt.server, event)
        lost = event.status is AttemptStatus.CONNECT_FAILED
        self.keep = self.keep / 2 if lost else self.keep + KEEP_GAIN * (KEEP - self.keep)
        self._close_idle(attempt.server)
        if attempt.server.cache:
            good = event.status in (AttemptStatus.OK, AttemptStatus.MISS)
            self.good += SMOOTHING * (good - self.good)
            if good and not self._is_cold(attempt.server) and (warm := self._warm_size()) > 0:
                self.bearing.note(self.now, warm)
            self.wait += SMOOTHING * (event.latency / (1 + attempt.server.reported) - self.wait)
        self._learn_limit(attempt, event)
        held = self.held.get(event.request_id)
        if held is not None:
            if event.request_closed or event.status is AttemptStatus.OK:
                self._forget(held)
            elif not held.waiting and (event.status is AttemptStatus.MISS or not held.open_attempts()):
                self._after_failure(held, event)
        if not attempt.server.cache:
            self._serve_queue()

    def _after_failure(self, held: Held, event: AttemptCompleted) -> None:
        """The origin is next after a miss; after anything else a retry, while the budget lasts."""
        if event.status is AttemptStatus.MISS and self.settings.cache_aside:
            held.to_origin = True
        elif event.status is AttemptStatus.ERROR and not self.settings.cache_aside:
            held.until = self.now  # guards against a failing origin: each server tried fetches the key again
        elif not held.to_origin and (event.status not in CHEAP or self.good < ROOM):
            # guards against feeding an overload: full servers made every request into a dozen attempts
            if self.retries < 1:
                held.until = self.now
            self.retries = max(0.0, self.retries - 1)
        self._advance(held)

    def _enqueue(self, held: Held) -> None:
        """Wait for a place at the origin, or any: worth first, or writes wait behind misses; then age."""
        held.waiting = True
        self._wake_in_time(held)
        self.queued += 1
        heapq.heappush(self.queue, (-held.request_class.priority_weight, self.queued, held))
        self._serve_queue()

    def _wake_in_time(self, held: Held) -> None:
        """A timer, so that a request that waits is answered in time whatever comes."""
        pause = max(0.0, self._latest_start(held, self._origin()) - self.now)
        self.out.append(SetTimer(pause, "wait:" + held.request.request_id))

    def _latest_start(self, held: Held, origin: Server | None) -> float:
        """From then on no fetch would be back in time; writes need less room, as they store nothing."""
        room = 1.0 if held.request.is_write else FETCH_ROOM
        return held.until - room * origin.latency if origin is not None else held.until

    def _serve_queue(self) -> None:
        while self.queue and (origin := self._origin()) is not None and origin.load < origin.limit:
            held = heapq.heappop(self.queue)[2]
            if not held.waiting:
                continue
            held.waiting = False
            # no fetch that can't be back in time, but for one to learn by
            in_time = self.now < (self._latest_start(held, origin) if origin.load else held.until)
            if in_time and self._permits(held, origin):
                self._send(held, origin)
            else:
                self._end(held)
        # guards clients against waiting on for what can't be served any more: they may still ask again
        origin = self._origin()
        late = [q[2] for q in self.queue if q[2].waiting and self.now >= self._latest_start(q[2], origin)]
        for held in late:
            self._end(held)
        # guards against requests long ended piling up behind those of more worth
        self.queue = [q for q in self.queue if q[2].waiting]
        heapq.heapify(self.queue)

    def _learn_limit(self, attempt: Attempt, event: AttemptCompleted) -> None:
        """Adapt what this router has out at a server: less when it is slow or full, else a little more."""
        server = attempt.server
        if event.status in FAILED or event.status is AttemptStatus.NOT_SENT:
            return
        if event.status is not AttemptStatus.REJECTED:
            latency = min(event.latency, OUTLIER * server.latency) if server.latency else event.latency
            server.latency += SMOOTHING * (latency - server.latency)
        server.slowness += SMOOTHING * (min(OUTLIER, event.latency / attempt.target) - server.slowness)
        if event.status is AttemptStatus.REJECTED or server.slowness > 1.0:
            if self.now - server.cut_at > attempt.target:
                server.limit = max(1.0, server.limit * LIMIT_CUT)
                server.cut_at = self.now
            if event.status is AttemptStatus.REJECTED:  # what is out there now is what it bears
                server.limit = max(1.0, min(server.limit, server.load))
        elif event.status in (AttemptStatus.OK, AttemptStatus.MISS) and server.load + 1 >= server.limit / 2:
            server.limit += 1 / server.limit
