"""The requests in flight with their attempts and deadlines, and the ids that may not be used again yet."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass, field

from cache_router.net.command import Command
from cache_router.net.upstream_attempt import UpstreamAttempt

# seconds for which the id of a finished request is rejected at least: another client that repeats it would be
# served with what the first one asked for
ID_REUSE_DELAY = 2.0


@dataclass(slots=True, eq=False)
class RequestInFlight:
    """A request, kept until its client is owed no answer and no attempt of it is in flight."""

    command: Command
    deadline: float  # on the dispatcher's clock
    respond: Callable[[bytes], None]  # takes the final answer
    is_connected: Callable[[], bool]  # whether its client is, as the kernel knows it
    deadline_timer: asyncio.TimerHandle | None = None
    attempts_started: int = 0  # whatever became of them
    is_closed: bool = False  # answered, or its client has disconnected
    deadline_passed: bool = False
    attempts: dict[int, UpstreamAttempt] = field(default_factory=dict)  # in flight, by number


class RequestTable(dict[str, RequestInFlight]):
    """Requests in flight by id.

    A dict itself, because every action and every outcome looks up its request here. Times are seconds on the
    clock of the caller, who passes the present one as `now`.
    """

    def __init__(self, on_deadline: Callable[[str], None], now: float) -> None:
        """`on_deadline` is called with the id of a request whose deadline has passed."""
        super().__init__()
        self.release_candidates: list[str] = []  # ids, to be looked at by `release_finished`
        self._on_deadline = on_deadline
        self._latest_deadline = math.inf
        # two generations, so that ids are dropped in bulk
        self._recently_used_ids: set[str] = set()
        self._previously_used_ids: set[str] = set()
        self._ids_rotated_at = now

    def is_id_used(self, request_id: str) -> bool:
        """Whether a request of this id is in flight, or was until a few seconds ago."""
        return (
            request_id in self
            or request_id in self._recently_used_ids
            or request_id in self._previously_used_ids
        )

    def add(
        self,
        request_id: str,
        command: Command,
        time_left: float,
        now: float,
        *,
        respond: Callable[[bytes], None],
        is_connected: Callable[[], bool],
    ) -> float:
        """Add a request and start its deadline timer; returns the seconds left for it."""
        time_left = max(0.0, min(time_left, self._latest_deadline - now))
        timer = asyncio.get_running_loop().call_later(time_left, self._on_deadline, request_id)
        self[request_id] = RequestInFlight(command, now + time_left, respond, is_connected, timer)
        return time_left

    def respond(self, request_id: str, answer: bytes) -> None:
        """Give a request its final answer, unless it is closed."""
        request = self.get(request_id)
        if request is not None and not request.is_closed:
            self._mark_closed(request_id, request)
            request.respond(answer)

    def close(self, request_id: str) -> bool:
        """Note that no answer is owed any more; returns whether one was."""
        request = self.get(request_id)
        if request is None or request.is_closed:
            return False
        self._mark_closed(request_id, request)
        return True

    def limit_deadlines(self, seconds: float, now: float) -> None:
        """Let no request, present or future, have a deadline later than so many seconds from now."""
        self._latest_deadline = now + seconds
        loop = asyncio.get_running_loop()
        for request_id, request in self.items():
            if request.deadline > self._latest_deadline and request.deadline_timer is not None:
                request.deadline_timer.cancel()
                request.deadline = self._latest_deadline
                request.deadline_timer = loop.call_later(seconds, self._on_deadline, request_id)

    def release_finished(self, now: float) -> None:
        """Drop the candidates for which nothing is owed or in flight: a deadline may be ten minutes away."""
        for request_id in self.release_candidates:
            request = self.get(request_id)
            if request is not None and request.is_closed and not request.attempts:
                self._release(request_id, request, now)
        self.release_candidates.clear()

    def _mark_closed(self, request_id: str, request: RequestInFlight) -> None:
        request.is_closed = True
        self.release_candidates.append(request_id)

    def _release(self, request_id: str, request: RequestInFlight, now: float) -> None:
        del self[request_id]
        if now - self._ids_rotated_at > ID_REUSE_DELAY:
            self._previously_used_ids = self._recently_used_ids
            self._recently_used_ids = set()
            self._ids_rotated_at = now
        self._recently_used_ids.add(request_id)
        if request.deadline_timer is not None:
            request.deadline_timer.cancel()
