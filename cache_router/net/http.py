"""HTTP/1.1 client without I/O: encodes a request and decodes its response, one exchange at a time."""

from __future__ import annotations

import re
from dataclasses import dataclass

import h11

from cache_router.errors import RouterError

# Maximum size of an incomplete response head in bytes. A head is the status line and the headers.
MAX_HEAD_LENGTH = 16 * 1024
STATUS_LINE_PREFIX = b"HTTP/"
STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9]{2}[ \r]")
HEAD_END = b"\r\n\r\n"
# Position of the first digit of the status code in a response head.
STATUS_CLASS = slice(len("HTTP/1.1 "), len("HTTP/1.1 ") + 1)
INFORMATIONAL_CLASS = b"1"
LOAD_REPORT_HEADER = re.compile(rb"\r\nserver-load:.*?(?=\r\n)", re.IGNORECASE | re.DOTALL)


class HttpError(RouterError):
    """A response that violates the protocol, exceeds a size limit, or is truncated."""


@dataclass(slots=True, frozen=True)
class Response:
    """A complete response; header names are in lower case."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes


class HttpClient:
    """State of one connection, from the point of view of the client."""

    def __init__(self, address: str, max_body_length: int) -> None:
        """Create the client of a connection.

        Args:
            address: `host:port` of the server.
            max_body_length: Maximum size of a response body in bytes.
        """
        self._address = address
        self._max_body_length = max_body_length
        self._connection = h11.Connection(h11.CLIENT)
        # Received part of a head that is incomplete.
        self._partial_head = bytearray()
        # Whether a head is expected, that of the final response or of an informational one.
        self._head_pending = True
        self._head: h11.Response | None = None
        self._body = bytearray()

    def request(
        self, method: str, target: str, headers: list[tuple[bytes, bytes]], body: bytes | None = None
    ) -> bytes:
        """Start an exchange, and return the encoded request.

        Raises:
            h11.LocalProtocolError: A part of the request is invalid, or the previous exchange is incomplete.
        """
        if self._connection.our_state is not h11.IDLE:
            self._connection.start_next_cycle()
        self._head_pending = True
        self._head = None
        self._partial_head.clear()
        self._body.clear()
        fields = [(b"Host", self._address.encode()), *headers]
        if body is not None:
            fields.append((b"Content-Length", str(len(body)).encode()))
        events: list[h11.Event] = [h11.Request(method=method, target=target, headers=fields)]
        if body:
            events.append(h11.Data(data=body))
        events.append(h11.EndOfMessage())
        return b"".join(self._connection.send(event) or b"" for event in events)

    def receive(self, data: bytes) -> Response | None:
        """Decode received bytes; return the response once it is complete, None before.

        Empty `data` is the end of the connection.

        Raises:
            HttpError: The response violates the protocol, exceeds a size limit, or is truncated.
        """
        try:
            if not data:
                self._connection.receive_data(b"")
            elif filtered := self._strip_load_report(data):
                self._connection.receive_data(filtered)
            return self._next_response()
        except h11.RemoteProtocolError as error:
            raise HttpError(str(error)) from error

    def _strip_load_report(self, data: bytes) -> bytes:
        """Return received bytes without the load report; an incomplete head is held back until its end.

        The report is not used here, and h11 would reject the whole response if the report is malformed.

        Raises:
            HttpError: The bytes are not a response head, or the head exceeds `MAX_HEAD_LENGTH`.
        """
        if not self._head_pending:
            return data
        self._partial_head += data
        filtered = b""
        while self._head_pending and (end := self._partial_head.find(HEAD_END)) >= 0:
            end += len(HEAD_END)
            if STATUS_LINE.search(self._partial_head, 1, end):
                raise HttpError("response head contains another one")
            filtered += LOAD_REPORT_HEADER.sub(b"", self._partial_head[:end])
            # An informational response such as 100 Continue is followed by another head.
            self._head_pending = self._partial_head[STATUS_CLASS] == INFORMATIONAL_CLASS
            del self._partial_head[:end]
        if not self._head_pending:
            filtered += self._partial_head
        elif len(self._partial_head) > MAX_HEAD_LENGTH or not STATUS_LINE_PREFIX.startswith(
            self._partial_head[: len(STATUS_LINE_PREFIX)]
        ):
            raise HttpError(f"malformed or oversized response head: {bytes(self._partial_head[:40])!r}")
        return filtered

    def _next_response(self) -> Response | None:
        """Return the response, if it is complete."""
        while (event := self._connection.next_event()) is not h11.NEED_DATA:
            if isinstance(event, h11.EndOfMessage) and self._head is not None:
                return Response(self._head.status_code, dict(self._head.headers), bytes(self._body))
            self._process_event(event)
        return None

    def _process_event(self, event: object) -> None:
        """Store a part of the response.

        Raises:
            HttpError: The body exceeds its size limit, or the event is not part of a response.
        """
        if isinstance(event, h11.Response):
            self._head = event
            # An announced length is checked first, so that no oversized body is held in memory.
            self._check_body_length(int(dict(event.headers).get(b"content-length", b"0")))
        elif isinstance(event, h11.Data):
            self._body += event.data
            self._check_body_length(len(self._body))
        elif not isinstance(event, h11.InformationalResponse):
            raise HttpError(f"event is not part of a response: {event!r}")

    def _check_body_length(self, length: int) -> None:
        if length > self._max_body_length:
            raise HttpError(f"response body exceeds {self._max_body_length} bytes")

    def response_started(self) -> bool:
        """Return whether part of the final response, not only a complete informational one, was received.

        An informational response may precede the final one by a long time. An incomplete head counts as part
        of the final response.
        """
        return bool(self._partial_head) or not self._head_pending

    def is_reusable(self) -> bool:
        """Return whether the exchange is complete without trailing bytes, so that a request may follow."""
        complete = self._connection.our_state is self._connection.their_state is h11.DONE
        return complete and not self._connection.trailing_data[0]
