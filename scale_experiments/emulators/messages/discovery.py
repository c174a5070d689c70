"""Commands of discovery's emulator, and its replies."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any, ClassVar, Literal

from scale_experiments.emulators.codec import KEY
from scale_experiments.emulators.messages.common import ProcessUsage

DiscoveryMode = Literal["serve", "silent", "refuse", "busy"]


@dataclass(slots=True, frozen=True)
class Listening:
    """Where a discovery listens, as host:port; it sends this once, before any command."""

    address: str


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
