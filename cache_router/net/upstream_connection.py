"""A connection that carries one attempt at a time, and what became of each attempt."""

from __future__ import annotations

import asyncio
import logging
from abc import abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cache_router.decisions.events import AttemptStatus
from cache_router.net.command import Command

if TYPE_CHECKING:
    from cache_router.net.connection_pool import ConnectionPool

RESPONSE_COMPLETION_TIMEOUT = 0.1  # seconds for the rest of an answer once it has begun: it is sent in one go
log = logging.getLogger(__name__)


@dataclass(slots=True, frozen=True)
class UpstreamResponse:
    """How an attempt ended, with the value and the load report where the server sent them."""

    status: AttemptStatus
    value: bytes = b""
    load_report: bytes = b""


Done = Callable[[UpstreamResponse], None]
Precondition = Callable[[], AttemptStatus | None]  # how an attempt ends that must not be written any more


class MalformedResponseError(Exception):
    """Bytes that are no answer; what they answer may have run."""


def no_precondition() -> AttemptStatus | None:
    """What may be written whenever its connection is up."""
    return None


class AttemptInFlight:
    """One attempt: it ends once, by `done` or by being abandoned."""

    def __init__(self, command: Command, time_left: float, done: Done) -> None:
        self.command = command
        self.deadline = asyncio.get_running_loop().time() + time_left
        self.done = done
        self.open = True
        self.connecting: asyncio.Task[None] | None = None
        self.connection: UpstreamConnection | None = None

    def time_left(self) -> float:
        """For how long the router still waits, in seconds: a dial may have taken much of it."""
        return max(0.0, self.deadline - asyncio.get_running_loop().time())

    def finish(self, response: UpstreamResponse) -> None:
        """Report how the attempt ended, unless it has ended or was abandoned."""
        if self.open:
            self.open = False
            self.done(response)

    def abandon(self) -> None:
        """Stop waiting. Closing tells the server to stop work, and an answer can't meet a later request."""
        if not self.open:
            return
        self.open = False
        if self.connecting is not None:
            self.connecting.cancel()
        if self.connection is not None:
            self.connection.abort()


class UpstreamConnection(asyncio.Protocol):
    """A connection to one address."""

    def __init__(self, pool: ConnectionPool, address: str) -> None:
        self.pool = pool
        self.address = address
        self.attempt: AttemptInFlight | None = None
        self.request_written = False  # whether the request's last byte is
        self.incarnation: object = None  # that it was made to: another may come to its address
        self.idle_since = 0.0  # since when it is idle
        self.timeout: asyncio.TimerHandle | None = None  # of its idle time, or of an answer begun

    @abstractmethod
    def encode(self, command: Command, time_left: float) -> bytes:
        """A request's bytes."""

    @abstractmethod
    def decode(self, data: bytes) -> UpstreamResponse | None:
        """Take bytes of the answer; None until it is whole."""

    @abstractmethod
    def is_reusable(self) -> bool:
        """Whether nothing is left over after an answer."""

    def response_started(self) -> bool:
        """Whether what has come is a part of the answer, and not something ahead of it."""
        return True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        # so that `resume_writing` comes just when the last byte has gone to the kernel
        transport.set_write_buffer_limits(high=0)
        self.pool.connections.add(self)

    def begin(self, attempt: AttemptInFlight) -> None:
        attempt.connection = self
        self.attempt = attempt
        self.request_written = False
        try:
            data = self.encode(attempt.command, attempt.time_left())
        except Exception:
            # guards the router: what can't be sent costs its connection, and the attempt ends at once
            log.exception("request to %s", self.address)
            self.abort()
            return
        self.transport.write(data)
        # guards against a second effect: `write` returns also when bytes are kept back or the write failed
        self.request_written = not self.transport.is_closing() and not self.transport.get_write_buffer_size()

    def resume_writing(self) -> None:
        self.request_written = True

    def data_received(self, data: bytes) -> None:
        attempt = self.attempt
        if attempt is None:  # bytes that nobody asked for: the next answer could not be told from them
            self.abort()
            return
        try:
            response = self.decode(data)
        except Exception as e:
            # guards the router: whatever a server sends costs its connection and no more
            self._fail(attempt, e)
            return
        if response is None:
            if self.timeout is None and self.response_started():
                loop = asyncio.get_running_loop()
                stalled = MalformedResponseError("begun and not ended")
                # guards the request: an answer said to be longer than it is never ends
                self.timeout = loop.call_later(RESPONSE_COMPLETION_TIMEOUT, self._fail, attempt, stalled)
        else:
            self.cancel_timeout()
            self.attempt = None
            if self.request_written and self.is_reusable() and not self.transport.is_closing():
                self.pool.release(self)
            else:
                self.abort()
            attempt.finish(response)

    def _fail(self, attempt: AttemptInFlight, fault: Exception) -> None:
        """An answer that can't be used: the request may have run, and what follows belongs to nobody."""
        level = logging.WARNING if isinstance(fault, MalformedResponseError) else logging.ERROR
        log.log(level, "answer of %s: %.200r", self.address, fault)
        self.attempt = None
        self.abort()
        attempt.finish(UpstreamResponse(AttemptStatus.ERROR))

    def cancel_timeout(self) -> None:
        if self.timeout is not None:
            self.timeout.cancel()
            self.timeout = None

    def abort_after(self, seconds: float) -> None:
        """Close a connection that is idle for so long."""
        self.cancel_timeout()
        self.timeout = asyncio.get_running_loop().call_later(seconds, self.abort)

    def connection_lost(self, exc: Exception | None) -> None:
        self.pool.remove(self)
        attempt, self.attempt = self.attempt, None
        if attempt is not None:
            status = AttemptStatus.RESET if self.request_written else AttemptStatus.CONNECT_FAILED
            attempt.finish(UpstreamResponse(status))

    def abort(self) -> None:
        """Close at once, without sending what is still held back."""
        self.pool.remove(self)
        self.transport.abort()
