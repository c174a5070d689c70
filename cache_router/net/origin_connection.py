"""Connections to the origin, which speaks HTTP/1.1."""

from __future__ import annotations

from urllib.parse import quote_from_bytes

from cache_router.decisions.events import AttemptStatus
from cache_router.net.command import MAX_VALUE, Command
from cache_router.net.http import HttpClient, HttpError
from cache_router.net.upstream_attempt import UpstreamResponse
from cache_router.net.upstream_connection import ConnectionOwner, MalformedResponseError, UpstreamConnection

OK = 200
SERVICE_UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504
# statuses with which this header may state that the origin has not started on a request
REJECTING_STATUSES = (SERVICE_UNAVAILABLE, GATEWAY_TIMEOUT)
NOT_STARTED_HEADER = b"not-started"


class OriginConnection(UpstreamConnection):
    """A connection to the origin.

    The origin announces the length of a body. A body that ends with its connection may have been cut off, and
    is not accepted.
    """

    def __init__(self, owner: ConnectionOwner, address: str, incarnation: object) -> None:
        """Prepare a connection to `address` (`host:port`), whose states are reported to `owner`."""
        super().__init__(owner, address, incarnation)
        self._client = HttpClient(address, MAX_VALUE)

    def encode(self, command: Command, time_left: float) -> bytes:
        """Encode a request: GET or PUT of the key's path; `time_left` is in seconds."""
        # all but unreserved characters are escaped: a key could otherwise name another path, or add a query
        target = "/" + quote_from_bytes(command.key, safe="")
        headers = [(b"Request-Id", command.request_id), (b"Request-Info", command.encode_info(time_left))]
        return self._client.request("PUT" if command.is_write else "GET", target, headers, command.value)

    def decode(self, data: bytes) -> UpstreamResponse | None:
        """Take bytes of a response, and return the response once it is complete.

        Raises:
            MalformedResponseError: The bytes are not HTTP/1.1, or the response is too large.
        """
        try:
            response = self._client.receive(data)
        except HttpError as error:
            raise MalformedResponseError(str(error)) from error
        if response is None:
            return None
        if response.status == OK:
            return UpstreamResponse(AttemptStatus.OK, response.body)
        not_started = response.headers.get(NOT_STARTED_HEADER) == b"1"
        if not_started and response.status in REJECTING_STATUSES:
            return UpstreamResponse(AttemptStatus.REJECTED)
        return UpstreamResponse(AttemptStatus.ERROR)

    def response_started(self) -> bool:
        """Return whether a part of the response has come: informational ones may long precede it."""
        return self._client.response_started()

    def is_reusable(self) -> bool:
        """Return whether another request may follow on this connection."""
        return self._client.is_reusable()
