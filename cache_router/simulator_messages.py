"""JSON objects of the simulator's protocol, in both directions.

The simulator sends a batch of messages for one point in time and receives a batch of commands. Keys are those
of the protocol; times and durations are in seconds. These types describe well-formed objects but validate
nothing: reading a missing field raises KeyError.
"""

from __future__ import annotations

from typing import Any, Literal, NotRequired, TypedDict

# Messages of the simulator

# `op` of messages that the adapter handles itself, or reads with the router's settings
ROUTER_STARTED = "Born"
ROUTER_KILLED = "Kill"
ATTEMPT_COMPLETED = "Done"
# `op` of replies to commands that these routers never send
IGNORED_MESSAGES = frozenset(("Pong", "Heard"))


class Message(TypedDict):
    """Fields of every message: its kind, and the router that it is for."""

    op: str
    routerId: int


class RouterStartedMessage(Message):
    """Start of a router."""

    initSeed: int
    conf: object  # settings, which `settings_reader` validates


class EndpointLine(TypedDict):
    """Entry of an endpoint list."""

    server: str
    readiness: str
    generationHw: NotRequired[str | None]  # machine type
    site: NotRequired[str | None]  # zone
    stripe: NotRequired[int | None]  # cell
    weight: NotRequired[float | None]
    since: NotRequired[float | None]  # time at which the server's process started


class MembershipMessage(Message):
    """Complete endpoint list, changed entries of it, or the failure of a poll for it."""

    scope: str
    lines: NotRequired[list[EndpointLine] | None]


class RequestMessage(Message):
    """Arrival of a client's request."""

    ticket: str  # id of the request
    priority: str  # class of the request
    timeBudget: NotRequired[float | None]
    partitionKey: NotRequired[str | None]
    effort: NotRequired[float | None]
    update: NotRequired[bool | None]  # whether the request is a write


class ResponseStartedMessage(Message):
    """Arrival of the first part of an attempt's response."""

    ticket: str
    sendNo: int  # number of the attempt, from 0


class CompletionMessage(Message):
    """End of an attempt."""

    ticket: str
    sendNo: int
    outcome: str
    final: NotRequired[bool | None]  # whether the request has also ended
    lag: NotRequired[float | None]  # latency of the attempt
    telemetry: NotRequired[list[Any] | None]  # values of the load report, in the order of the settings' names


class ClientDisconnectedMessage(Message):
    """Disconnect of the client that sent a request."""

    ticket: str


class TimerMessage(Message):
    """Expiry of a timer."""

    ctx: str


# Commands to the simulator

SETTINGS_REJECTED = "InternalError"  # `op` of the command that replies to invalid settings


class Command(TypedDict):
    """Fields of every command; the adapter adds the router's id."""

    op: str
    routerId: NotRequired[int]


class SendCommand(Command):
    """Start an attempt."""

    ticket: str
    server: str
    timeout: NotRequired[float]


class RejectCommand(Command):
    """Reject a request, which the client may safely send again."""

    ticket: str
    coolDown: NotRequired[float]  # Retry-After


class FailCommand(Command):
    """Fail a request, which may have been executed."""

    ticket: str


class CancelCommand(Command):
    """Cancel an attempt."""

    ticket: str
    sendNo: int


class CloseIdleCommand(Command):
    """Close the idle connections to a server."""

    server: str


class TimerCommand(Command):
    """Set a timer; its context is sent back in a `TimerMessage`."""

    fromNow: float
    ctx: str


class SubscribeCommand(Command):
    """Subscribe to changes of the endpoint list."""

    enable: Literal[True]


class LogCommand(Command):
    """Log a line: a message for the operators, or an error in the settings."""

    line: str
