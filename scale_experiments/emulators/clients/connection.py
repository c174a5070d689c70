"""A client's connection to a router, with one request in flight at a time."""

from __future__ import annotations

import asyncio
from typing import Protocol, cast

from cache_router.net.resp import INCOMPLETE, ErrorReply, Message, RespError, RespReader
from scale_experiments.emulators.messages.clients import FAILED, LOST, REJECTED, SERVED, UNANSWERED

MAX_ARRAY_LENGTH = 16  # elements of a reply
MAX_VALUE_BYTES = 64 * 1024
MAX_REPLY_BYTES = MAX_VALUE_BYTES + 8192  # a value, and room for the other elements
DEADLINE_GRACE_S = 0.2  # time between a request's deadline and the reset of its connection


class ClientRequest:
    """One encoded request, which is due at `due_at`, in seconds of the event loop's clock.

    Its latency is measured from then, even if it is sent later.
    """

    __slots__ = ("_is_retried", "data", "due_at")

    def __init__(self, data: bytes, due_at: float) -> None:
        self.data = data
        self.due_at = due_at
        self._is_retried = False

    @property
    def is_retried(self) -> bool:
        """Whether the request has been retried."""
        return self._is_retried

    def mark_retried(self) -> None:
        """Record that the request has been retried; there is no second retry."""
        self._is_retried = True


class ConnectionOwner(Protocol):
    """Interface through which connections use the load on their router."""

    @property
    def deadline_s(self) -> float:
        """Seconds from when a request is due until its deadline."""
        ...

    def on_connected(self) -> None:
        """Count a new connection."""
        ...

    def on_disconnected(self, connection: ClientConnection) -> None:
        """Count a connection as closed, and stop using it."""
        ...

    def on_idle(self, connection: ClientConnection) -> None:
        """Make a connection available for the next request."""
        ...

    def on_outcome(self, outcome: str, request: ClientRequest) -> None:
        """Count the outcome of a request."""
        ...

    def retry(self, request: ClientRequest) -> None:
        """Send a request again on another connection."""
        ...


class ClientConnection(asyncio.Protocol):
    """A connection to a router, with one request in flight at a time."""

    def __init__(self, load: ConnectionOwner) -> None:
        self._load = load
        self._reader = RespReader(MAX_ARRAY_LENGTH, MAX_VALUE_BYTES, MAX_REPLY_BYTES)
        self._request: ClientRequest | None = None  # the request in flight
        self._completed_requests = 0
        self._expiry_timer: asyncio.TimerHandle | None = None

    @property
    def is_closing(self) -> bool:
        """Whether the connection is closed or being closed."""
        return self._transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection."""
        self._transport = cast(asyncio.Transport, transport)
        self._load.on_connected()

    def send(self, request: ClientRequest) -> None:
        """Send a request; no other request may be in flight."""
        self._request = request
        expires_at = request.due_at + self._load.deadline_s + DEADLINE_GRACE_S
        self._expiry_timer = asyncio.get_running_loop().call_at(expires_at, self._expire_request)
        self._transport.write(request.data)

    def _end_request(self) -> ClientRequest | None:
        """Clear the request in flight, cancel its timer, and return the request."""
        request, self._request = self._request, None
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
        return request

    def _complete(self, outcome: str) -> None:
        """Count the outcome of the request in flight, if there is one."""
        request = self._end_request()
        if request is not None:
            self._load.on_outcome(outcome, request)

    def _expire_request(self) -> None:
        self._complete(UNANSWERED)
        self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Complete the request in flight, if its reply is complete."""
        self._reader.feed(data)
        try:
            reply = self._reader.next()
        except RespError:
            self._complete(FAILED)
            self._transport.abort()
            return
        if reply is INCOMPLETE:
            return
        self._completed_requests += 1
        self._complete(classify_reply(reply))
        self._load.on_idle(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Retry the request in flight if it may not have been read; otherwise count it as lost."""
        self._load.on_disconnected(self)
        request = self._request
        if request is None:
            return
        # the router may have closed the connection as idle while this request was on its way
        if self._completed_requests and not request.is_retried:
            self._end_request()
            self._load.retry(request)
        else:
            self._complete(LOST)


def classify_reply(reply: Message) -> str:
    """Return the outcome of a request by its reply: served, rejected or failed."""
    match reply:
        case bytes() | [bytes(), *_]:
            return SERVED
        case ErrorReply(text) if text.split(" ")[0] == "BUSY":
            return REJECTED
    return FAILED
