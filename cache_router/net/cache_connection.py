"""Connections to cache servers, which speak RESP2.

A request is an array: the verb, the key, the request's id, its info fields and, for a write, the value. A
response is either an array (the value, which is null for a miss; a text; the server's load report) or an
error line, whose first word is `BUSY` if the server rejected the request.
"""

from __future__ import annotations

from cache_router.decisions.events import AttemptStatus
from cache_router.net.command import MAX_VALUE_SIZE, Command
from cache_router.net.resp import INCOMPLETE, ErrorReply, RespError, RespReader, encode_command
from cache_router.net.upstream_attempt import UpstreamResponse
from cache_router.net.upstream_connection import ConnectionOwner, MalformedResponseError, UpstreamConnection

# Maximum number of items of one array. A response has three items; the third may be an array.
MAX_RESPONSE_ITEMS = 16
# Maximum size of a response in bytes: the largest value, and room for the other items.
MAX_RESPONSE_SIZE = MAX_VALUE_SIZE + 8192
# First word of the error line with which a server rejects a request.
BUSY = "BUSY"


class CacheConnection(UpstreamConnection):
    """A connection to a cache server."""

    response_start = b"*3\r\n$"

    def __init__(self, owner: ConnectionOwner, address: str, incarnation: object) -> None:
        """Prepare a connection to `address` (`host:port`) that notifies `owner` of its state changes."""
        super().__init__(owner, address, incarnation)
        self._reader = RespReader(MAX_RESPONSE_ITEMS, MAX_VALUE_SIZE, MAX_RESPONSE_SIZE)

    def encode(self, command: Command, time_left: float) -> bytes:
        """Encode a request as an array of bulk strings; its deadline is `time_left` seconds from now."""
        parts = [command.verb, command.key, command.request_id, command.encode_info(time_left)]
        if command.value is not None:
            parts.append(command.value)
        return encode_command(parts)

    def decode(self, data: bytes) -> UpstreamResponse | None:
        """Decode received bytes; return the response once it is complete, None before.

        Raises:
            MalformedResponseError: The bytes are not RESP2, or the message is too large or not a response.
        """
        self._reader.feed(data)
        try:
            message = self._reader.next()
        except RespError as error:
            raise MalformedResponseError(str(error)) from error
        match message:
            case ErrorReply(text):
                # The last word of the error line is the load report, if it has one.
                load_report = text.rpartition(" ")[2].encode("latin-1")
                status = AttemptStatus.REJECTED if text.split(" ")[0] == BUSY else AttemptStatus.ERROR
                return UpstreamResponse(status, load_report=load_report)
            case [bytes() | None as value, bytes() | None, report]:
                # The value is used even if the third item is not a valid load report.
                load_report = report if isinstance(report, bytes) else b""
                if value is None:
                    return UpstreamResponse(AttemptStatus.MISS, load_report=load_report)
                return UpstreamResponse(AttemptStatus.OK, value, load_report)
        if message is INCOMPLETE:
            return None
        raise MalformedResponseError(f"not a response: {repr(message)[:80]}")

    def is_reusable(self) -> bool:
        """Return whether no bytes follow the response."""
        return self._reader.is_empty()
