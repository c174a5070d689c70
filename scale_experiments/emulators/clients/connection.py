"""A connection of a client to a router."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, cast

from cache_router.net.resp import INCOMPLETE, ErrorReply, Message, RespError, RespReader
from scale_experiments.emulators.messages.clients import FAILED, LOST, REJECTED, RETRIES, SERVED, UNANSWERED

if TYPE_CHECKING:
    from scale_experiments.emulators.clients.load import RouterLoad

MAX_ARRAY_LENGTH = 16  # of a reply
MAX_VALUE_BYTES = 64 * 1024
MAX_REPLY_BYTES = MAX_VALUE_BYTES + 8192
DEADLINE_GRACE_S = 0.2  # after a deadline, until its connection is given up


class ClientRequest:
    """One request; times are of the event loop, in seconds."""

    __slots__ = ("completed", "data", "due_at", "is_retry", "sent_at")

    def __init__(self, data: bytes, due_at: float) -> None:
        self.data = data
        self.due_at = due_at  # when it was to be sent: its latency counts from there
        self.sent_at = 0.0
        self.is_retry = False  # sent once more
        self.completed = False


class ClientConnection(asyncio.Protocol):
    """A connection that carries one request at a time."""

    def __init__(self, load: RouterLoad) -> None:
        self.load = load
        self.reader = RespReader(MAX_ARRAY_LENGTH, MAX_VALUE_BYTES, MAX_REPLY_BYTES)
        self.request: ClientRequest | None = None
        self.completed_requests = 0
        self.expiry: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection."""
        self.transport = cast(asyncio.Transport, transport)
        self.load.open_connections += 1
        self.load.connections_opened += 1

    def send(self, request: ClientRequest) -> None:
        """Send a request."""
        loop = asyncio.get_running_loop()
        self.request = request
        request.sent_at = loop.time()
        self.expiry = loop.call_at(request.due_at + self.load.deadline_s + DEADLINE_GRACE_S, self._time_out)
        self.transport.write(request.data)

    def _complete(self, outcome: str) -> None:
        """Count the outcome of the request in flight, unless it was counted before."""
        request, self.request = self.request, None
        if self.expiry is not None:
            self.expiry.cancel()
        if request is not None and not request.completed:
            request.completed = True
            self.load.record_outcome(outcome, request)

    def _time_out(self) -> None:
        self._complete(UNANSWERED)
        self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Complete the request in flight, if its reply is whole."""
        self.reader.feed(data)
        try:
            reply = self.reader.next()
        except RespError:
            self._complete(FAILED)
            self.transport.abort()
            return
        if reply is INCOMPLETE:
            return
        self.completed_requests += 1
        self._complete(outcome_of(reply))
        self.load.idle.append(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Retry the request in flight if it crossed a close, or count it as lost."""
        load, request = self.load, self.request
        load.open_connections -= 1
        if self in load.idle:
            load.idle.remove(self)
        if request is None:
            return
        if self.completed_requests and not request.is_retry:  # a close between requests that crossed this one
            self.request, request.is_retry = None, True
            if self.expiry is not None:
                self.expiry.cancel()
            load.counts[RETRIES] += 1
            load.send(request)
        else:
            self._complete(LOST)


def outcome_of(reply: Message) -> str:
    """What a reply says: that the request was served, rejected or failed."""
    match reply:
        case bytes() | [bytes(), *_]:
            return SERVED
        case ErrorReply(text) if text.split(" ")[0] == "BUSY":
            return REJECTED
    return FAILED
