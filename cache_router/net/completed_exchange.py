"""The last exchange on a connection, by which a second response to its request is recognized.

A server may send a second copy of a response until it reads the next request of the connection. The copy may
arrive after the router has written that request, in the place of its response, and responses have no request
ids. But values and receipts are made for one request: a copy is recognized by its value. Where two responses
could be equal without being copies, the connection is not reused.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Self

from cache_router.decisions.events import AttemptStatus
from cache_router.net.command import Command
from cache_router.net.upstream_attempt import UpstreamResponse


@dataclass(slots=True, frozen=True)
class CompletedExchange:
    """A request that was sent on a connection, and what is kept of its response."""

    key: bytes
    is_write: bool
    status: AttemptStatus
    value_hash: int  # in place of the value, which may have 64 KiB

    @classmethod
    def of(cls, command: Command, response: UpstreamResponse) -> Self:
        """Return the exchange of a request and its complete response."""
        return cls(command.key, command.is_write, response.status, hash(response.value))

    def may_precede(self, command: Command) -> bool:
        """Return whether a copy of this exchange's response can be told from the response to `command`.

        Two reads of a key may have equal values, and two writes equal receipts. A copied rejection would seem
        to prove that a write was not executed; for a read, it only causes another attempt.
        """
        is_ok = self.status is AttemptStatus.OK
        if command.is_write:
            return is_ok and not self.is_write
        return not is_ok or command.key != self.key

    def is_repeated_by(self, response: UpstreamResponse) -> bool:
        """Return whether a response to a later request has the value of this one: it is a copy of it."""
        is_ok = self.status is response.status is AttemptStatus.OK
        return is_ok and self.value_hash == hash(response.value)
