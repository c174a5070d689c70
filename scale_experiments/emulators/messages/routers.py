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
    """Start `routers` routers within `spread_s`, over the `discovery` addresses in turn."""

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
    """When each router had an index, of the monotonic clock.

    Where a router has not had it, the sender has NaN, which JSON has as null and the receiver as None.
    """

    times: Sequence[float | None]


@dataclass(slots=True, frozen=True)
class GetUpdateTimes:
    """Ask when each router had an index."""

    do: ClassVar[str] = "had"
    reply_type: ClassVar[type[UpdateTimes]] = UpdateTimes

    index: int
