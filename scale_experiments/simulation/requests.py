"""State of requests: a client's request, a request at a router, and its attempts at servers."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from cache_router.decisions.events import AttemptStatus, LoadReport
from scale_experiments.simulation.connection import SimulatedConnection
from scale_experiments.simulation.errors import DuplicateAnswerError
from scale_experiments.simulation.network import Location


class AttemptSender(Protocol):
    """Interface of the router through which a server returns the result of an attempt."""

    @property
    def location(self) -> Location:
        """Zone and region of the router."""

    def close_connection(self, attempt: Attempt) -> None:
        """Close the connection that an attempt was sent on, if there is one."""

    def receive_response(self, attempt: Attempt, status: AttemptStatus, load_report: LoadReport) -> None:
        """Receive the response to an attempt from a cache server."""

    def finish(self, attempt: Attempt, status: AttemptStatus, load_report: LoadReport | None = None) -> None:
        """Finish an attempt and report its result, unless it is finished already."""


@dataclass(slots=True, eq=False)
class ClientRequest:
    """A read or write of a client, which sends one or more requests to a router for it."""

    key: str
    is_write: bool
    created_at: float  # time in seconds at which the client made it
    requests_sent: int = 0

    def mark_sent(self) -> None:
        """Count one more request that the client sent to a router."""
        self.requests_sent += 1


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request at a router, kept until it is answered and none of its attempts is in flight."""

    request_id: str
    sender: AttemptSender
    client_request: ClientRequest
    is_answered: bool = False
    is_overdue: bool = False
    attempts_sent: int = 0
    attempts_in_flight: dict[int, Attempt] = field(default_factory=dict)  # attempts by number
    caches_without_key: list[str] = field(default_factory=list)  # names of cache servers that lack the key

    @property
    def is_done(self) -> bool:
        """Whether the request is answered and none of its attempts is in flight."""
        return self.is_answered and not self.attempts_in_flight

    def start_attempt(self, server_name: str, now: float) -> Attempt:
        """Add the next attempt, which goes to this server."""
        attempt = Attempt(self, self.attempts_sent, server_name, now)
        self.attempts_sent += 1
        self.attempts_in_flight[attempt.number] = attempt
        return attempt

    def mark_answered(self) -> None:
        """Record that the request has its final answer.

        Raises:
            DuplicateAnswerError: if the request already has a final answer.
        """
        if self.is_answered:
            raise DuplicateAnswerError(self.request_id)
        self.is_answered = True

    def mark_overdue(self) -> None:
        """Record that the request's deadline has passed."""
        self.is_overdue = True

    def mark_missed(self, server_name: str) -> None:
        """Record that a cache server does not have the key."""
        self.caches_without_key.append(server_name)


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request at a server; a request's attempts are numbered from 0."""

    request: PendingRequest
    number: int
    server_name: str
    sent_at: float  # time in seconds
    connection: SimulatedConnection | None = None
    is_finished: bool = False
    needs_handshake: bool = False  # the server spends core time on a handshake before it serves the attempt

    @property
    def sender(self) -> AttemptSender:
        """The interface of the router that sent the attempt."""
        return self.request.sender

    def use_connection(self, connection: SimulatedConnection) -> None:
        """Record the connection that carries the attempt."""
        self.connection = connection

    def mark_handshake(self) -> None:
        """Record that the attempt is the first one on a new connection."""
        self.needs_handshake = True

    def mark_finished(self) -> None:
        """Record that the attempt is finished and no longer in flight."""
        self.is_finished = True
        del self.request.attempts_in_flight[self.number]
