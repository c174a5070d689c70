"""Actions that the decisions return for an event; the host executes them in order.

Actions are immutable records. Delays are in seconds.
"""

from dataclasses import dataclass

from cache_router.decisions.events import Timer


@dataclass(slots=True, frozen=True)
class Send:
    """Start an attempt at a server; the attempts of a request are numbered from 0 in the order sent."""

    request_id: str
    server: str
    timeout: float | None = None  # seconds; None if only the client timeout applies


@dataclass(slots=True, frozen=True)
class Reject:
    """Final answer: the client may safely send the request again."""

    request_id: str
    retry_after: float = 0.0  # seconds that the client should wait before a retry; 0 omits Retry-After


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
    """Request a `TimerFired` event with the same timer after `delay`."""

    delay: float
    timer: Timer


@dataclass(slots=True, frozen=True)
class SubscribeToEndpoints:
    """Request the endpoint list and its later changes."""


@dataclass(slots=True, frozen=True)
class LogMessage:
    """Write a line to the log."""

    message: str


Action = Send | Reject | Fail | Cancel | CloseIdleConnections | SetTimer | SubscribeToEndpoints | LogMessage
