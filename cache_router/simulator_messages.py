"""The JSON objects of the simulator's wire, in both directions.

The simulator sends a batch of messages for one moment and receives a batch of commands. Keys are those of the
wire; times and durations are in seconds. These types describe well-formed objects and check nothing: the
reading of a missing field raises KeyError.
"""

from __future__ import annotations

from typing import Any, Literal, NotRequired, TypedDict

# Messages of the simulator

# `op` of the messages that the adapter handles by itself, or with the settings of the router
ROUTER_STARTED = "Born"
ROUTER_KILLED = "Kill"
ATTEMPT_COMPLETED = "Done"
# `op` of replies to commands that no router here gives
IGNORED_MESSAGES = frozenset(("Pong", "Heard"))


class Message(TypedDict):
    """What every message has: its kind, and the router that it is for."""

    op: str
    routerId: int


class RouterStartedMessage(Message):
    """A router starts."""

    initSeed: int
    conf: object  # the settings, which `settings_reader` checks


class EndpointLine(TypedDict):
    """One entry of an endpoint list."""

    server: str
    readiness: str
    generationHw: NotRequired[str | None]  # type of machine
    site: NotRequired[str | None]  # zone
    stripe: NotRequired[int | None]  # cell
    weight: NotRequired[float | None]
    since: NotRequired[float | None]  # start of the server's process


class MembershipMessage(Message):
    """An endpoint list, its changed entries, or the failure to get any."""

    scope: str
    lines: NotRequired[list[EndpointLine] | None]


class RequestMessage(Message):
    """A client's request."""

    ticket: str  # the request's id
    priority: str  # the request's class
    timeBudget: NotRequired[float | None]
    partitionKey: NotRequired[str | None]
    effort: NotRequired[float | None]
    update: NotRequired[bool | None]  # whether it is a write


class ResponseStartedMessage(Message):
    """The first part of an attempt's answer."""

    ticket: str
    sendNo: int  # the attempt's number, from 0


class CompletionMessage(Message):
    """The end of an attempt."""

    ticket: str
    sendNo: int
    outcome: str
    final: NotRequired[bool | None]  # whether the request has ended as well
    lag: NotRequired[float | None]  # latency
    telemetry: NotRequired[list[Any] | None]  # values of the load report, in the order of the settings' names


class ClientDisconnectedMessage(Message):
    """A client has closed its connection."""

    ticket: str


class TimerMessage(Message):
    """A timer is due."""

    ctx: str


# Commands to the simulator

SETTINGS_REJECTED = "InternalError"  # `op` of the command that replies to settings that cannot be used


class Command(TypedDict):
    """What every command has; the adapter adds the router."""

    op: str
    routerId: NotRequired[int]


class SendCommand(Command):
    """Start an attempt."""

    ticket: str
    server: str
    timeout: NotRequired[float]


class RejectCommand(Command):
    """Reject a request, which the client may repeat."""

    ticket: str
    coolDown: NotRequired[float]  # Retry-After


class FailCommand(Command):
    """Answer a request with a failure; it may have been carried out."""

    ticket: str


class CancelCommand(Command):
    """Cancel an attempt."""

    ticket: str
    sendNo: int


class CloseIdleCommand(Command):
    """Close the idle connections to a server."""

    server: str


class TimerCommand(Command):
    """Set a timer, whose context comes back in a `TimerMessage`."""

    fromNow: float
    ctx: str


class SubscribeCommand(Command):
    """Subscribe to changes of the endpoint list."""

    enable: Literal[True]


class LogCommand(Command):
    """Log a line: a message for the operators, or an error of the settings."""

    line: str
