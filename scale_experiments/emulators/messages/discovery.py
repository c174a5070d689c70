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
    """Where discovery listens, as host:port. It sends this once, before it reads any command."""

    address: str


@dataclass(slots=True, frozen=True)
class Timestamp:
    """When a command was carried out."""

    at: float


@dataclass(slots=True, frozen=True)
class EndpointListCommand:
    """A list, or changes of it, under an index; `endpoints` are JSON objects in discovery's form."""

    reply_type: ClassVar[type[Timestamp]] = Timestamp

    index: int
    endpoints: Sequence[Mapping[str, Any]]


class ReplaceList(EndpointListCommand):
    """Take a complete list."""

    __slots__ = ()

    do: ClassVar[str] = "list"


class ChangeList(EndpointListCommand):
    """Take changed entries under the next index."""

    __slots__ = ()

    do: ClassVar[str] = "change"


@dataclass(slots=True, frozen=True)
class SetDiscoveryMode:
    """Answer polls, or fail them in one of the ways, from now on. The mode is the command's name in JSON."""

    reply_type: ClassVar[type[Timestamp]] = Timestamp

    do: DiscoveryMode
    after_s: float | None = None  # from a poll to its rejection, in the mode "busy"


@dataclass(slots=True, frozen=True)
class ConnectionsReset:
    """How many connections were reset, and when."""

    at: float
    reset: int


@dataclass(slots=True, frozen=True)
class ResetUnanswered:
    """Reset the connections whose polls were left without a response."""

    do: ClassVar[str] = "reset_held"
    reply_type: ClassVar[type[ConnectionsReset]] = ConnectionsReset


@dataclass(slots=True, frozen=True, kw_only=True)
class DiscoveryStats(ProcessUsage):
    """Counts since the start, and the current index, open connections and waiting polls.

    `notification_s` is the time from the latest change until the last response to it was written, and
    `notified_polls` the number of these responses. `polls_over_time` has a pair for each interval of
    `bucket_s` in which there were polls: the number of the interval on the monotonic clock, and its polls.
    """

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
    """Get the counts since the start."""

    do: ClassVar[str] = "stats"
    reply_type: ClassVar[type[DiscoveryStats]] = DiscoveryStats
