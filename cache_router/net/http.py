"""The client's side of HTTP/1.1, as bytes in and out: one request and its response at a time."""

from __future__ import annotations

import re
from dataclasses import dataclass

import h11

from cache_router.errors import RouterError

# bytes of a head that is not complete
MAX_HEAD_LENGTH = 16 * 1024
HEAD_START = b"HTTP/"
HEAD_END = b"\r\n\r\n"
# where a head has the first digit of its status
STATUS_CLASS = slice(len("HTTP/1.1 "), len("HTTP/1.1 ") + 1)
INFORMATIONAL = b"1"
LOAD_REPORT = re.compile(rb"\r\nserver-load:.*?(?=\r\n)", re.IGNORECASE | re.DOTALL)


class HttpError(RouterError):
    """A response that breaks the protocol, is larger than accepted, or was cut off."""


@dataclass(slots=True, frozen=True)
class Response:
    """A complete response; header names are in lower case."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes


class HttpClient:
    """The client's side of one connection."""

    def __init__(self, address: str, max_body_length: int) -> None:
        """Create the client of a connection to `address`, which accepts so many bytes of a body."""
        self.address = address
        self.max_body_length = max_body_length
        self.connection = h11.Connection(h11.CLIENT)
        # the beginning of a head whose end has not come yet
        self.partial_head = bytearray()
        # whether a head is still to come, the final one or one that precedes it
        self.head_pending = True
        self.head: h11.Response | None = None
        self.body = bytearray()

    def request(
        self, method: str, target: str, headers: list[tuple[bytes, bytes]], body: bytes | None = None
    ) -> bytes:
        """Begin a request, and return its bytes.

        Raises:
            h11.LocalProtocolError: A part can't be sent, or the response before is not complete.
        """
        if self.connection.our_state is not h11.IDLE:
            self.connection.start_next_cycle()
        self.head_pending = True
        self.head = None
        self.partial_head.clear()
        self.body.clear()
        fields = [(b"Host", self.address.encode()), *headers]
        if body is not None:
            fields.append((b"Content-Length", str(len(body)).encode()))
        events: list[h11.Event] = [h11.Request(method=method, target=target, headers=fields)]
        if body:
            events.append(h11.Data(data=body))
        events.append(h11.EndOfMessage())
        return b"".join(self.connection.send(event) or b"" for event in events)

    def receive(self, data: bytes) -> Response | None:
        """Take bytes, none at the connection's end, and return the response once it is complete.

        Raises:
            HttpError: The response breaks the protocol, is larger than accepted, or was cut off.
        """
        try:
            if not data:
                self.connection.receive_data(b"")
            elif filtered := self._without_load_report(data):
                self.connection.receive_data(filtered)
            return self._next_response()
        except h11.RemoteProtocolError as error:
            raise HttpError(str(error)) from error

    def _without_load_report(self, data: bytes) -> bytes:
        """Complete heads without their load report, and what follows them.

        The report is not used here, and one that can't be parsed would spoil a good response.
        """
        if not self.head_pending:
            return data
        self.partial_head += data
        filtered = b""
        while self.head_pending and (end := self.partial_head.find(HEAD_END)) >= 0:
            end += len(HEAD_END)
            filtered += LOAD_REPORT.sub(b"", self.partial_head[:end])
            # another head follows an informational one, such as 100 Continue
            self.head_pending = self.partial_head[STATUS_CLASS] == INFORMATIONAL
            del self.partial_head[:end]
        if not self.head_pending:
            filtered += self.partial_head
        elif len(self.partial_head) > MAX_HEAD_LENGTH or not HEAD_START.startswith(
            self.partial_head[: len(HEAD_START)]
        ):
            raise HttpError(f"no head: {bytes(self.partial_head[:40])!r}")
        return filtered

    def _next_response(self) -> Response | None:
        """The response, if its end has come."""
        while (event := self.connection.next_event()) is not h11.NEED_DATA:
            if isinstance(event, h11.EndOfMessage) and self.head is not None:
                return Response(self.head.status_code, dict(self.head.headers), bytes(self.body))
            self._take_part(event)
        return None

    def _take_part(self, event: object) -> None:
        """Keep a part of the response.

        Raises:
            HttpError: It makes the body larger than accepted, or is no part of a response.
        """
        if isinstance(event, h11.Response):
            self.head = event
            # decided by the announced length, so that no memory is held for what is rejected in the end
            self._check_body_length(int(dict(event.headers).get(b"content-length", b"0")))
        elif isinstance(event, h11.Data):
            self.body += event.data
            self._check_body_length(len(self.body))
        elif not isinstance(event, h11.InformationalResponse):
            raise HttpError(f"no response but {event!r}")

    def _check_body_length(self, length: int) -> None:
        if length > self.max_body_length:
            raise HttpError(f"body of over {self.max_body_length} bytes")

    def response_started(self) -> bool:
        """Whether a part of the final response has come: informational ones may long precede it."""
        return bool(self.partial_head) or not self.head_pending

    def is_reusable(self) -> bool:
        """Whether another request may follow: the exchange is complete and nothing came after it."""
        complete = self.connection.our_state is self.connection.their_state is h11.DONE
        return complete and not self.connection.trailing_data[0]
