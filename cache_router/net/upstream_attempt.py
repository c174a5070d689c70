"""One attempt of a request on a server: its state, and the response with which it ends."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from cache_router.decisions.events import AttemptStatus
from cache_router.net.command import Command


@dataclass(slots=True, frozen=True)
class UpstreamResponse:
    """How an attempt ended, with the value and the load report where the server sent them."""

    status: AttemptStatus
    value: bytes = b""
    load_report: bytes = b""


# called with the response at the end of an attempt, once at most
CompletionCallback = Callable[[UpstreamResponse], None]
# called just before a request is written: the status with which the attempt ends instead, or None
Precondition = Callable[[], AttemptStatus | None]


class AbortableConnection(Protocol):
    """What an attempt needs of the connection that carries it."""

    def abort(self) -> None:
        """Close at once, without sending what is still buffered."""


def no_precondition() -> AttemptStatus | None:
    """Return None: a request may be written as soon as its connection is established."""
    return None


class UpstreamAttempt:
    """An attempt of a request on a server, from its creation until it is finished or abandoned.

    It waits for a connection to be established, or a connection carries it.

    Attributes:
        command: What is requested.
        precondition: Called before the request is written on a new connection.
        number: Number of the attempt among those of its request, from 0.
        started_at: Time of its creation on the clock of its creator, in seconds.
        is_open: Whether it is neither finished nor abandoned.
    """

    __slots__ = (
        "_connect_task",
        "_connection",
        "_deadline",
        "_on_completed",
        "_timeout_timer",
        "command",
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
        number: int = 0,
        started_at: float = 0.0,
    ) -> None:
        """Create an attempt for which the router waits `time_left` seconds.

        Args:
            command: What is requested.
            time_left: Seconds for which the router waits for the response.
            on_completed: Called with the end of the attempt, unless it is abandoned.
            precondition: Called once a new connection is established, before the first byte is written:
                opening a connection may take long, and much may have changed in that time.
            number: Number of the attempt among those of its request.
            started_at: Time of its creation on the caller's clock, in seconds.
        """
        self.command = command
        self.precondition = precondition
        self.number = number
        self.started_at = started_at
        self.is_open = True
        # on the event loop's clock
        self._deadline = asyncio.get_running_loop().time() + time_left
        self._on_completed = on_completed
        self._connect_task: asyncio.Task[None] | None = None
        self._connection: AbortableConnection | None = None
        self._timeout_timer: asyncio.TimerHandle | None = None

    def time_left(self) -> float:
        """Return for how many seconds the router still waits: connecting may have taken much of the time."""
        return max(0.0, self._deadline - asyncio.get_running_loop().time())

    def start_timeout(self, seconds: float, on_timeout: Callable[[], None]) -> None:
        """Call `on_timeout` after this time, unless the attempt ends before."""
        self._timeout_timer = asyncio.get_running_loop().call_later(seconds, on_timeout)

    def mark_connecting(self, task: asyncio.Task[None]) -> None:
        """Note that `task` opens a connection for the attempt."""
        self._connect_task = task

    def mark_connected(self) -> None:
        """Note that the connection is established: no task opens one any more."""
        self._connect_task = None

    def mark_sent(self, connection: AbortableConnection) -> None:
        """Note that `connection` carries the attempt."""
        self._connection = connection

    def finish(self, response: UpstreamResponse) -> None:
        """Report how the attempt ended, unless it has ended or was abandoned."""
        if self.is_open:
            self._close()
            self._on_completed(response)

    def abandon(self) -> None:
        """Stop waiting, and report nothing.

        The connection is closed, so that the server stops working, and a late response can't be taken for
        that of a later request.
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
