"""The messages of the control channel: an experiment's commands and an emulator's replies.

A command is the JSON object `{"do": NAME, ...}`, a reply an object without `do`. A field is spelled as in its
class, or as its metadata's `key` says. Times are in seconds; `at` is of the monotonic clock, which all
processes of a machine share.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any, ClassVar, Literal

from scale_experiments.emulators.codec import DECODE, KEY, decode

CacheMode = Literal["serve", "drain", "hang", "dead"]
DiscoveryMode = Literal["serve", "silent", "refuse", "busy"]
HollowMode = Literal["router", "list", "index"]


@dataclass(slots=True, frozen=True)
class Done:
    """A command was carried out; nothing else is said."""


@dataclass(slots=True, frozen=True)
class Listening:
    """Where a discovery listens, as host:port; it sends this once, before any command."""

    address: str


@dataclass(slots=True, frozen=True, kw_only=True)
class ProcessUsage:
    """What a process uses: CPU seconds (user and system), resident bytes, descriptors; and the time."""

    at: float
    cpu_s: float
    resident_bytes: int
    descriptors: int


# caches


@dataclass(slots=True, frozen=True, kw_only=True)
class CacheSettings:
    """What all caches of a process share; times in seconds."""

    value_bytes: int
    service_s: float
    handshake_s: float
    idle_s: float
    max_connections: int = field(metadata={KEY: "most_connections"})
    max_keys: int = field(metadata={KEY: "most_keys"})
    warm: bool


@dataclass(slots=True, frozen=True)
class CachesStarted:
    """Where the origin listens, as host:port."""

    origin: str


@dataclass(slots=True, frozen=True, kw_only=True)
class StartCaches(CacheSettings):
    """Start the caches at `addresses` (name to host:port), and the origin at `origin`."""

    do: ClassVar[str] = "start"
    reply_type: ClassVar[type[CachesStarted]] = CachesStarted

    addresses: dict[str, str]
    origin: str
    origin_service_s: float
    origin_max_concurrent: int = field(metadata={KEY: "origin_most_at_once"})


@dataclass(slots=True, frozen=True)
class SetCacheMode:
    """Change how some caches behave."""

    do: ClassVar[str] = "mode"
    reply_type: ClassVar[type[Done]] = Done

    names: list[str]
    mode: CacheMode


@dataclass(slots=True, frozen=True, kw_only=True)
class CacheCounters:
    """Counts of one cache since its start; `open_sum` adds up the open connections of all samples."""

    accepted: int
    handshakes: int
    requests: int
    hits: int
    misses: int = field(metadata={KEY: "missed"})
    rejected: int = field(metadata={KEY: "busy"})
    open_sum: float
    max_open: int = field(metadata={KEY: "most_open"})
    open: int


@dataclass(slots=True, frozen=True, kw_only=True)
class OriginCounters:
    """Counts of the origin since its start."""

    requests: int = 0
    rejected: int = field(default=0, metadata={KEY: "turned_away"})
    connections: int = 0
    open: int = 0
    max_open: int = field(default=0, metadata={KEY: "most_open"})


def decode_cache_counters(caches: Mapping[str, Mapping[str, Any]]) -> dict[str, CacheCounters]:
    """The counters of all caches by name."""
    return {name: decode(CacheCounters, counters) for name, counters in caches.items()}


def decode_origin_counters(counters: Mapping[str, Any]) -> OriginCounters:
    """The counters of the origin."""
    return decode(OriginCounters, counters)


@dataclass(slots=True, frozen=True, kw_only=True)
class CachesStats(ProcessUsage):
    """Counts of each cache and of the origin; `samples` is how often open connections were counted."""

    time: float
    samples: int
    caches: dict[str, CacheCounters] = field(metadata={DECODE: decode_cache_counters})
    origin: OriginCounters = field(metadata={DECODE: decode_origin_counters})


@dataclass(slots=True, frozen=True)
class GetCachesStats:
    """Ask for the counts since the start."""

    do: ClassVar[str] = "stats"
    reply_type: ClassVar[type[CachesStats]] = CachesStats


# clients


@dataclass(slots=True, frozen=True, kw_only=True)
class StartClients:
    """Start the load on each of `routers` (host:port)."""

    do: ClassVar[str] = "start"
    reply_type: ClassVar[type[Done]] = Done

    routers: list[str]
    rate_per_s: float  # at each router
    seed: int
    deadline_s: float
    read_class: str = field(metadata={KEY: "read"})
    write_class: str = field(metadata={KEY: "write"})
    keys: int
    zipf_exponent: float = field(metadata={KEY: "zipf"})
    write_share: float
    value_bytes: int


@dataclass(slots=True, frozen=True)
class PauseClients:
    """Send no new requests."""

    do: ClassVar[str] = "rest"
    reply_type: ClassVar[type[Done]] = Done


@dataclass(slots=True, frozen=True, kw_only=True)
class ClientsStats(ProcessUsage):
    """Counts by outcome since the start; `latency` is an HDR histogram in microseconds, base64."""

    time: float
    counts: dict[str, int]
    latency: str


@dataclass(slots=True, frozen=True)
class GetClientsStats:
    """Ask for the counts since the start; with `restart` the histogram begins anew after that."""

    do: ClassVar[str] = "stats"
    reply_type: ClassVar[type[ClientsStats]] = ClientsStats

    restart: bool = False


# discovery


@dataclass(slots=True, frozen=True)
class Timestamp:
    """When a command was carried out."""

    at: float


@dataclass(slots=True, frozen=True)
class ReplaceList:
    """Take a whole list, `endpoints` in discovery's form."""

    do: ClassVar[str] = "list"
    reply_type: ClassVar[type[Timestamp]] = Timestamp

    index: int
    endpoints: Sequence[Mapping[str, Any]]


@dataclass(slots=True, frozen=True)
class ChangeList:
    """Take changed entries under the next index."""

    do: ClassVar[str] = "change"
    reply_type: ClassVar[type[Timestamp]] = Timestamp

    index: int
    endpoints: Sequence[Mapping[str, Any]]


@dataclass(slots=True, frozen=True)
class SetDiscoveryMode:
    """Answer polls from now on, or fail them in one of the ways; `after_s` is the delay of `busy`."""

    reply_type: ClassVar[type[Timestamp]] = Timestamp

    do: DiscoveryMode
    after_s: float | None = None


@dataclass(slots=True, frozen=True)
class ConnectionsReset:
    """How many connections were reset, and when."""

    at: float
    reset: int


@dataclass(slots=True, frozen=True)
class ResetUnanswered:
    """Reset the connections whose polls were left without an answer."""

    do: ClassVar[str] = "reset_held"
    reply_type: ClassVar[type[ConnectionsReset]] = ConnectionsReset


@dataclass(slots=True, frozen=True, kw_only=True)
class DiscoveryStats(ProcessUsage):
    """Counts since the start; `polls_over_time` has the number of each bucket of `bucket_s` and its polls."""

    polls: int = field(metadata={KEY: "calls"})
    connections: int
    answered: int
    rejected: int = field(metadata={KEY: "refused"})
    bytes_in: int
    bytes_out: int
    notification_s: float = field(metadata={KEY: "told_s"})
    notified_polls: int = field(metadata={KEY: "told_calls"})
    index: int
    open: int
    waiting: int
    bucket_s: float
    polls_over_time: list[list[float]] = field(metadata={KEY: "over_time"})


@dataclass(slots=True, frozen=True)
class GetDiscoveryStats:
    """Ask for the counts since the start."""

    do: ClassVar[str] = "stats"
    reply_type: ClassVar[type[DiscoveryStats]] = DiscoveryStats


# hollow routers


@dataclass(slots=True, frozen=True, kw_only=True)
class StartRouters:
    """Start `routers` routers within `spread_s`, over the `discovery` addresses in turn."""

    do: ClassVar[str] = "start"
    reply_type: ClassVar[type[Done]] = Done

    routers: int
    seed: int
    mode: HollowMode = field(metadata={KEY: "held"})
    discovery: list[str]
    settings: dict[str, Any]
    cached_list: dict[str, Any] = field(metadata={KEY: "known"})
    spread_s: float


@dataclass(slots=True, frozen=True, kw_only=True)
class RoutersStats(ProcessUsage):
    """Updates and failed polls of all routers; the lowest index and fewest endpoints that any has."""

    updates: int = field(metadata={KEY: "told"})
    failed: int
    lowest_index: int = field(metadata={KEY: "lowest"})
    fewest_endpoints: int = field(metadata={KEY: "entries"})


@dataclass(slots=True, frozen=True)
class GetRoutersStats:
    """Ask for the counts since the start."""

    do: ClassVar[str] = "stats"
    reply_type: ClassVar[type[RoutersStats]] = RoutersStats


@dataclass(slots=True, frozen=True)
class UpdateTimes:
    """When each router had an index, of the monotonic clock; None or NaN where it has not had it."""

    times: list[float | None]


@dataclass(slots=True, frozen=True)
class GetUpdateTimes:
    """Ask when each router had an index."""

    do: ClassVar[str] = "had"
    reply_type: ClassVar[type[UpdateTimes]] = UpdateTimes

    index: int
