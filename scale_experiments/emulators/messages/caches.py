"""Commands to the cache emulator, and its replies."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, ClassVar, Literal

from scale_experiments.emulators.codec import DECODER, JSON_KEY, decode
from scale_experiments.emulators.messages.common import Done, ProcessUsage

CacheMode = Literal["serve", "drain", "hang", "dead"]


@dataclass(slots=True, frozen=True, kw_only=True)
class CacheSettings:
    """Settings that all caches of a process share."""

    value_bytes: int  # size of the value of every key
    service_s: float  # time to serve a request
    handshake_s: float  # additional time for the first request on a connection
    idle_s: float  # time without requests after which a connection is closed
    max_connections: int = field(metadata={JSON_KEY: "most_connections"})  # limit of each cache
    max_keys: int = field(metadata={JSON_KEY: "most_keys"})  # limit of a cache that starts empty
    warm: bool  # whether caches have every key at the start


@dataclass(slots=True, frozen=True)
class CachesStarted:
    """The reply to `StartCaches`, with the address of the origin as host:port."""

    origin: str


@dataclass(slots=True, frozen=True, kw_only=True)
class StartCaches(CacheSettings):
    """Start a cache at each of `addresses` (host:port by name), and the origin at `origin` (host:port)."""

    do: ClassVar[str] = "start"
    reply_type: ClassVar[type[CachesStarted]] = CachesStarted

    addresses: dict[str, str]
    origin: str
    origin_service_s: float
    origin_max_concurrent: int = field(metadata={JSON_KEY: "origin_most_at_once"})


@dataclass(slots=True, frozen=True)
class SetCacheMode:
    """Change the mode of some caches; `scale_experiments.emulators.cache.__main__` describes the modes."""

    do: ClassVar[str] = "mode"
    reply_type: ClassVar[type[Done]] = Done

    names: list[str]
    mode: CacheMode


@dataclass(slots=True, frozen=True, kw_only=True)
class CacheCounters:
    """Counters of one cache since its start; `open_sum` is the sum of open connections over all samples."""

    accepted: int
    handshakes: int
    requests: int
    hits: int
    misses: int = field(metadata={JSON_KEY: "missed"})
    rejected: int = field(metadata={JSON_KEY: "busy"})
    open_sum: float
    max_open: int = field(metadata={JSON_KEY: "most_open"})
    open: int


@dataclass(slots=True, frozen=True, kw_only=True)
class OriginCounters:
    """Counters of the origin since its start."""

    requests: int = 0
    rejected: int = field(default=0, metadata={JSON_KEY: "turned_away"})
    connections: int = 0
    open: int = 0
    max_open: int = field(default=0, metadata={JSON_KEY: "most_open"})


def decode_cache_counters(caches: Mapping[str, Mapping[str, Any]]) -> dict[str, CacheCounters]:
    """Decode the counters of all caches, by name."""
    return {name: decode(CacheCounters, counters) for name, counters in caches.items()}


def decode_origin_counters(counters: Mapping[str, Any]) -> OriginCounters:
    """Decode the counters of the origin."""
    return decode(OriginCounters, counters)


@dataclass(slots=True, frozen=True, kw_only=True)
class CachesStats(ProcessUsage):
    """Counters of each cache and of the origin; `samples` is the number of samples of open connections."""

    time: float  # wall-clock time at which the counters were read
    samples: int
    caches: dict[str, CacheCounters] = field(metadata={DECODER: decode_cache_counters})
    origin: OriginCounters = field(metadata={DECODER: decode_origin_counters})


@dataclass(slots=True, frozen=True)
class GetCachesStats:
    """Get the counters since the start."""

    do: ClassVar[str] = "stats"
    reply_type: ClassVar[type[CachesStats]] = CachesStats
