"""Commands to the discovery emulator, and its replies."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any, ClassVar, Literal

from scale_experiments.emulators.codec import JSON_KEY
from scale_experiments.emulators.messages.common import ProcessUsage

DiscoveryMode = Literal["serve", "silent", "refuse", "busy"]


@dataclass(slots=True, frozen=True)
class Listening:
    """The address of discovery as host:port, sent once before any command is read."""

    address: str


@dataclass(slots=True, frozen=True)
class Timestamp:
    """The time at which a command was executed."""

    at: float


@dataclass(slots=True, frozen=True)
class EndpointListCommand:
    """An endpoint list or changed entries, under an index; `endpoints` are in discovery's JSON format."""

    reply_type: ClassVar[type[Timestamp]] = Timestamp

    index: int
    endpoints: Sequence[Mapping[str, Any]]


class ReplaceList(EndpointListCommand):
    """Replace the endpoint list with a complete one."""

    __slots__ = ()

    do: ClassVar[str] = "list"


class ChangeList(EndpointListCommand):
    """Apply changed entries under the next index."""

    __slots__ = ()

    do: ClassVar[str] = "change"


@dataclass(slots=True, frozen=True)
class SetDiscoveryMode:
    """Change how discovery handles polls. The mode is the name of the command in JSON."""

    reply_type: ClassVar[type[Timestamp]] = Timestamp

    do: DiscoveryMode
    after_s: float | None = None  # delay of a rejection in the mode "busy"


@dataclass(slots=True, frozen=True)
class ConnectionsReset:
    """The number of connections that were reset, and the time of the reset."""

    at: float
    reset: int


@dataclass(slots=True, frozen=True)
class ResetUnanswered:
    """Reset the connections whose polls were left without a response."""

    do: ClassVar[str] = "reset_held"
    reply_type: ClassVar[type[ConnectionsReset]] = ConnectionsReset


@dataclass(slots=True, frozen=True, kw_only=True)
class DiscoveryStats(ProcessUsage):
    """Counters since the start, and the current index, open connections and waiting polls.

    `notification_s` is the time from the latest change until the last response to it was written, and
    `notified_polls` the number of these responses. `polls_over_time` has a pair for each interval of
    `bucket_s` seconds with any polls: the number of the interval on the monotonic clock, and its polls.
    """

    polls: int = field(metadata={JSON_KEY: "calls"})
    connections: int
    answered: int
    rejected: int = field(metadata={JSON_KEY: "refused"})
    bytes_in: int
    bytes_out: int
    notification_s: float = field(metadata={JSON_KEY: "told_s"})
    notified_polls: int = field(metadata={JSON_KEY: "told_calls"})
    index: int
    open: int
    waiting: int
    bucket_s: float
    polls_over_time: list[list[float]] = field(metadata={JSON_KEY: "over_time"})


@dataclass(slots=True, frozen=True)
class GetDiscoveryStats:
    """Get the counters since the start."""

    do: ClassVar[str] = "stats"
    reply_type: ClassVar[type[DiscoveryStats]] = DiscoveryStats
