"""A connection to a cache server or the origin, which carries one attempt at a time.

`UpstreamConnection` implements what the protocols have in common: it tracks whether a request is completely
written, discards responses that can't be trusted, and decides whether the connection may be reused. The
status of a failed attempt depends on whether the server may have executed the request.
"""

from __future__ import annotations

import asyncio
import logging
from abc import abstractmethod
from typing import ClassVar, Protocol, cast

from cache_router.decisions.events import AttemptStatus
from cache_router.errors import RouterError
from cache_router.net.command import Command
from cache_router.net.completed_exchange import CompletedExchange
from cache_router.net.socket_state import acknowledge_received_bytes, has_unread_bytes
from cache_router.net.upstream_attempt import UpstreamAttempt, UpstreamResponse

# Seconds from the first byte of a response until it must be complete. Servers send a response in one piece.
RESPONSE_COMPLETION_TIMEOUT = 0.1

# Seconds after a response within which a second copy of it may arrive, which is some milliseconds late.
MAX_COPY_DELAY = 0.1

log = logging.getLogger(__name__)


class MalformedResponseError(RouterError):
    """A response that violates the protocol or is too large. The server may have executed the request."""


class ConnectionOwner(Protocol):
    """The interface through which connections notify their owner of state changes."""

    def on_connected(self, connection: UpstreamConnection) -> None:
        """Handle a connection that has been established."""

    def on_idle(self, connection: UpstreamConnection) -> None:
        """Handle a connection whose attempt is complete and that may carry another."""

    def on_closed(self, connection: UpstreamConnection) -> None:
        """Handle a connection that is closed or being aborted; called again once an abort is complete."""


class UpstreamConnection(asyncio.Protocol):
    """A connection to one address; subclasses encode requests and decode responses."""

    response_start: ClassVar[bytes]  # what all responses with a value begin with
    _transport: asyncio.Transport

    def __init__(self, owner: ConnectionOwner, address: str, incarnation: object) -> None:
        """Prepare a connection.

        Args:
            owner: Notified of state changes of the connection.
            address: `host:port` of the server.
            incarnation: Incarnation of the server; another process may be started at the same address.
        """
        self.address = address
        self.incarnation = incarnation
        self._owner = owner
        self._attempt: UpstreamAttempt | None = None
        self._last_exchange: CompletedExchange | None = None
        self._last_response_at = 0.0  # time on the clock of the event loop, in seconds
        # Whether a copy of the last response may arrive in the place of the response to the present request.
        self._copy_may_arrive = False
        # Whether the whole request has been passed to the kernel.
        self._request_written = False
        # Whether the server has ended the stream.
        self._has_ended = False
        # Timer that limits the idle time of the connection, or the time in which a response must be complete.
        self._timeout: asyncio.TimerHandle | None = None

    @abstractmethod
    def encode(self, command: Command, time_left: float) -> bytes:
        """Encode a request whose deadline is `time_left` seconds from now."""

    @abstractmethod
    def decode(self, data: bytes) -> UpstreamResponse | None:
        """Decode received bytes; return the response once it is complete, None before.

        Raises:
            MalformedResponseError: The bytes are not a valid response, or the response is too large.
        """

    def decode_end(self) -> UpstreamResponse | None:
        """Return the response that the regular end of the stream completes, None if it is truncated."""
        return None

    @abstractmethod
    def is_reusable(self) -> bool:
        """Return whether the response is complete without trailing bytes, so that a request may follow."""

    def response_started(self) -> bool:
        """Return whether part of the final response, not only of an informational one, was received."""
        return True

    def may_carry(self, attempt: UpstreamAttempt) -> bool:
        """Return whether a second response to the last request would do no harm to an attempt."""
        last = self._last_exchange
        return last is None or last.may_precede(attempt.command, attempt.is_idempotent)

    def is_usable(self) -> bool:
        """Return whether an idle connection may carry a request.

        Received bytes or a disconnect that the event loop has not processed yet make it unusable: a request
        that is written after them would be lost.
        """
        return not self._transport.is_closing() and not has_unread_bytes(self._transport)

    def send(self, attempt: UpstreamAttempt) -> None:
        """Write the request of an attempt. The connection must not carry another attempt."""
        self._cancel_timeout()
        attempt.mark_sent(self)
        self._attempt = attempt
        idle_time = asyncio.get_running_loop().time() - self._last_response_at
        self._copy_may_arrive = idle_time < MAX_COPY_DELAY
        self._request_written = False
        try:
            data = self.encode(attempt.command, attempt.time_left())
        except Exception:
            # An attempt must always complete, because the router waits for its outcome.
            log.exception("request to %s can't be encoded", self.address)
            self.abort()
            return
        self._transport.write(data)
        # `write` also returns if bytes are buffered or writing failed. Truncated requests are not executed.
        buffered = self._transport.get_write_buffer_size()
        self._request_written = not self._transport.is_closing() and not buffered

    def abort_after(self, seconds: float) -> None:
        """Close the connection after `seconds`, unless an attempt is sent on it before."""
        self._cancel_timeout()
        self._timeout = asyncio.get_running_loop().call_later(seconds, self.abort)

    def abort(self) -> None:
        """Close immediately and discard buffered data that has not been sent."""
        self._cancel_timeout()
        self._owner.on_closed(self)
        self._transport.abort()

    # Callbacks of the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Notify the owner that the connection is established."""
        self._transport = cast(asyncio.Transport, transport)
        # With a high-water mark of 0, `resume_writing` is called once the write buffer is empty.
        self._transport.set_write_buffer_limits(high=0)
        self._owner.on_connected(self)

    def resume_writing(self) -> None:
        """Record that the write buffer is empty: the kernel has the complete request."""
        self._request_written = True

    def data_received(self, data: bytes) -> None:
        """Decode received bytes, and complete the attempt once the response is complete."""
        attempt = self._attempt
        if attempt is None:
            # No request is in flight. These bytes could be mistaken for the response to the next request.
            self.abort()
            return
        try:
            response = self.decode(data)
        except Exception as error:
            # No bytes that a server sends may affect more than this connection.
            self._fail(attempt, error)
            return
        if response is not None:
            self._accept_response(attempt, response)
        elif self._timeout is None and self.response_started():
            self._start_completion_timeout(attempt)

    def eof_received(self) -> None:
        """Complete the attempt if its response ends with the stream; the event loop closes the connection."""
        self._has_ended = True
        attempt = self._attempt
        response = self.decode_end() if attempt is not None else None
        if attempt is not None and response is not None:
            self._accept_response(attempt, response)

    def _accept_response(self, attempt: UpstreamAttempt, response: UpstreamResponse) -> None:
        """Complete an attempt, unless the response is or contains a copy of that to the previous request."""
        if self._is_second_response(response):
            self._fail(attempt, MalformedResponseError("second response to the previous request"))
        else:
            self._complete(attempt, response)

    def _is_second_response(self, response: UpstreamResponse) -> bool:
        last = self._last_exchange
        if last is None:
            return False
        return last.is_repeated_by(response) or last.is_cut_off_in(response, self.response_start)

    def _may_be_second_response(self, response: UpstreamResponse) -> bool:
        last = self._last_exchange
        return self._copy_may_arrive and last is not None and last.may_be_repeated_by(response)

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the owner, and complete the attempt in flight, if any."""
        self._cancel_timeout()
        self._owner.on_closed(self)
        attempt, self._attempt = self._attempt, None
        if attempt is not None:
            status = AttemptStatus.RESET if self._request_written else AttemptStatus.CONNECT_FAILED
            attempt.finish(UpstreamResponse(status))

    def _complete(self, attempt: UpstreamAttempt, response: UpstreamResponse) -> None:
        """Complete an attempt with its response, and keep the connection if it can be reused."""
        self._cancel_timeout()
        self._attempt = None
        if self._may_carry_another(response):
            self._last_exchange = CompletedExchange.of(attempt.command, response)
            self._last_response_at = asyncio.get_running_loop().time()
            acknowledge_received_bytes(self._transport)
            self._owner.on_idle(self)
        else:
            self.abort()
        attempt.finish(response)

    def _may_carry_another(self, response: UpstreamResponse) -> bool:
        """Return whether another request may be sent after the one that got a response."""
        if not self._request_written or self._has_ended or self._transport.is_closing():
            return False
        return self.is_reusable() and not self._may_be_second_response(response)

    def _start_completion_timeout(self, attempt: UpstreamAttempt) -> None:
        """Limit the time for the rest of a response, which may announce more bytes than are sent."""
        loop = asyncio.get_running_loop()
        error = MalformedResponseError("response started, but not completed in time")
        self._timeout = loop.call_later(RESPONSE_COMPLETION_TIMEOUT, self._fail, attempt, error)

    def _fail(self, attempt: UpstreamAttempt, error: Exception) -> None:
        """Fail an attempt whose request may have been executed, and close the out-of-sync connection."""
        level = logging.WARNING if isinstance(error, MalformedResponseError) else logging.ERROR
        log.log(level, "response from %s can't be used: %.200r", self.address, error)
        self._attempt = None
        self.abort()
        attempt.finish(UpstreamResponse(AttemptStatus.ERROR))

    def _cancel_timeout(self) -> None:
        if self._timeout is not None:
            self._timeout.cancel()
            self._timeout = None
