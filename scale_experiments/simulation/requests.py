"""Requests on their way: what a client wants, a request at a router, and its attempts at servers."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from scale_experiments.simulation.cache_server import CacheServer
    from scale_experiments.simulation.connection import SimulatedConnection
    from scale_experiments.simulation.router import SimulatedRouter
    from scale_experiments.simulation.server import SimulatedServer


@dataclass(slots=True, eq=False)
class ClientRequest:
    """What a client wants, in one request to a router or more."""

    key: str
    is_write: bool
    created_at: float  # seconds, when the client first asked
    requests_sent: int = 0


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request at a router, kept until it is answered and none of its attempts is in flight."""

    request_id: str
    router: SimulatedRouter
    client_request: ClientRequest
    is_answered: bool = False
    is_overdue: bool = False
    attempts_sent: int = 0
    attempts_in_flight: dict[int, Attempt] = field(default_factory=dict)
    missed_at: list[CacheServer] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request at a server; a request's attempts are numbered from 0."""

    request: PendingRequest
    number: int
    server: SimulatedServer
    sent_at: float  # seconds
    connection: SimulatedConnection | None = None
    is_finished: bool = False
    needs_handshake: bool = False  # the server does the work of a handshake with it
