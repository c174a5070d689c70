"""Attempts on cache servers, which speak RESP2."""

from __future__ import annotations

from cache_router.decisions.events import AttemptStatus
from cache_router.net.command import MAX_VALUE, Command
from cache_router.net.connection_pool import ConnectionPool
from cache_router.net.resp import NOT_YET, ErrorLine, Reader, RespError, pack
from cache_router.net.upstream_connection import MalformedResponseError, UpstreamConnection, UpstreamResponse

MAX_ITEMS = 16  # of an answer's three and of whatever stands in a load report's place
MAX_ANSWER = MAX_VALUE + 8192  # the value and what stands round it


class CacheConnection(UpstreamConnection):
    """A connection to a cache server."""

    def __init__(self, pool: ConnectionPool, address: str) -> None:
        super().__init__(pool, address)
        self.reader = Reader(MAX_ITEMS, MAX_VALUE, MAX_ANSWER)

    def encode(self, command: Command, time_left: float) -> bytes:
        parts = [command.verb, command.key, command.request, command.info_for(time_left)]
        if command.value is not None:
            parts.append(command.value)
        return pack(parts)

    def decode(self, data: bytes) -> UpstreamResponse | None:
        self.reader.feed(data)
        try:
            reply = self.reader.next()
        except RespError as e:
            raise MalformedResponseError(str(e)) from e
        # a third item that is no report, or can't be read, does not spoil the value
        match reply:
            case ErrorLine(text):
                status = AttemptStatus.REJECTED if text.split(" ")[0] == "BUSY" else AttemptStatus.ERROR
                return UpstreamResponse(status, load_report=text.rpartition(" ")[2].encode("latin-1"))
            case [bytes() | None as value, bytes() | None, report]:
                load_report = report if isinstance(report, bytes) else b""
                if value is None:
                    return UpstreamResponse(AttemptStatus.MISS, load_report=load_report)
                return UpstreamResponse(AttemptStatus.OK, value, load_report)
        if reply is NOT_YET:
            return None
        raise MalformedResponseError(f"not an answer: {repr(reply)[:80]}")

    def is_reusable(self) -> bool:
        return not self.reader.buffer
