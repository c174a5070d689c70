"""Connections to cache servers, which speak RESP2.

A request is an array of the verb, the key, the request's id, its info fields and, for a write, the value. The
response is an array of the value (null for a miss), a text, and the server's load report; or an error line,
whose first word is `BUSY` if the server rejected the request.
"""

from __future__ import annotations

from cache_router.decisions.events import AttemptStatus
from cache_router.net.command import MAX_VALUE, Command
from cache_router.net.resp import INCOMPLETE, ErrorReply, RespError, RespReader, encode_command
from cache_router.net.upstream_attempt import UpstreamResponse
from cache_router.net.upstream_connection import ConnectionOwner, MalformedResponseError, UpstreamConnection

# items of a response and of its parts: a response has three, but its third item may be an array
MAX_RESPONSE_ITEMS = 16
# bytes of a response: the value and everything else
MAX_RESPONSE_SIZE = MAX_VALUE + 8192
# first word of the error line with which a server rejects a request
BUSY = "BUSY"


class CacheConnection(UpstreamConnection):
    """A connection to a cache server."""

    def __init__(self, owner: ConnectionOwner, address: str, incarnation: object) -> None:
        """Prepare a connection to `address` (`host:port`), whose states are reported to `owner`."""
        super().__init__(owner, address, incarnation)
        self._reader = RespReader(MAX_RESPONSE_ITEMS, MAX_VALUE, MAX_RESPONSE_SIZE)

    def encode(self, command: Command, time_left: float) -> bytes:
        """Encode a request as an array of bulk strings; `time_left` is in seconds."""
        parts = [command.verb, command.key, command.request_id, command.encode_info(time_left)]
        if command.value is not None:
            parts.append(command.value)
        return encode_command(parts)

    def decode(self, data: bytes) -> UpstreamResponse | None:
        """Take bytes of a response, and return the response once it is complete.

        Raises:
            MalformedResponseError: The bytes are not RESP2, are too many, or are no response to a request.
        """
        self._reader.feed(data)
        try:
            message = self._reader.next()
        except RespError as error:
            raise MalformedResponseError(str(error)) from error
        match message:
            case ErrorReply(text):
                # the load report is the last word, where there is one
                load_report = text.rpartition(" ")[2].encode("latin-1")
                status = AttemptStatus.REJECTED if text.split(" ")[0] == BUSY else AttemptStatus.ERROR
                return UpstreamResponse(status, load_report=load_report)
            case [bytes() | None as value, bytes() | None, report]:
                # the value is used even if the third item is no report, or can't be read
                load_report = report if isinstance(report, bytes) else b""
                if value is None:
                    return UpstreamResponse(AttemptStatus.MISS, load_report=load_report)
                return UpstreamResponse(AttemptStatus.OK, value, load_report)
        if message is INCOMPLETE:
            return None
        raise MalformedResponseError(f"not a response: {repr(message)[:80]}")

    def is_reusable(self) -> bool:
        """Return whether nothing came after the response."""
        return self._reader.is_empty()
