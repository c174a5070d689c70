"""Commands to the client emulator, and its replies."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import ClassVar

from scale_experiments.emulators.codec import JSON_KEY
from scale_experiments.emulators.messages.common import Done, ProcessUsage

# outcomes of requests, as keys of ClientsStats.counts
SERVED = "served"
REJECTED = "refused"
FAILED = "failed"
UNANSWERED = "unanswered"
LOST = "lost"  # the connection was closed before the reply
NOT_CONNECTED = "not_connected"
NOT_SENT = "not_sent"
FAILED_OUTCOMES = (FAILED, UNANSWERED, LOST, NOT_CONNECTED, NOT_SENT)
# other keys of ClientsStats.counts
REQUESTS = "asked"
RETRIES = "sent_again"
OPEN_CONNECTIONS = "open"
CONNECTIONS_OPENED = "connections"


@dataclass(slots=True, frozen=True, kw_only=True)
class StartClients:
    """Start to send load to each of `routers` (host:port).

    The keys of requests follow Zipf's law: the popularity of the key of rank r is proportional to r to the
    power of `-zipf_exponent`.
    """

    do: ClassVar[str] = "start"
    reply_type: ClassVar[type[Done]] = Done

    routers: list[str]
    rate_per_s: float  # requests per second at each router
    seed: int
    deadline_s: float
    read_class: str = field(metadata={JSON_KEY: "read"})
    write_class: str = field(metadata={JSON_KEY: "write"})
    keys: int
    zipf_exponent: float = field(metadata={JSON_KEY: "zipf"})
    write_share: float
    value_bytes: int


@dataclass(slots=True, frozen=True)
class PauseClients:
    """Stop sending new requests."""

    do: ClassVar[str] = "rest"
    reply_type: ClassVar[type[Done]] = Done


@dataclass(slots=True, frozen=True, kw_only=True)
class ClientsStats(ProcessUsage):
    """Counts since the start; `latency` is an encoded HDR histogram of latencies in microseconds."""

    time: float  # wall-clock time at which the counts were read
    counts: dict[str, int]  # keys are constants of this module
    latency: str


@dataclass(slots=True, frozen=True)
class GetClientsStats:
    """Get the counts since the start; with `restart`, the histogram is empty after this reply."""

    do: ClassVar[str] = "stats"
    reply_type: ClassVar[type[ClientsStats]] = ClientsStats

    restart: bool = False
