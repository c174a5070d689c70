"""Commands to a process of hollow routers, and its replies."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any, ClassVar, Literal

from scale_experiments.emulators.codec import JSON_KEY
from scale_experiments.emulators.messages.common import Done, ProcessUsage

HollowMode = Literal["router", "list", "index"]


@dataclass(slots=True, frozen=True, kw_only=True)
class StartRouters:
    """Start `routers` routers, at times spread evenly over `spread_s`.

    Each router watches one address (host:port) of `discovery`; the addresses are assigned in rotation.
    `scale_experiments.routers.hollow.__main__` describes the modes.
    """

    do: ClassVar[str] = "start"
    reply_type: ClassVar[type[Done]] = Done

    routers: int
    seed: int
    mode: HollowMode = field(metadata={JSON_KEY: "held"})
    discovery: list[str]
    settings: dict[str, Any]
    cached_list: Mapping[str, Any] = field(metadata={JSON_KEY: "known"})
    spread_s: float


@dataclass(slots=True, frozen=True, kw_only=True)
class RoutersStats(ProcessUsage):
    """Counts of updates and failed polls of all routers, and their lowest index and endpoint count."""

    updates: int = field(metadata={JSON_KEY: "told"})
    failed: int
    lowest_index: int = field(metadata={JSON_KEY: "lowest"})
    fewest_endpoints: int = field(metadata={JSON_KEY: "entries"})


@dataclass(slots=True, frozen=True)
class GetRoutersStats:
    """Get the counts since the start, and the lowest index and endpoint count."""

    do: ClassVar[str] = "stats"
    reply_type: ClassVar[type[RoutersStats]] = RoutersStats


@dataclass(slots=True, frozen=True)
class UpdateTimes:
    """Monotonic times at which the routers first had an index.

    For a router that has not had it, the sender sets NaN, which JSON encodes as null; the receiver gets None.
    """

    times: Sequence[float | None]


@dataclass(slots=True, frozen=True)
class GetUpdateTimes:
    """Get the time at which each router first had an index."""

    do: ClassVar[str] = "had"
    reply_type: ClassVar[type[UpdateTimes]] = UpdateTimes

    index: int
