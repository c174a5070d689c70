"""Requests in flight, and the attempts of each."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from cache_router.net.command import Command
from cache_router.net.connection_pool import AttemptInFlight


@dataclass(slots=True, eq=False)
class RequestAttempt:
    """One send of a request that has had no outcome yet."""

    number: int
    started_at: float
    upstream: AttemptInFlight | None = None
    timeout_timer: asyncio.TimerHandle | None = None


@dataclass(slots=True, eq=False)
class RequestInFlight:
    """A request, kept until nothing is owed for it and nothing of it is out."""

    command: Command
    deadline: float
    respond: Callable[[bytes], None]
    is_connected: Callable[[], bool]  # whether its client is still there, as the kernel knows it
    deadline_timer: asyncio.TimerHandle | None = None
    attempts_started: int = 0  # attempts, whatever became of them
    is_closed: bool = False  # answered, or its client is gone
    deadline_passed: bool = False
    attempts: dict[int, RequestAttempt] = field(default_factory=dict)
