"""Commands of the clients' emulator, and its replies."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import ClassVar

from scale_experiments.emulators.codec import KEY
from scale_experiments.emulators.messages.common import Done, ProcessUsage

# outcomes of requests, by which ClientsStats counts
SERVED = "served"
REJECTED = "refused"
FAILED = "failed"
UNANSWERED = "unanswered"
LOST = "lost"  # with their connection
NOT_CONNECTED = "not_connected"
NOT_SENT = "not_sent"
FAILED_OUTCOMES = (FAILED, UNANSWERED, LOST, NOT_CONNECTED, NOT_SENT)
# what else it counts
REQUESTS = "asked"
RETRIES = "sent_again"
OPEN_CONNECTIONS = "open"
CONNECTIONS_OPENED = "connections"


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
    """Counts by name since the start, as above; `latency` is an HDR histogram in microseconds, base64."""

    time: float
    counts: dict[str, int]
    latency: str


@dataclass(slots=True, frozen=True)
class GetClientsStats:
    """Ask for the counts since the start; with `restart` the histogram begins anew after that."""

    do: ClassVar[str] = "stats"
    reply_type: ClassVar[type[ClientsStats]] = ClientsStats

    restart: bool = False
