"""A connection to a cache server or the origin, which carries one attempt at a time.

`UpstreamConnection` is what the protocols have in common: when a request counts as written, when a response
can no longer be trusted, and whether the connection may be used again. How an attempt ends depends on one
question: may the server have run the request?
"""

from __future__ import annotations

import asyncio
import logging
from abc import abstractmethod
from typing import Protocol, cast

from cache_router.decisions.events import AttemptStatus
from cache_router.errors import RouterError
from cache_router.net.command import Command
from cache_router.net.socket_state import has_unread_bytes
from cache_router.net.upstream_attempt import UpstreamAttempt, UpstreamResponse

# seconds for the rest of a response after its first byte: servers send a response in one piece
RESPONSE_COMPLETION_TIMEOUT = 0.1

log = logging.getLogger(__name__)


class MalformedResponseError(RouterError):
    """A response that can't be used. The request that it answers may have run."""


class ConnectionOwner(Protocol):
    """Is notified of the states of its connections."""

    def on_connected(self, connection: UpstreamConnection) -> None:
        """Take note that a connection is established."""

    def on_idle(self, connection: UpstreamConnection) -> None:
        """Take note that a connection has carried an attempt and may carry another."""

    def on_closed(self, connection: UpstreamConnection) -> None:
        """Take note that a connection is closed or about to be; called again once an abort is complete."""


class UpstreamConnection(asyncio.Protocol):
    """A connection to one address; subclasses encode requests and decode responses."""

    _transport: asyncio.Transport

    def __init__(self, owner: ConnectionOwner, address: str, incarnation: object) -> None:
        """Prepare a connection.

        Args:
            owner: Notified of the connection's states.
            address: `host:port` of the server.
            incarnation: Of the server: another may be started at the same address.
        """
        self.address = address
        self.incarnation = incarnation
        self._owner = owner
        self._attempt: UpstreamAttempt | None = None
        # whether the kernel has the last byte of the request
        self._request_written = False
        # runs out while the connection is idle, or while a response is incomplete
        self._timeout: asyncio.TimerHandle | None = None

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
        """Return whether another request may follow: the response is complete and nothing came after it."""

    def response_started(self) -> bool:
        """Return whether a part of the response has come, and not only something that precedes it."""
        return True

    def is_usable(self) -> bool:
        """Return whether an idle connection may carry a request.

        Bytes or a close that arrived since the event loop last looked would lose the request.
        """
        return not self._transport.is_closing() and not has_unread_bytes(self._transport)

    def send(self, attempt: UpstreamAttempt) -> None:
        """Write the request of an attempt. The connection must be idle."""
        self._cancel_timeout()
        attempt.mark_sent(self)
        self._attempt = attempt
        self._request_written = False
        try:
            data = self.encode(attempt.command, attempt.time_left())
        except Exception:
            # any error in a request must end its attempt: the router waits for that
            log.exception("request for %s can't be encoded", self.address)
            self.abort()
            return
        self._transport.write(data)
        # `write` returns also when bytes are buffered or writing failed; a request that was cut off never ran
        buffered = self._transport.get_write_buffer_size()
        self._request_written = not self._transport.is_closing() and not buffered

    def abort_after(self, seconds: float) -> None:
        """Close the connection after this time, unless an attempt is sent on it before."""
        self._cancel_timeout()
        self._timeout = asyncio.get_running_loop().call_later(seconds, self.abort)

    def abort(self) -> None:
        """Close at once, without sending what is still buffered."""
        self._cancel_timeout()
        self._owner.on_closed(self)
        self._transport.abort()

    # Called by the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Notify the owner that the connection is established."""
        self._transport = cast(asyncio.Transport, transport)
        # so that `resume_writing` is called just when the last byte has gone to the kernel
        self._transport.set_write_buffer_limits(high=0)
        self._owner.on_connected(self)

    def resume_writing(self) -> None:
        """Note that the kernel has the complete request: the write buffer is empty."""
        self._request_written = True

    def data_received(self, data: bytes) -> None:
        """Take bytes of the response, and end the attempt once the response is complete."""
        attempt = self._attempt
        if attempt is None:
            # no request precedes these bytes; they could not be distinguished from the next response
            self.abort()
            return
        try:
            response = self.decode(data)
        except Exception as error:
            # no response of a server may cost more than this connection
            self._fail(attempt, error)
            return
        if response is not None:
            self._complete(attempt, response)
        elif self._timeout is None and self.response_started():
            self._start_completion_timeout(attempt)

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the owner, and end the attempt if there is one."""
        self._cancel_timeout()
        self._owner.on_closed(self)
        attempt, self._attempt = self._attempt, None
        if attempt is not None:
            status = AttemptStatus.RESET if self._request_written else AttemptStatus.CONNECT_FAILED
            attempt.finish(UpstreamResponse(status))

    def _complete(self, attempt: UpstreamAttempt, response: UpstreamResponse) -> None:
        """End an attempt with a complete response, and keep the connection if another request may follow."""
        self._cancel_timeout()
        self._attempt = None
        if self._request_written and self.is_reusable() and not self._transport.is_closing():
            self._owner.on_idle(self)
        else:
            self.abort()
        attempt.finish(response)

    def _start_completion_timeout(self, attempt: UpstreamAttempt) -> None:
        """Limit the time for the rest of a response: one that announces more than is sent never ends."""
        loop = asyncio.get_running_loop()
        error = MalformedResponseError("started, but not completed in time")
        self._timeout = loop.call_later(RESPONSE_COMPLETION_TIMEOUT, self._fail, attempt, error)

    def _fail(self, attempt: UpstreamAttempt, error: Exception) -> None:
        """End an attempt whose request may have run; what follows on the connection can't be trusted."""
        level = logging.WARNING if isinstance(error, MalformedResponseError) else logging.ERROR
        log.log(level, "response of %s can't be used: %.200r", self.address, error)
        self._attempt = None
        self.abort()
        attempt.finish(UpstreamResponse(AttemptStatus.ERROR))

    def _cancel_timeout(self) -> None:
        if self._timeout is not None:
            self._timeout.cancel()
            self._timeout = None
