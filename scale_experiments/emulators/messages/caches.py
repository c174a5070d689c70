"""Commands of the caches' emulator, and its replies."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, ClassVar, Literal

from scale_experiments.emulators.codec import DECODE, KEY, decode
from scale_experiments.emulators.messages.common import Done, ProcessUsage

CacheMode = Literal["serve", "drain", "hang", "dead"]


@dataclass(slots=True, frozen=True, kw_only=True)
class CacheSettings:
    """The settings that all caches of a process share."""

    value_bytes: int
    service_s: float  # of each request
    handshake_s: float  # more, for the first request on a connection
    idle_s: float  # after which a connection without requests is closed
    max_connections: int = field(metadata={KEY: "most_connections"})  # of each cache
    max_keys: int = field(metadata={KEY: "most_keys"})  # of each cache that does not start warm
    warm: bool  # caches have every key at the start


@dataclass(slots=True, frozen=True)
class CachesStarted:
    """Where the origin listens, as host:port."""

    origin: str


@dataclass(slots=True, frozen=True, kw_only=True)
class StartCaches(CacheSettings):
    """Start the caches at `addresses` (host:port by name), and the origin at `origin` (host:port)."""

    do: ClassVar[str] = "start"
    reply_type: ClassVar[type[CachesStarted]] = CachesStarted

    addresses: dict[str, str]
    origin: str
    origin_service_s: float
    origin_max_concurrent: int = field(metadata={KEY: "origin_most_at_once"})


@dataclass(slots=True, frozen=True)
class SetCacheMode:
    """Change the mode of some caches, which the command's module explains."""

    do: ClassVar[str] = "mode"
    reply_type: ClassVar[type[Done]] = Done

    names: list[str]
    mode: CacheMode


@dataclass(slots=True, frozen=True, kw_only=True)
class CacheCounters:
    """Counts of one cache since its start; `open_sum` is the sum of open connections over all samples."""

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
    """Counts of each cache and of the origin; `samples` is how many times open connections were sampled."""

    time: float  # of the wall clock
    samples: int
    caches: dict[str, CacheCounters] = field(metadata={DECODE: decode_cache_counters})
    origin: OriginCounters = field(metadata={DECODE: decode_origin_counters})


@dataclass(slots=True, frozen=True)
class GetCachesStats:
    """Get the counts since the start."""

    do: ClassVar[str] = "stats"
    reply_type: ClassVar[type[CachesStats]] = CachesStats
