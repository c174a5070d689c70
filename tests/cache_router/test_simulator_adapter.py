"""The simulator's adapter: every event and action in wire format, and malformed input."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from cache_router import simulator_wire
from cache_router.simulator_adapter import SimulatorAdapter, WireError
from tests.support.settings_json import SETTINGS_JSON

ROOT = Path(__file__).parents[2]
ROUTER_ID = 3


def endpoint_line(server: str, kind: str = "std", **fields: Any) -> dict[str, Any]:
    """Return one entry of an endpoint list in wire format."""
    base = {"generationHw": kind, "since": None, "readiness": "active", "site": "z", "stripe": 0}
    return {**base, "server": server, "weight": 1.0, **fields}


def endpoint_update(scope: str, generation: int, lines: list[dict[str, Any]] | None) -> dict[str, Any]:
    """Return an endpoint update, or the failure of a poll for one, in wire format."""
    return {"op": "Membership", "scope": scope, "generation": generation, "lines": lines}


def handle_events(adapter: SimulatorAdapter, now: float, *events: dict[str, Any]) -> list[dict[str, Any]]:
    """Pass events to a router at `now`, in seconds; return its commands without the router's id."""
    line = json.dumps({"t": now, "news": [{"routerId": ROUTER_ID, **event} for event in events]}).encode()
    commands = json.loads(adapter.handle_line(line))["cmds"]
    assert {command.pop("routerId") for command in commands} <= {ROUTER_ID}
    return list(commands)


def started_adapter(**changes: Any) -> SimulatorAdapter:
    """Return an adapter with one router, whose cached list has one cache server and the origin.

    The settings are `SETTINGS_JSON` with `changes`.
    """
    adapter = SimulatorAdapter()
    lines = [endpoint_line("a"), endpoint_line("o", "store")]
    commands = handle_events(
        adapter,
        1.0,
        {"op": "Born", "initSeed": 5, "conf": {**SETTINGS_JSON, **changes}},
        endpoint_update("SAVED", 1, lines),
    )
    assert commands == ([{"op": "Listen", "enable": True}] if not changes else commands)
    return adapter


def request_event(name: str, **fields: Any) -> dict[str, Any]:
    """Return the arrival of a request in wire format."""
    base = {"op": "Request", "ticket": name, "priority": "read", "timeBudget": 1.0, "partitionKey": "k"}
    return {**base, "userGroup": None, "effort": None, "retry": False, "update": False, **fields}


def completion_event(name: str, number: int, outcome: str, final: bool = False) -> dict[str, Any]:
    """Return the end of an attempt in wire format."""
    base = {"op": "Done", "ticket": name, "sendNo": number, "outcome": outcome, "final": final, "lag": 0.01}
    return {**base, "note": None, "server": "a", "telemetry": None}


def servers_sent_to(commands: list[dict[str, Any]]) -> list[str]:
    """Return the servers to which the commands send attempts."""
    return [command["server"] for command in commands if command["op"] == "Send"]


@pytest.mark.parametrize(
    ("change", "field"),
    [
        ({"classes": []}, "classes"),
        ({"classes": None}, "classes"),
        ({"classes": [{"aim": 1}]}, "classes[0].name"),
        ({"classes": [{"name": "x", "giveUp": -1}]}, "classes[x].giveUp"),
        ({"classes": [{"name": "x", "effect": "odd"}]}, "classes[x].effect"),
        ({"limits": {"mostTries": "six"}}, "limits.mostTries"),
        ({"limits": 6}, "limits"),
        ({"rules": {"rampTime": -2}}, "rules.rampTime"),
        ({"membershipMode": "psychic"}, "membershipMode"),
    ],
)
def test_unusable_settings_name_the_field(
    change: dict[str, Any], field: str, capsys: pytest.CaptureFixture[str]
) -> None:
    (error,) = handle_events(
        SimulatorAdapter(), 1.0, {"op": "Born", "initSeed": 1, "conf": {**SETTINGS_JSON, **change}}
    )
    assert error["op"] == "InternalError"
    assert field in error["line"]
    assert field in capsys.readouterr().err


def test_missed_read_is_fetched_from_the_origin() -> None:
    adapter = started_adapter()
    assert servers_sent_to(handle_events(adapter, 1.1, request_event("1"))) == ["a"]
    assert servers_sent_to(handle_events(adapter, 1.2, completion_event("1", 0, "empty"))) == ["o"]
    assert handle_events(adapter, 1.3, completion_event("1", 1, "delivered", True)) == []


@pytest.mark.parametrize("status", sorted(simulator_wire.ATTEMPT_STATUSES))
def test_every_attempt_status_is_accepted(status: str) -> None:
    adapter = started_adapter()
    handle_events(adapter, 1.1, request_event("1"))
    handle_events(adapter, 1.2, completion_event("1", 0, status, status == "delivered"))
    router = adapter.routers[ROUTER_ID]
    in_flight = sum(server.concurrency.in_flight for server in router.endpoints.servers.values())
    assert in_flight == len(router.attempts) <= 1


def test_every_endpoint_update_kind_and_state_is_accepted() -> None:
    adapter = started_adapter()
    lines = [
        endpoint_line("b"),
        endpoint_line("a", readiness="leaving"),
        endpoint_line("c", readiness="left"),
    ]
    handle_events(adapter, 1.1, endpoint_update("INCREMENTAL", 2, lines))
    assert servers_sent_to(handle_events(adapter, 1.2, request_event("1"))) == ["b"]
    timer, _ = handle_events(adapter, 1.3, endpoint_update("FAILED", 2, None))
    assert timer["op"] == "Timer"
    assert timer["fromNow"] > 0
    again = handle_events(adapter, 2.0, {"op": "Wake", "ctx": timer["ctx"]})
    assert again == [{"op": "Listen", "enable": True}]
    handle_events(adapter, 2.1, endpoint_update("FULL", 3, [endpoint_line("z")]))
    assert servers_sent_to(handle_events(adapter, 2.2, request_event("2"))) == ["z"]


def test_client_disconnect_cancels_the_attempt() -> None:
    adapter = started_adapter()
    handle_events(adapter, 1.1, request_event("1"))
    commands = handle_events(adapter, 1.2, {"op": "Aborted", "ticket": "1"})
    assert commands == [{"op": "Cancel", "ticket": "1", "sendNo": 0}]
    assert handle_events(adapter, 1.3, completion_event("1", 0, "revoked", True)) == []


def test_failed_attempt_is_answered_with_a_rejection_or_a_failure() -> None:
    adapter = started_adapter(familyInfo={"mode": "through"}, limits={"mostTries": 1})
    handle_events(adapter, 1.1, request_event("1"), request_event("2", priority="pay"))
    assert handle_events(adapter, 1.2, completion_event("1", 0, "dropped")) == [
        {"op": "Reject", "ticket": "1"}
    ]
    assert handle_events(adapter, 1.2, completion_event("2", 0, "dropped")) == [
        {"op": "GiveUp", "ticket": "2"}
    ]


def test_response_start_and_unused_events_cause_no_action() -> None:
    adapter = started_adapter()
    handle_events(adapter, 1.1, request_event("1"))
    response_started = {"op": "Begun", "ticket": "1", "sendNo": 0, "lag": 0.1, "server": "a"}
    pong = {"op": "Pong", "server": "a", "outcome": "delivered", "lag": 0.1, "telemetry": None}
    assert (
        handle_events(adapter, 1.2, response_started, pong, {"op": "Heard", "srcPeer": 1, "content": "00"})
        == []
    )


def test_killed_router_keeps_no_state() -> None:
    adapter = started_adapter()
    handle_events(adapter, 1.1, request_event("1"))
    assert handle_events(adapter, 1.2, {"op": "Kill"}) == []
    assert not adapter.routers
    assert handle_events(adapter, 1.3, completion_event("1", 0, "delivered", True)) == []


@pytest.mark.parametrize(
    "line",
    [
        b"not json",
        b"[]",
        b"{}",
        b'{"t":"x","news":[]}',
        b'{"t":1,"news":{}}',
        b'{"t":1,"news":[{"op":"Odd","routerId":1}]}',
        b'{"t":1,"news":[{"op":"Wake","routerId":1}]}',
        b'{"t":1,"news":[{"op":"Done","routerId":1,"ticket":"1","sendNo":0,"outcome":"odd"}]}',
        b'{"t":1,"news":[7]}',
    ],
)
def test_malformed_line_raises_a_wire_error(line: bytes) -> None:
    with pytest.raises(WireError):
        SimulatorAdapter().handle_line(line)


def run_adapter(stdin: bytes, hash_seed: str = "0") -> subprocess.CompletedProcess[bytes]:
    """Run the adapter as a process of its own until the end of its input."""
    env = {**os.environ, "PYTHONHASHSEED": hash_seed}
    command = [sys.executable, "-m", "cache_router.simulator_adapter"]
    return subprocess.run(command, input=stdin, capture_output=True, cwd=ROOT, env=env, check=False)


def test_process_ends_at_end_of_input_and_on_bad_lines() -> None:
    good = run_adapter(b'{"t":1.0,"news":[]}\n')
    assert (good.returncode, good.stdout, good.stderr) == (0, b'{"cmds":[]}\n', b"")
    bad = run_adapter(b"oops\n")
    assert bad.returncode != 0
    assert not bad.stdout
    assert b"malformed batch" in bad.stderr
    assert b"Traceback" not in bad.stderr


def test_actions_do_not_depend_on_the_hash_seed() -> None:
    lines = [endpoint_line(f"s{i}") for i in range(6)] + [endpoint_line("o", "store")]
    events = [{"op": "Born", "initSeed": 5, "conf": SETTINGS_JSON}]
    events += [endpoint_update("SAVED", 1, lines)]
    events += [request_event(f"{i:x}", partitionKey=f"k{i % 7}") for i in range(60)]
    events += [endpoint_update("INCREMENTAL", 2, [endpoint_line("s1", readiness="left")])]
    stdin = json.dumps({"t": 1.0, "news": [{"routerId": 0, **event} for event in events]}).encode() + b"\n"
    first, second = run_adapter(stdin, "1"), run_adapter(stdin, "2")
    assert first.returncode == 0
    assert first.stdout == second.stdout


OTHER_SETTINGS: dict[str, Any] = {
    **SETTINGS_JSON,
    "classes": [
        {"name": "read", "aim": 0.2, "giveUp": 0.4, "effect": "single_shot", "value": 9.0},
        {"name": "pay", "aim": 0.3, "giveUp": 0.5, "effect": "free"},
    ],
    "limits": {"mostTries": 2},
    "membershipMode": "automatic",
}


def commands_under_other_settings(adapter: SimulatorAdapter, start: float) -> list[list[dict[str, Any]]]:
    """Start a router with `OTHER_SETTINGS` and let four requests fail; return all of its commands."""
    lines = [endpoint_line("a"), endpoint_line("b"), endpoint_line("o", "store")]
    start_event = {"op": "Born", "initSeed": 5, "conf": OTHER_SETTINGS}
    commands = [handle_events(adapter, start, start_event, endpoint_update("SAVED", 1, lines))]
    for n, priority in enumerate(("read", "pay", "read", "pay")):
        name = f"n{n}"
        arrival = request_event(name, priority=priority, partitionKey=f"k{n}")
        commands.append(handle_events(adapter, start + n, arrival))
        error = completion_event(name, 0, "app_error")
        commands.append(handle_events(adapter, start + n + 0.01, error))
        is_retried = bool(servers_sent_to(commands[-1]))
        timeout = completion_event(name, 1, "expired")
        commands.append(handle_events(adapter, start + n + 0.02, timeout) if is_retried else [])
    return commands


def test_killed_router_does_not_affect_the_next_one() -> None:
    """Both routers have classes of the same names; only the settings of the second one apply to it."""
    used = started_adapter()
    for n in range(20):
        handle_events(used, 1.0 + n / 100, request_event(f"r{n}", partitionKey=f"k{n % 3}"))
        handle_events(used, 1.005 + n / 100, completion_event(f"r{n}", 0, "app_error"))
    handle_events(used, 9.0, {"op": "Kill"})
    fresh = SimulatorAdapter()
    assert commands_under_other_settings(used, 10.0) == commands_under_other_settings(fresh, 10.0)
