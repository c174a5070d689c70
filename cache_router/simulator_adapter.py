"""Hosts routers on the JSON wire: translates both ways and decides nothing."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any

import orjson

from cache_router.decisions.actions import (
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
    TimerFired,
)
from cache_router.decisions.router import Router
from cache_router.endpoint import Endpoint, EndpointState
from cache_router.errors import RouterError
from cache_router.settings import SettingsError
from cache_router.settings_reader import read_load, read_settings

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


class WireError(RouterError, ValueError):
    """A line of the simulator that is malformed; `where` is its batch or the event in it."""


def read_endpoint(e: dict[str, Any]) -> Endpoint:
    """One line of a list."""
    return Endpoint(
        name=e["server"],
        state=ENDPOINT_STATES[e["readiness"]],
        kind=e.get("generationHw") or "",
        zone=e.get("site") or "",
        cell=e.get("stripe") or 0,
        weight=max(0.0, e.get("weight") or 0.0),
        started_at=e.get("since") or 0.0,
    )


def read_endpoint_update(e: dict[str, Any]) -> Event:
    """News of the list."""
    return EndpointUpdate(UPDATE_KINDS[e["scope"]], tuple(map(read_endpoint, e.get("lines") or ())))


def read_request(e: dict[str, Any]) -> Event:
    """A client's request; a budget of nothing is kept as 0."""
    return Request(
        e["ticket"],
        e["priority"],
        max(0.0, float(e.get("timeBudget") or 0.0)),
        e.get("partitionKey"),
        e.get("effort"),
        bool(e.get("update")),
    )


def read_attempt_completed(e: dict[str, Any], report: tuple[str, ...]) -> Event:
    """The end of an attempt."""
    load = read_load(dict(zip(report, e.get("telemetry") or (), strict=False)))
    status = ATTEMPT_STATUSES[e["outcome"]]
    return AttemptCompleted(e["ticket"], e["sendNo"], status, bool(e.get("final")), e.get("lag") or 0.0, load)


EVENT_READERS: dict[str, Callable[[dict[str, Any]], Event]] = {
    "Membership": read_endpoint_update,
    "Request": read_request,
    "Begun": lambda e: ResponseStarted(e["ticket"], e["sendNo"]),
    "Aborted": lambda e: ClientDisconnected(e["ticket"]),
    "Wake": lambda e: TimerFired(e["ctx"]),
}
IGNORED_EVENTS = {"Pong", "Heard"}  # answers to things no router here asks for


def write_send(a: Send) -> dict[str, Any]:
    """A new attempt."""
    if a.timeout is None:
        return {"op": "Send", "ticket": a.request_id, "server": a.server}
    return {"op": "Send", "ticket": a.request_id, "server": a.server, "timeout": a.timeout}


def write_reject(a: Reject) -> dict[str, Any]:
    """A refusal, with advice if there is any."""
    advice = {"coolDown": a.retry_after} if a.retry_after else {}
    return {"op": "Reject", "ticket": a.request_id, **advice}


ACTION_WRITERS: dict[type, Callable[[Any], dict[str, Any]]] = {
    Send: write_send,
    Reject: write_reject,
    Fail: lambda a: {"op": "GiveUp", "ticket": a.request_id},
    Cancel: lambda a: {"op": "Cancel", "ticket": a.request_id, "sendNo": a.attempt_number},
    CloseIdleConnections: lambda a: {"op": "LetGo", "server": a.server},
    SetTimer: lambda a: {"op": "Timer", "fromNow": a.delay, "ctx": a.token},
    SubscribeToEndpoints: lambda a: {"op": "Listen", "enable": True},
    LogMessage: lambda a: {"op": "Record", "line": a.message},
}


class SimulatorAdapter:
    """One router for each instance number; nothing is shared between them."""

    def __init__(self) -> None:
        self.routers: dict[int, Router] = {}

    def handle_line(self, line: bytes) -> bytes:
        """Answer one line of the wire."""
        try:
            message = orjson.loads(line)
            now, news = float(message["t"]), message["news"]
            if not isinstance(news, list):
                raise TypeError("news is not a list")
        except (orjson.JSONDecodeError, KeyError, TypeError, ValueError) as e:
            raise WireError(f"not a batch: {e!r}", where="batch") from e
        commands: list[dict[str, Any]] = []
        for event in news:
            self.handle_event(now, event, commands)
        return orjson.dumps({"cmds": commands}) + b"\n"

    def handle_event(self, now: float, event: Any, commands: list[dict[str, Any]]) -> None:
        """Hand one event to its router and append the actions in wire form."""
        try:
            op, router_id = event["op"], event["routerId"]
            if op == "Born":
                self.routers[router_id] = Router(read_settings(event["conf"]), event["initSeed"], now)
                return
            if op == "Kill":
                self.routers.pop(router_id, None)
                return
            if op in IGNORED_EVENTS:
                return
            router = self.routers.get(router_id)
            report = router.settings.load_report_fields if router is not None else ()
            read = read_attempt_completed(event, report) if op == "Done" else EVENT_READERS[op](event)
        except SettingsError as e:
            print(f"cache_router: {e}", file=sys.stderr)
            commands.append({"op": "InternalError", "routerId": router_id, "line": str(e)})
            return
        except (KeyError, TypeError, ValueError, AttributeError) as e:
            raise WireError(f"malformed event: {e!r} in {str(event)[:200]}", where="event") from e
        if router is None:
            return
        for action in router.handle(now, read):
            command = ACTION_WRITERS[type(action)](action)
            command["routerId"] = router_id
            commands.append(command)


def main() -> int:
    """Answer line by line until the end of input."""
    adapter = SimulatorAdapter()
    for line in sys.stdin.buffer:
        try:
            reply = adapter.handle_line(line)
        except WireError as e:
            print(f"cache_router: {e}", file=sys.stderr)
            return 2
        sys.stdout.buffer.write(reply)
        sys.stdout.buffer.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
