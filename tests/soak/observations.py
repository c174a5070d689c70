"""What clients, cache servers, the origin and discovery saw, each with its time on one clock."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

LAG_INTERVAL = 0.005  # seconds between two looks at the clock
LAG_WINDOW = 1.0  # seconds for which a lag counts


@dataclass(slots=True)
class Attempt:
    """One command that a server received."""

    time: float  # of its first byte
    lag: float  # seconds by which the observer may have been late
    request_id: str
    server: str
    is_origin: bool = False
    proves_no_execution: bool = False  # by how it was answered
    ended_at: float | None = None  # answered, or its connection closed


@dataclass(slots=True)
class SentRequest:
    """One request of a client."""

    request_id: str
    request_class: str
    key: str
    is_write: bool
    sent_at: float  # of its last byte; infinite before that
    deadline: float  # seconds after that
    client: str = ""
    answered_at: float | None = None
    reply: object = None
    client_closed_at: float | None = None  # the client closed its connection
    router_closed_at: float | None = None  # the router closed the connection without an answer
    sends: int = 1


@dataclass(slots=True)
class Poll:
    """One call to discovery."""

    started_at: float
    lag: float  # seconds by which the observer may have been late
    address: str
    ended_at: float | None = None  # answered, or its connection closed
    failed: bool = False


@dataclass(slots=True)
class Lifetime:
    """One process of the router."""

    started_at: float
    ready_at: float | None = None
    terminated_at: float | None = None  # SIGTERM
    ended_at: float | None = None
    exit_status: int | None = None
    was_killed: bool = False


@dataclass(slots=True)
class Observations:
    """All of one run."""

    requests: dict[str, SentRequest] = field(default_factory=dict)
    attempts: list[Attempt] = field(default_factory=list)
    polls: list[Poll] = field(default_factory=list)
    lifetimes: list[Lifetime] = field(default_factory=list)
    drain_started_at: dict[str, float] = field(default_factory=dict)  # since when, by server
    sighup_times: list[float] = field(default_factory=list)  # times of SIGHUP
    log: list[str] = field(default_factory=list)
    events: list[str] = field(default_factory=list)  # what was done, in order
    violations: list[str] = field(default_factory=list)  # found while the run lasts
    lag: float = 0.0  # of the last second
    max_lag: float = 0.0

    def record_event(self, time: float, text: str) -> None:
        """Record what was done."""
        self.events.append(f"{time:8.3f} {text}")

    async def measure_lag(self) -> None:
        """Keep the largest lag of the event loop of the last second; runs until cancelled."""
        loop = asyncio.get_running_loop()
        recent: list[tuple[float, float]] = []
        while True:
            before = loop.time()
            await asyncio.sleep(LAG_INTERVAL)
            now = loop.time()
            recent.append((now, now - before - LAG_INTERVAL))
            recent = [entry for entry in recent if now - entry[0] < LAG_WINDOW]
            self.lag = max(lag for _, lag in recent)
            self.max_lag = max(self.max_lag, self.lag)
