"""Observations of clients, cache servers, the origin and discovery, with times of one common clock."""

from __future__ import annotations

import asyncio
import math
from dataclasses import dataclass, field

LAG_INTERVAL = 0.005  # seconds between two samples of the event loop's lag
LAG_WINDOW = 1.0  # seconds of samples whose maximum counts as the current lag


@dataclass(slots=True)
class Attempt:
    """An attempt that an upstream received."""

    time: float  # time at which its first bytes were read
    lag: float  # seconds by which the observer may have recorded the time late
    request_id: str
    server: str
    time_left: float = math.inf  # seconds for which the router waits, as the request says
    is_origin: bool = False
    proves_no_execution: bool = False  # whether the response rules out an execution
    ended_at: float | None = None  # time of the response, or of the close of the connection


@dataclass(slots=True)
class SentRequest:
    """A request of a client."""

    request_id: str
    request_class: str
    key: str
    is_write: bool
    sent_at: float  # time of the last send; infinite until then
    deadline: float  # seconds after `sent_at`
    client: str = ""  # value of a `ClientKind`
    answered_at: float | None = None
    reply: object = None
    client_closed_at: float | None = None  # time at which the client closed its connection
    router_closed_at: float | None = None  # time at which the router closed it without a reply
    sends: int = 1


@dataclass(slots=True)
class Poll:
    """A poll that discovery received."""

    started_at: float
    lag: float  # seconds by which the observer may have recorded the time late
    address: str
    ended_at: float | None = None  # time of the response, or of the close of the connection
    failed: bool = False


@dataclass(slots=True)
class Lifetime:
    """The lifetime of one process of the router."""

    started_at: float
    ready_at: float | None = None
    terminated_at: float | None = None  # time of the first SIGTERM
    ended_at: float | None = None
    exit_status: int | None = None
    was_killed: bool = False  # whether SIGKILL ended a shutdown that took too long


@dataclass(slots=True)
class Observations:
    """All observations of one run."""

    requests: dict[str, SentRequest] = field(default_factory=dict)
    attempts: list[Attempt] = field(default_factory=list)
    polls: list[Poll] = field(default_factory=list)
    lifetimes: list[Lifetime] = field(default_factory=list)
    drain_started_at: dict[str, float] = field(default_factory=dict)  # time of the drain, by server
    sighup_times: list[float] = field(default_factory=list)
    log: list[str] = field(default_factory=list)
    events: list[str] = field(default_factory=list)  # executed steps of the plan, with their times
    violations: list[str] = field(default_factory=list)  # violations found during the run
    lag: float = 0.0  # largest lag within the last second
    max_lag: float = 0.0  # largest lag of the run

    def record_event(self, time: float, text: str) -> None:
        """Record a step of the plan."""
        self.events.append(f"{time:8.3f} {text}")

    async def measure_lag(self) -> None:
        """Update the event loop's lag until cancelled."""
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
