"""Connections to the origin, which speaks HTTP/1.1."""

from __future__ import annotations

from urllib.parse import quote_from_bytes

from cache_router.decisions.events import AttemptStatus
from cache_router.net.command import MAX_VALUE_SIZE, Command
from cache_router.net.http import HttpClient, HttpError, Response
from cache_router.net.upstream_attempt import UpstreamResponse
from cache_router.net.upstream_connection import ConnectionOwner, MalformedResponseError, UpstreamConnection

OK = 200
SERVICE_UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504
# Statuses with which `not-started: 1` states that the origin has not started to process the request.
REJECTING_STATUSES = (SERVICE_UNAVAILABLE, GATEWAY_TIMEOUT)
NOT_STARTED_HEADER = b"not-started"


class OriginConnection(UpstreamConnection):
    """A connection to the origin.

    The body of a response ends by its length or chunks, or else with the regular end of the connection. A
    connection that is reset may have lost a part of the body.
    """

    response_start = b"HTTP/1."

    def __init__(self, owner: ConnectionOwner, address: str, incarnation: object) -> None:
        """Prepare a connection to `address` (`host:port`) that notifies `owner` of its state changes."""
        super().__init__(owner, address, incarnation)
        self._client = HttpClient(address, MAX_VALUE_SIZE)

    def encode(self, command: Command, time_left: float) -> bytes:
        """Encode a GET or PUT of the key's path; its deadline is `time_left` seconds from now."""
        # All characters except unreserved ones are escaped: a key must not name another path or add a query.
        target = "/" + quote_from_bytes(command.key, safe="")
        headers = [(b"Request-Id", command.request_id), (b"Request-Info", command.encode_info(time_left))]
        return self._client.request("PUT" if command.is_write else "GET", target, headers, command.value)

    def decode(self, data: bytes) -> UpstreamResponse | None:
        """Decode received bytes; return the response once it is complete, None before.

        Raises:
            MalformedResponseError: The bytes are not HTTP/1.1, or the response is too large.
        """
        try:
            response = self._client.receive(data)
        except HttpError as error:
            raise MalformedResponseError(str(error)) from error
        return None if response is None else self._outcome_of(response)

    def decode_end(self) -> UpstreamResponse | None:
        """Return the response if its body ends with the connection, None if it is truncated."""
        try:
            response = self._client.receive(b"")
        except HttpError:
            return None
        return None if response is None else self._outcome_of(response)

    @staticmethod
    def _outcome_of(response: Response) -> UpstreamResponse:
        if response.status == OK:
            return UpstreamResponse(AttemptStatus.OK, response.body)
        not_started = response.headers.get(NOT_STARTED_HEADER) == b"1"
        if not_started and response.status in REJECTING_STATUSES:
            return UpstreamResponse(AttemptStatus.REJECTED)
        return UpstreamResponse(AttemptStatus.ERROR)

    def response_started(self) -> bool:
        """Return whether part of the final response, not only of an informational one, was received."""
        return self._client.response_started()

    def is_reusable(self) -> bool:
        """Return whether another request may be sent on this connection."""
        return self._client.is_reusable()
