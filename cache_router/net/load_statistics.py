"""Counters of the load on the event loop, and of what the router did about it."""

from __future__ import annotations

import errno
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

MAX_TURN = 0.01  # seconds; a longer turn of the event loop is counted


class TurnCause(Enum):
    """What took most of the time of a turn of the event loop."""

    CLIENT_INPUT = "client input"
    RESPONSES = "responses"
    ENDPOINT_UPDATES = "endpoint updates"
    TIMERS = "timers"
    OTHER = "other"


def error_name(number: int | None) -> str:
    """Return the symbolic name of an error number, such as `ENOBUFS`."""
    return errno.errorcode.get(number or 0, f"error {number}")


@dataclass(slots=True)
class LoadStatistics:
    """Counters since the start of the process; the log and tests read them.

    Attributes:
        long_turns: Turns of the event loop that took longer than MAX_TURN, by cause.
        longest_turn: Length of the longest turn in seconds.
        deferred_inputs: Times that the input of a connection had to wait for a later turn.
        paused_reads: Times that a connection was not read until its input was processed.
        rejected_requests: Requests that were rejected for lack of processor time or memory.
        max_pipelined_reply_bytes: Most memory that was reserved at once for replies behind pending ones.
        failed_accepts: Accepts that failed, by the name of the error.
        failed_connects: Connects that failed for a fault of this machine, by the name of the error.
    """

    long_turns: Counter[TurnCause] = field(default_factory=Counter)
    longest_turn: float = 0.0
    deferred_inputs: int = 0
    paused_reads: int = 0
    rejected_requests: int = 0
    max_pipelined_reply_bytes: int = 0
    failed_accepts: Counter[str] = field(default_factory=Counter)
    failed_connects: Counter[str] = field(default_factory=Counter)
    _times: dict[TurnCause, float] = field(default_factory=dict)  # seconds of the present turn, by cause

    @property
    def overload_events(self) -> int:
        """Number of long turns, rejections and failed calls; an idle router has none."""
        failed_calls = self.failed_accepts.total() + self.failed_connects.total()
        return self.long_turns.total() + self.rejected_requests + failed_calls

    def __str__(self) -> str:
        causes = {cause.value: count for cause, count in self.long_turns.items()}
        parts = [
            f"{self.long_turns.total()} turns over {MAX_TURN} s{_format_counts(causes)}",
            f"longest {self.longest_turn:.3f} s",
            f"{self.deferred_inputs} inputs deferred",
            f"{self.paused_reads} reads paused",
            f"{self.rejected_requests} requests rejected",
            f"{self.max_pipelined_reply_bytes} bytes reserved for pipelined replies at most",
            f"{self.failed_accepts.total()} accepts failed{_format_counts(self.failed_accepts)}",
            f"{self.failed_connects.total()} connects failed{_format_counts(self.failed_connects)}",
        ]
        return ", ".join(parts)

    def add_time(self, cause: TurnCause, seconds: float) -> None:
        """Add time of the present turn."""
        self._times[cause] = self._times.get(cause, 0.0) + seconds

    def on_turn_ended(self, seconds: float) -> None:
        """Count a turn if it was long, by the cause that took more than half of it."""
        if seconds > MAX_TURN:
            causes = (cause for cause, time in self._times.items() if time > seconds / 2)
            self.long_turns[next(causes, TurnCause.OTHER)] += 1
        self.longest_turn = max(self.longest_turn, seconds)
        self._times.clear()

    def count_deferred_input(self) -> None:
        """Count input that has to wait for a later turn."""
        self.deferred_inputs += 1

    def count_paused_read(self) -> None:
        """Count a connection that is not read until its input is processed."""
        self.paused_reads += 1

    def count_rejected_request(self) -> None:
        """Count a request that is rejected for lack of processor time or memory."""
        self.rejected_requests += 1

    def on_pipelined_reply_bytes(self, size: int) -> None:
        """Record the memory that is reserved now for replies behind pending ones."""
        self.max_pipelined_reply_bytes = max(self.max_pipelined_reply_bytes, size)

    def count_failed_accept(self, error: OSError) -> None:
        """Count an accept that has failed."""
        self.failed_accepts[error_name(error.errno)] += 1

    def count_failed_connect(self, error: OSError) -> None:
        """Count a connect that has failed for a fault of this machine."""
        self.failed_connects[error_name(error.errno)] += 1


def _format_counts(counts: Mapping[str, int]) -> str:
    """Return counts by name in brackets, or nothing if there are none."""
    listed = ", ".join(f"{count} {name}" for name, count in sorted(counts.items()))
    return f" ({listed})" if listed else ""
