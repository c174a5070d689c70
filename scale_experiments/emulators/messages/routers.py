"""Commands of a process of hollow routers, and its replies."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any, ClassVar, Literal

from scale_experiments.emulators.codec import KEY
from scale_experiments.emulators.messages.common import Done, ProcessUsage

HollowMode = Literal["router", "list", "index"]


@dataclass(slots=True, frozen=True, kw_only=True)
class StartRouters:
    """Start `routers` routers, spread evenly over `spread_s`.

    Each router watches one of the addresses (host:port) of `discovery`, in turn.
    """

    do: ClassVar[str] = "start"
    reply_type: ClassVar[type[Done]] = Done

    routers: int
    seed: int
    mode: HollowMode = field(metadata={KEY: "held"})
    discovery: list[str]
    settings: dict[str, Any]
    cached_list: Mapping[str, Any] = field(metadata={KEY: "known"})
    spread_s: float


@dataclass(slots=True, frozen=True, kw_only=True)
class RoutersStats(ProcessUsage):
    """Updates and failed polls of all routers, and the lowest index and fewest endpoints of any router."""

    updates: int = field(metadata={KEY: "told"})
    failed: int
    lowest_index: int = field(metadata={KEY: "lowest"})
    fewest_endpoints: int = field(metadata={KEY: "entries"})


@dataclass(slots=True, frozen=True)
class GetRoutersStats:
    """Get the counts since the start."""

    do: ClassVar[str] = "stats"
    reply_type: ClassVar[type[RoutersStats]] = RoutersStats


@dataclass(slots=True, frozen=True)
class UpdateTimes:
    """When each router had an index, of the monotonic clock.

    Where a router has not had it, the sender has NaN, which JSON has as null and the receiver as None.
    """

    times: Sequence[float | None]


@dataclass(slots=True, frozen=True)
class GetUpdateTimes:
    """Get when each router had an index."""

    do: ClassVar[str] = "had"
    reply_type: ClassVar[type[UpdateTimes]] = UpdateTimes

    index: int
