"""Converts the simulator's JSON objects into events for the decisions, and their actions into JSON objects.

`simulator_messages.py` describes these objects. An absent field and a null field mean the same.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from cache_router.decisions.actions import (
    Action,
    Cancel,
    CloseIdleConnections,
    Fail,
    LogMessage,
    Reject,
    Send,
    SetTimer,
    SubscribeToEndpoints,
)
from cache_router.decisions.events import (
    AttemptCompleted,
    AttemptStatus,
    ClientDisconnected,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    Request,
    ResponseStarted,
    Timer,
    TimerFired,
    TimerKind,
)
from cache_router.endpoint import Endpoint, EndpointState, bounded_weight
from cache_router.load_report import load_report_from_values
from cache_router.simulator_messages import (
    CancelCommand,
    ClientDisconnectedMessage,
    CloseIdleCommand,
    Command,
    CompletionMessage,
    EndpointLine,
    FailCommand,
    LogCommand,
    MembershipMessage,
    RejectCommand,
    RequestMessage,
    ResponseStartedMessage,
    SendCommand,
    SubscribeCommand,
    TimerCommand,
    TimerMessage,
)

ENDPOINT_STATES = {
    "active": EndpointState.READY,
    "leaving": EndpointState.DRAINING,
    "left": EndpointState.REMOVED,
}
UPDATE_KINDS = {
    "INCREMENTAL": EndpointUpdateKind.DELTA,
    "FULL": EndpointUpdateKind.SNAPSHOT,
    "SAVED": EndpointUpdateKind.CACHED,
    "FAILED": EndpointUpdateKind.FAILED,
}
ATTEMPT_STATUSES = {
    "delivered": AttemptStatus.OK,
    "app_error": AttemptStatus.ERROR,
    "shed": AttemptStatus.REJECTED,
    "expired": AttemptStatus.TIMEOUT,
    "dial_failed": AttemptStatus.CONNECT_FAILED,
    "dropped": AttemptStatus.RESET,
    "revoked": AttemptStatus.CANCELLED,
    "unused": AttemptStatus.NOT_SENT,
    "empty": AttemptStatus.MISS,
}
TIMER_KINDS = {kind.value: kind for kind in TimerKind}


# Events


def read_endpoint(line: EndpointLine) -> Endpoint:
    """Convert an entry of an endpoint list."""
    return Endpoint(
        name=line["server"],
        state=ENDPOINT_STATES[line["readiness"]],
        kind=line.get("generationHw") or "",
        zone=line.get("site") or "",
        cell=line.get("stripe") or 0,
        weight=bounded_weight(line.get("weight") or 0.0),
        started_at=line.get("since") or 0.0,
    )


def read_endpoint_update(message: MembershipMessage) -> EndpointUpdate:
    """Convert a complete endpoint list, changed entries of it, or the failure of a poll for it."""
    kind = UPDATE_KINDS[message["scope"]]
    return EndpointUpdate(kind, tuple(map(read_endpoint, message.get("lines") or ())))


def read_request(message: RequestMessage) -> Request:
    """Convert a client's request; an absent or negative time budget is read as 0."""
    return Request(
        request_id=message["ticket"],
        request_class=message["priority"],
        time_left=max(0.0, float(message.get("timeBudget") or 0.0)),
        key=message.get("partitionKey"),
        cost_hint=message.get("effort"),
        is_write=bool(message.get("update")),
    )


def read_response_started(message: ResponseStartedMessage) -> ResponseStarted:
    """Convert the arrival of the first part of a response."""
    return ResponseStarted(message["ticket"], message["sendNo"])


def read_attempt_completed(
    message: CompletionMessage, load_report_fields: tuple[str, ...]
) -> AttemptCompleted:
    """Convert the end of an attempt; `load_report_fields` names the values of its load report in order."""
    load_report = load_report_from_values(
        dict(zip(load_report_fields, message.get("telemetry") or (), strict=False))
    )
    status = ATTEMPT_STATUSES[message["outcome"]]
    return AttemptCompleted(
        request_id=message["ticket"],
        attempt_number=message["sendNo"],
        status=status,
        request_closed=bool(message.get("final")),
        latency=message.get("lag") or 0.0,
        load_report=load_report,
    )


def read_client_disconnected(message: ClientDisconnectedMessage) -> ClientDisconnected:
    """Convert the disconnect of a client."""
    return ClientDisconnected(message["ticket"])


def read_timer(context: str) -> Timer | None:
    """Return the timer of a context that `write_timer` returned; None for any other context."""
    kind, _, numbered_target = context.partition(":")
    serial, _, target = numbered_target.partition(":")
    if kind not in TIMER_KINDS or not serial.isdecimal():
        return None
    return Timer(TIMER_KINDS[kind], target, int(serial))


def read_timer_fired(message: TimerMessage) -> TimerFired | None:
    """Convert the expiry of a timer; None if its context is unknown."""
    timer = read_timer(message["ctx"])
    return TimerFired(timer) if timer is not None else None


# Readers by `op`, except for ATTEMPT_COMPLETED, whose reader also needs the settings of the router.
EVENT_READERS: dict[str, Callable[[Any], Event | None]] = {
    "Membership": read_endpoint_update,
    "Request": read_request,
    "Begun": read_response_started,
    "Aborted": read_client_disconnected,
    "Wake": read_timer_fired,
}

# Actions


def write_send(action: Send) -> SendCommand:
    """Convert the start of an attempt; without a timeout, its field is omitted."""
    command: SendCommand = {"op": "Send", "ticket": action.request_id, "server": action.server}
    if action.timeout is not None:
        command["timeout"] = action.timeout
    return command


def write_reject(action: Reject) -> RejectCommand:
    """Convert a rejection; without a time to wait before a retry, its field is omitted."""
    command: RejectCommand = {"op": "Reject", "ticket": action.request_id}
    if action.retry_after:
        command["coolDown"] = action.retry_after
    return command


def write_fail(action: Fail) -> FailCommand:
    """Convert a failure, which leaves open whether the request was executed."""
    return {"op": "GiveUp", "ticket": action.request_id}


def write_cancel(action: Cancel) -> CancelCommand:
    """Convert the cancellation of an attempt."""
    return {"op": "Cancel", "ticket": action.request_id, "sendNo": action.attempt_number}


def write_close_idle_connections(action: CloseIdleConnections) -> CloseIdleCommand:
    """Convert the action that closes the idle connections to a server."""
    return {"op": "LetGo", "server": action.server}


def write_timer(timer: Timer) -> str:
    """Return the context of a timer: its kind, serial number and target, separated by colons."""
    return f"{timer.kind.value}:{timer.serial}:{timer.target}"


def write_set_timer(action: SetTimer) -> TimerCommand:
    """Convert the setting of a timer; the simulator sends its context back when it is due."""
    return {"op": "Timer", "fromNow": action.delay, "ctx": write_timer(action.timer)}


def write_subscribe(_: SubscribeToEndpoints) -> SubscribeCommand:
    """Convert a subscription to endpoint updates."""
    return {"op": "Listen", "enable": True}


def write_log_message(action: LogMessage) -> LogCommand:
    """Convert a log line for the operators."""
    return {"op": "Record", "line": action.message}


ACTION_WRITERS: dict[type[Action], Callable[[Any], Command]] = {
    Send: write_send,
    Reject: write_reject,
    Fail: write_fail,
    Cancel: write_cancel,
    CloseIdleConnections: write_close_idle_connections,
    SetTimer: write_set_timer,
    SubscribeToEndpoints: write_subscribe,
    LogMessage: write_log_message,
}
