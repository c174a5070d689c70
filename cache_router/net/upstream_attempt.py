"""An attempt to send a request to one upstream: its state, its timeout and its response."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from cache_router.decisions.events import AttemptStatus
from cache_router.net.command import Command


@dataclass(slots=True, frozen=True)
class UpstreamResponse:
    """Outcome of an attempt; the value and the load report are empty if the server sent none."""

    status: AttemptStatus
    value: bytes = b""
    load_report: bytes = b""


# Called with the response when an attempt completes; called at most once per attempt.
CompletionCallback = Callable[[UpstreamResponse], None]
# Called just before a request is written. Returns None if it may be written, and otherwise the status with
# which the attempt completes instead.
Precondition = Callable[[], AttemptStatus | None]


class AbortableConnection(Protocol):
    """The interface through which an attempt closes the connection that carries it."""

    def abort(self) -> None:
        """Close immediately and discard buffered data that has not been sent."""


def no_precondition() -> AttemptStatus | None:
    """Allow the request to be written as soon as its connection is established."""
    return None


class UpstreamAttempt:
    """An attempt to send a request to one upstream; open until it is finished or abandoned.

    An open attempt either waits for a connection to be established or is carried by one.

    Attributes:
        command: The command to send.
        precondition: Called before the request is written on a new connection.
        is_idempotent: Whether the request may be executed more than once.
        number: Index of the attempt among the attempts of its request, from 0.
        started_at: Creation time in seconds, on the clock of the caller.
        is_open: Whether the attempt is neither finished nor abandoned.
    """

    __slots__ = (
        "_connect_task",
        "_connection",
        "_deadline",
        "_on_completed",
        "_timeout_timer",
        "command",
        "is_idempotent",
        "is_open",
        "number",
        "precondition",
        "started_at",
    )

    def __init__(
        self,
        command: Command,
        time_left: float,
        on_completed: CompletionCallback,
        *,
        precondition: Precondition = no_precondition,
        is_idempotent: bool = False,
        number: int = 0,
        started_at: float = 0.0,
    ) -> None:
        """Create an attempt; its deadline is `time_left` seconds from now.

        Args:
            command: The command to send.
            time_left: Seconds until the deadline of the attempt.
            on_completed: Called with the response when the attempt finishes; not called if it is abandoned.
            precondition: Called once a new connection is established, before the first byte is written.
                While the connection was being opened, the client or the server may have changed state.
            is_idempotent: Whether the request may be executed more than once.
            number: Index of the attempt among the attempts of its request, from 0.
            started_at: Creation time in seconds, on the clock of the caller.
        """
        self.command = command
        self.precondition = precondition
        self.is_idempotent = is_idempotent
        self.number = number
        self.started_at = started_at
        self.is_open = True
        # Deadline in seconds, on the clock of the event loop.
        self._deadline = asyncio.get_running_loop().time() + time_left
        self._on_completed = on_completed
        self._connect_task: asyncio.Task[None] | None = None
        self._connection: AbortableConnection | None = None
        self._timeout_timer: asyncio.TimerHandle | None = None

    def time_left(self) -> float:
        """Return the seconds until the deadline, at least 0; connecting may have used up part of them."""
        return max(0.0, self._deadline - asyncio.get_running_loop().time())

    def start_timeout(self, seconds: float, on_timeout: Callable[[], None]) -> None:
        """Call `on_timeout` after `seconds`, unless the attempt is finished or abandoned before."""
        self._timeout_timer = asyncio.get_running_loop().call_later(seconds, on_timeout)

    def mark_connecting(self, task: asyncio.Task[None]) -> None:
        """Record that `task` is opening a connection for the attempt."""
        self._connect_task = task

    def mark_connected(self) -> None:
        """Record that the connection is established, so that abandoning the attempt cancels no task."""
        self._connect_task = None

    def mark_sent(self, connection: AbortableConnection) -> None:
        """Record that `connection` carries the attempt."""
        self._connection = connection

    def finish(self, response: UpstreamResponse) -> None:
        """Complete the attempt with a response, unless it is already finished or abandoned."""
        if self.is_open:
            self._close()
            self._on_completed(response)

    def abandon(self) -> None:
        """Stop waiting for the response, without calling `on_completed`.

        The connection is closed. The server can then stop working on the request, and a late response can't
        be mistaken for the response to a later request.
        """
        if not self.is_open:
            return
        self._close()
        if self._connect_task is not None:
            self._connect_task.cancel()
        if self._connection is not None:
            self._connection.abort()

    def _close(self) -> None:
        self.is_open = False
        if self._timeout_timer is not None:
            self._timeout_timer.cancel()
