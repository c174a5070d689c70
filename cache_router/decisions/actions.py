"""The actions that the decisions return for an event, and that a host carries out in order.

Actions are plain data. Delays are in seconds.
"""

from dataclasses import dataclass

from cache_router.decisions.events import Timer


@dataclass(slots=True, frozen=True)
class Send:
    """Start an attempt; a request's attempts are numbered from 0 in the order sent."""

    request_id: str
    server: str
    timeout: float | None = None  # seconds; None: until the client's own timeout


@dataclass(slots=True, frozen=True)
class Reject:
    """Final answer: the client may safely send the request again."""

    request_id: str
    retry_after: float = 0.0  # seconds that the client should wait before a retry; 0 is no advice


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: the request may or may not have been executed."""

    request_id: str


@dataclass(slots=True, frozen=True)
class Cancel:
    """Stop waiting for an attempt; the server may still execute it."""

    request_id: str
    attempt_number: int


@dataclass(slots=True, frozen=True)
class CloseIdleConnections:
    """Close the idle connections to a server."""

    server: str


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Request a `TimerFired` of the same timer after a delay."""

    delay: float
    timer: Timer


@dataclass(slots=True, frozen=True)
class SubscribeToEndpoints:
    """Request the endpoint list, and its changes from now on."""


@dataclass(slots=True, frozen=True)
class LogMessage:
    """One line for the operators."""

    message: str


Action = Send | Reject | Fail | Cancel | CloseIdleConnections | SetTimer | SubscribeToEndpoints | LogMessage
