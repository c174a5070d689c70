"""The parts of a simulated fleet: page caches, routers, their connections and requests."""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from dataclasses import dataclass, field

from cache_router.decisions.events import Event, LoadReport
from cache_router.decisions.router import Router
from cache_router.endpoint import Endpoint
from scale_experiments.simulation.connection_accounting import ConnectionCount


@dataclass(slots=True, eq=False)
class CacheServer:
    """A page cache, or the origin."""

    entry: Endpoint
    zone: int
    region: int
    cores: int
    queue_places: int
    table: ConnectionCount
    up: bool = True
    refuses: bool = False  # a dead process does; a machine that vanished stays silent
    since: float = 0.0  # start of the process; connections of an older one are gone
    busy: int = 0
    queue: deque[Attempt] = field(default_factory=deque)
    contents: OrderedDict[str, None] = field(default_factory=OrderedDict)
    report: LoadReport = LoadReport(0.0, 0.0)
    reported_at: float = -math.inf
    smoothed: float = 0.0
    arrivals: list[float] | None = None  # times, where they are watched
    received: int = 0
    received_again: int = 0  # second and later attempts of their request


@dataclass(slots=True, eq=False)
class SimulatedConnection:
    """A connection of one router to one cache."""

    instance: SimulatedRouter
    cache: CacheServer
    process: float  # its start as the router's list told it
    start: float = math.inf  # and as it is; infinite until the connection counts at the cache
    kept_at: float = 0.0
    idle: bool = False
    watched: bool = False  # an event for its idle time is out
    open: bool = True
    fresh: bool = True  # nothing sent yet: the handshake's work is still to be done


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request at a router."""

    name: str
    instance: SimulatedRouter
    wish: ClientRequest
    deadline: float
    sent: int = 0
    closed: bool = False
    overdue: bool = False
    out: dict[int, Attempt] = field(default_factory=dict)
    missed: list[CacheServer] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class ClientRequest:
    """What a client wants, in one try or more."""

    key: str
    write: bool
    born: float
    tries: int = 0


@dataclass(slots=True, eq=False)
class Attempt:
    """One send."""

    taken: PendingRequest
    number: int
    cache: CacheServer
    sent_at: float
    connection: SimulatedConnection | None = None
    ended: bool = False
    handshake: bool = False


class SimulatedRouter:
    """One router: the module, its list and its connections."""

    __slots__ = (
        "alive",
        "events",
        "handling",
        "idle",
        "idle_at",
        "index",
        "listed",
        "met",
        "origin_idle",
        "origin_open",
        "region",
        "requests",
        "router",
        "table",
        "zone",
    )

    def __init__(self, index: int, zone: int, region: int, router: Router, table: ConnectionCount) -> None:
        self.index = index
        self.zone = zone
        self.region = region
        self.router = router
        self.table = table  # of its connections to caches
        self.alive = True
        self.listed: dict[str, Endpoint] = {}
        self.requests: dict[str, PendingRequest] = {}
        self.idle: dict[SimulatedConnection, None] = {}
        self.idle_at: dict[str, dict[SimulatedConnection, None]] = {}
        self.origin_idle: deque[SimulatedConnection] = deque()
        self.origin_open = 0
        self.events: deque[Event] = deque()
        self.handling = False
        self.met: set[str] = set()
