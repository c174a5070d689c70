"""The requests in flight with their attempts and deadlines, and the ids that may not be used again yet."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from cache_router.net.clock import Clock
from cache_router.net.command import Command
from cache_router.net.upstream_attempt import UpstreamAttempt
from cache_router.net.used_ids import MIN_REUSE_DELAY, UsedIds

MAX_VALUE_BYTES = 32 * 1024 * 1024  # bytes of the values of all requests in flight


@dataclass(slots=True, eq=False)
class RequestInFlight:
    """A request until it is closed and has no attempt in flight; only its methods change it."""

    request_id: str
    command: Command
    respond: Callable[[bytes], None]  # called with the final answer
    is_connected: Callable[[], bool]  # returns whether the client is connected according to the kernel
    deadline: float  # time on the table's clock, in seconds
    _deadline_timer: asyncio.TimerHandle
    attempts_started: int = 0  # number of attempts, including those that have ended
    is_closed: bool = False  # whether it is answered or its client has disconnected
    deadline_passed: bool = False
    attempts: dict[int, UpstreamAttempt] = field(default_factory=dict)  # attempts in flight, by number

    def add_attempt(self, attempt: UpstreamAttempt) -> None:
        """Add the next attempt, whose number is `attempts_started`."""
        self.attempts_started += 1
        self.attempts[attempt.number] = attempt

    def remove_attempt(self, number: int) -> UpstreamAttempt | None:
        """Remove an attempt that has ended, and return it; None if it was removed before."""
        return self.attempts.pop(number, None)

    def mark_closed(self) -> None:
        """Mark the request as closed: it has been answered, or its client has disconnected."""
        self.is_closed = True

    def mark_deadline_passed(self) -> None:
        """Mark the deadline as passed: no further attempt may be sent."""
        self.deadline_passed = True

    def set_deadline(self, deadline: float, timer: asyncio.TimerHandle) -> None:
        """Replace the deadline and its timer, which fires at that time."""
        self.stop_deadline_timer()
        self.deadline = deadline
        self._deadline_timer = timer

    def stop_deadline_timer(self) -> None:
        """Stop the timer, which would otherwise fire for a request that is no longer in flight."""
        self._deadline_timer.cancel()


class RequestTable:
    """Requests in flight by id. Times are in seconds, on the table's clock."""

    def __init__(
        self,
        on_deadline: Callable[[RequestInFlight], None],
        clock: Clock,
        id_reuse_delay: float = MIN_REUSE_DELAY,
    ) -> None:
        """Create an empty table.

        Args:
            on_deadline: Called with each request whose deadline has passed.
            clock: The clock of all times.
            id_reuse_delay: Seconds for which the id of a finished request is rejected.
        """
        self._on_deadline = on_deadline
        self._clock = clock
        self._requests: dict[str, RequestInFlight] = {}
        self._value_bytes = 0  # size of the values of all requests in flight
        # ids of requests that were closed or had an attempt end since the last `release_finished`
        self._release_candidates: list[str] = []
        self._latest_deadline = math.inf
        self._used_ids = UsedIds(id_reuse_delay, clock.now())

    def __len__(self) -> int:
        """Return the number of requests in flight."""
        return len(self._requests)

    def __iter__(self) -> Iterator[str]:
        """Iterate over the ids of the requests in flight."""
        return iter(self._requests)

    def __contains__(self, request_id: str) -> bool:
        """Return whether a request of this id is in flight."""
        return request_id in self._requests

    def get(self, request_id: str) -> RequestInFlight | None:
        """Return the request of this id, if it is in flight."""
        return self._requests.get(request_id)

    def is_id_used(self, request_id: str) -> bool:
        """Return whether a request of this id is in flight, or was until a few seconds ago."""
        return request_id in self._requests or request_id in self._used_ids

    def has_memory_for(self, command: Command) -> bool:
        """Return whether the values of all requests in flight stay within MAX_VALUE_BYTES with one more."""
        return not command.value_size or self._value_bytes + command.value_size <= MAX_VALUE_BYTES

    def add(
        self,
        request_id: str,
        command: Command,
        time_left: float,
        *,
        respond: Callable[[bytes], None],
        is_connected: Callable[[], bool],
    ) -> float:
        """Add a request, and return the seconds left for it: `time_left`, or fewer in a shutdown."""
        now = self._clock.now()
        time_left = max(0.0, min(time_left, self._latest_deadline - now))
        timer = self._start_deadline_timer(request_id, time_left)
        request = RequestInFlight(request_id, command, respond, is_connected, now + time_left, timer)
        self._requests[request_id] = request
        self._value_bytes += command.value_size
        return time_left

    def respond(self, request_id: str, answer: bytes) -> None:
        """Close a request and send its final answer, unless it is already closed."""
        request = self._requests.get(request_id)
        if request is not None and not request.is_closed:
            self._close(request)
            request.respond(answer)

    def close(self, request_id: str) -> bool:
        """Close a request without an answer; return whether it was in flight and not closed."""
        request = self._requests.get(request_id)
        if request is None or request.is_closed:
            return False
        self._close(request)
        return True

    def remove_attempt(self, request: RequestInFlight, number: int) -> UpstreamAttempt | None:
        """Remove an attempt that has ended, and return it; None if it was removed before."""
        attempt = request.remove_attempt(number)
        if attempt is not None:
            self._release_candidates.append(request.request_id)
        return attempt

    def limit_deadlines(self, seconds: float) -> None:
        """Limit the deadlines of present and future requests to `seconds` from now."""
        self._latest_deadline = self._clock.now() + seconds
        for request_id, request in self._requests.items():
            if request.deadline > self._latest_deadline:
                request.set_deadline(self._latest_deadline, self._start_deadline_timer(request_id, seconds))

    def release_finished(self) -> None:
        """Remove the requests that are closed and have no attempt in flight.

        Without this they would stay in memory until their deadlines, for up to ten minutes.
        """
        if not self._release_candidates:
            return
        now = self._clock.now()
        for request_id in self._release_candidates:
            request = self._requests.get(request_id)
            if request is not None and request.is_closed and not request.attempts:
                self._release(request, now)
        self._release_candidates.clear()

    def _start_deadline_timer(self, request_id: str, seconds: float) -> asyncio.TimerHandle:
        # The timer holds the id, not the request, which holds the timer: a reference cycle would be left to
        # the garbage collector.
        return asyncio.get_running_loop().call_later(seconds, self._handle_deadline, request_id)

    def _handle_deadline(self, request_id: str) -> None:
        request = self._requests[request_id]
        request.mark_deadline_passed()
        self._on_deadline(request)

    def _close(self, request: RequestInFlight) -> None:
        request.mark_closed()
        self._release_candidates.append(request.request_id)

    def _release(self, request: RequestInFlight, now: float) -> None:
        del self._requests[request.request_id]
        self._value_bytes -= request.command.value_size
        self._used_ids.add(request.request_id, now)
        request.stop_deadline_timer()
