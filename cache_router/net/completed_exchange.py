"""The last exchange on a connection, by which a second response to its request is recognized.

A server may send a second copy of a response until it reads the next request of the connection. The copy may
arrive after the router has written that request, in the place of its response, and responses have no request
ids. But values and receipts are made for one request: a copy is recognized by its value. Where two responses
could be equal without being copies, the connection is not reused. A copy that is cut off is completed by the
next response, and recognized by its first part.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Self

from cache_router.decisions.events import AttemptStatus
from cache_router.net.command import Command
from cache_router.net.upstream_attempt import UpstreamResponse
from cache_router.net.value_fingerprint import ValueFingerprint


@dataclass(slots=True, frozen=True)
class CompletedExchange:
    """A request that was sent on a connection, and what is kept of its response."""

    key: bytes
    is_write: bool
    status: AttemptStatus
    load_report: bytes
    value: ValueFingerprint

    @classmethod
    def of(cls, command: Command, response: UpstreamResponse) -> Self:
        """Return the exchange of a request and its complete response."""
        value = ValueFingerprint.of(response.value)
        return cls(command.key, command.is_write, response.status, response.load_report, value)

    def may_precede(self, command: Command, is_idempotent: bool) -> bool:
        """Return whether a copy of this exchange's response does no harm in the place of that to `command`.

        A copied value is recognized, except that two reads of a key may have equal values, and two writes
        equal receipts. A copied miss or rejection is not recognized: it would seem to prove that the request
        was not executed. For an idempotent request it only causes another attempt.
        """
        if self.status is not AttemptStatus.OK:
            return is_idempotent
        return command.key != self.key and not (command.is_write and self.is_write)

    def is_repeated_by(self, response: UpstreamResponse) -> bool:
        """Return whether a response to a later request has the value of this one: it is a copy of it."""
        return self._both_have_values(response) and self.value.matches(response.value)

    def is_cut_off_in(self, response: UpstreamResponse, response_start: bytes) -> bool:
        """Return whether a response to a later request begins as a copy of this one that is cut off.

        `response_start` is what all responses of the protocol begin with.
        """
        if not self._both_have_values(response):
            return False
        return self.value.matches_cut_copy(response.value, response_start)

    def _both_have_values(self, response: UpstreamResponse) -> bool:
        return self.status is AttemptStatus.OK and response.status is AttemptStatus.OK

    def may_be_repeated_by(self, response: UpstreamResponse) -> bool:
        """Return whether a response without a value may be a copy of this one.

        Two misses may well be equal, so that the response is used. But if it is a copy, the real response is
        still to come, and would be taken for that to the next request on the connection.
        """
        if response.status is AttemptStatus.OK:
            return False
        return response.status is self.status and response.load_report == self.load_report
