"""A connection to a cache server or the origin, which carries one attempt at a time.

`UpstreamConnection` is what the protocols have in common: when a request counts as written, when a response
can no longer be trusted, and whether the connection may be used again. How an attempt ends turns on one
question: may the server have run the request?
"""

from __future__ import annotations

import asyncio
import logging
from abc import abstractmethod
from typing import TYPE_CHECKING, cast

from cache_router.decisions.events import AttemptStatus
from cache_router.errors import RouterError
from cache_router.net.command import Command
from cache_router.net.upstream_attempt import UpstreamAttempt, UpstreamResponse

if TYPE_CHECKING:
    from cache_router.net.connection_pool import ConnectionPool

# seconds for the rest of a response once it has begun: servers send it in one piece
RESPONSE_COMPLETION_TIMEOUT = 0.1

log = logging.getLogger(__name__)


class MalformedResponseError(RouterError):
    """A response that can't be used. The request that it answers may have run."""


class UpstreamConnection(asyncio.Protocol):
    """A connection to one address; subclasses encode requests and decode responses."""

    transport: asyncio.Transport

    def __init__(self, pool: ConnectionPool, address: str) -> None:
        """Prepare a connection of `pool` to `address` (`host:port`)."""
        self.pool = pool
        self.address = address
        self.attempt: UpstreamAttempt | None = None
        # whether the kernel has the last byte of the request
        self.request_written = False
        # of the server that it was made to: another may be started at the same address
        self.incarnation: object = None
        # the event loop's time at which it became idle, in seconds
        self.idle_since = 0.0
        # runs out while it is idle, or while a response is incomplete
        self.timeout: asyncio.TimerHandle | None = None

    @abstractmethod
    def encode(self, command: Command, time_left: float) -> bytes:
        """Encode a request, for whose response the router waits `time_left` seconds."""

    @abstractmethod
    def decode(self, data: bytes) -> UpstreamResponse | None:
        """Take bytes of a response, and return the response once it is complete.

        Raises:
            MalformedResponseError: The bytes are no response, or one that is too large.
        """

    @abstractmethod
    def is_reusable(self) -> bool:
        """Whether another request may follow: the response was complete and nothing came after it."""

    def response_started(self) -> bool:
        """Whether what has come is a part of the response, and not something that precedes it."""
        return True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register with the pool; the event loop calls this once the connection is up."""
        self.transport = cast(asyncio.Transport, transport)
        # so that `resume_writing` is called just when the last byte has gone to the kernel
        self.transport.set_write_buffer_limits(high=0)
        self.pool.connections.add(self)

    def begin(self, attempt: UpstreamAttempt) -> None:
        """Write the request of an attempt. The connection must be idle."""
        attempt.mark_sent(self)
        self.attempt = attempt
        self.request_written = False
        try:
            data = self.encode(attempt.command, attempt.time_left())
        except Exception:
            # whatever is wrong with a request, its attempt must end: the router waits for that
            log.exception("request for %s can't be encoded", self.address)
            self.abort()
            return
        self.transport.write(data)
        # `write` returns also when bytes are buffered or writing failed; a request that was cut off never ran
        self.request_written = not self.transport.is_closing() and not self.transport.get_write_buffer_size()

    def resume_writing(self) -> None:
        """Note that the kernel has the whole request; the event loop calls this once its buffer is empty."""
        self.request_written = True

    def data_received(self, data: bytes) -> None:
        """Take bytes of the response, and end the attempt once the response is complete."""
        attempt = self.attempt
        if attempt is None:
            # nobody asked for these bytes; the next response could not be told from them
            self.abort()
            return
        try:
            response = self.decode(data)
        except Exception as error:
            # whatever a server sends, it costs this connection and no more
            self._fail(attempt, error)
            return
        if response is None:
            if self.timeout is None and self.response_started():
                self._limit_completion(attempt)
            return
        self.cancel_timeout()
        self.attempt = None
        if self.request_written and self.is_reusable() and not self.transport.is_closing():
            self.pool.release(self)
        else:
            self.abort()
        attempt.finish(response)

    def _limit_completion(self, attempt: UpstreamAttempt) -> None:
        """Bound the time for the rest of a response: one that announces more than is sent never ends."""
        loop = asyncio.get_running_loop()
        incomplete = MalformedResponseError("begun, but not completed in time")
        self.timeout = loop.call_later(RESPONSE_COMPLETION_TIMEOUT, self._fail, attempt, incomplete)

    def _fail(self, attempt: UpstreamAttempt, error: Exception) -> None:
        """End an attempt whose request may have run; what follows on the connection can't be trusted."""
        level = logging.WARNING if isinstance(error, MalformedResponseError) else logging.ERROR
        log.log(level, "response of %s can't be used: %.200r", self.address, error)
        self.attempt = None
        self.abort()
        attempt.finish(UpstreamResponse(AttemptStatus.ERROR))

    def cancel_timeout(self) -> None:
        """Stop the timer of an idle connection or of an incomplete response, if one runs."""
        if self.timeout is not None:
            self.timeout.cancel()
            self.timeout = None

    def abort_after(self, seconds: float) -> None:
        """Close the connection after so many seconds, unless `cancel_timeout` is called before."""
        self.cancel_timeout()
        self.timeout = asyncio.get_running_loop().call_later(seconds, self.abort)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the attempt, if there is one; the event loop calls this when the connection is closed."""
        self.pool.remove(self)
        attempt, self.attempt = self.attempt, None
        if attempt is not None:
            status = AttemptStatus.RESET if self.request_written else AttemptStatus.CONNECT_FAILED
            attempt.finish(UpstreamResponse(status))

    def abort(self) -> None:
        """Close at once, without sending what is still buffered."""
        self.pool.remove(self)
        self.transport.abort()
