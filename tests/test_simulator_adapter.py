"""The wire: every event and action both ways, and bad input."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from cache_router import simulator_adapter
from cache_router.decisions.actions import CloseIdleConnections, LogMessage, Reject, Send
from cache_router.simulator_adapter import SimulatorAdapter, WireError

ROOT = Path(__file__).parent.parent
CONF: dict[str, Any] = {
    "classes": [
        {"name": "read", "aim": 0.5, "giveUp": 2.0, "effect": "free", "value": 1.0},
        {"name": "pay", "aim": 1.0, "giveUp": 3.0, "effect": "guarded", "group": "zone", "repeatWindow": 5.0},
    ],
    "family": "cache",
    "familyInfo": {"mode": "aside", "originKind": 1},
    "skus": ["std", "store"],
    "limits": {"mostTries": 3, "mayCancel": True, "secondCopies": True},
    "membershipMode": "subscribe",
    "resolution": 0.01,
    "rules": {"coldFrom": 0.2, "rampTime": 8.0, "fallMultiple": 3.0, "overloadFor": 1.5},
    "siblings": 3,
    "tenants": [{"name": "t", "allowancePerS": 9.0, "share": 1.0}],
    "zone": "z",
    "unheardOf": {"x": [1]},
}


def row(server: str, kind: str = "std", **fields: Any) -> dict[str, Any]:
    base = {"generationHw": kind, "since": None, "readiness": "active", "site": "z", "stripe": 0}
    return {**base, "server": server, "weight": 1.0, **fields}


def play(adapter: SimulatorAdapter, t: float, *news: dict[str, Any]) -> list[dict[str, Any]]:
    line = json.dumps({"t": t, "news": [{"routerId": 3, **e} for e in news]}).encode()
    commands = json.loads(adapter.handle_line(line))["cmds"]
    assert all(c.pop("routerId") == 3 for c in commands)
    return list(commands)


def born(**changes: Any) -> SimulatorAdapter:
    adapter = SimulatorAdapter()
    lines = [row("a"), row("o", "store")]
    commands = play(
        adapter,
        1.0,
        {"op": "Born", "initSeed": 5, "conf": {**CONF, **changes}},
        {"op": "Membership", "scope": "SAVED", "generation": 1, "lines": lines},
    )
    assert commands == ([{"op": "Listen", "enable": True}] if not changes else commands)
    return adapter


def ask(name: str, **fields: Any) -> dict[str, Any]:
    base = {"op": "Request", "ticket": name, "priority": "read", "timeBudget": 1.0, "partitionKey": "k"}
    return {**base, "userGroup": None, "effort": None, "retry": False, "update": False, **fields}


def done(name: str, number: int, outcome: str, final: bool = False) -> dict[str, Any]:
    base = {"op": "Done", "ticket": name, "sendNo": number, "outcome": outcome, "final": final, "lag": 0.01}
    return {**base, "note": None, "server": "a", "telemetry": None}


def sends(commands: list[dict[str, Any]]) -> list[str]:
    return [c["server"] for c in commands if c["op"] == "Send"]


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
    (fault,) = play(SimulatorAdapter(), 1.0, {"op": "Born", "initSeed": 1, "conf": {**CONF, **change}})
    assert fault["op"] == "InternalError"
    assert field in fault["line"]
    assert field in capsys.readouterr().err


def test_missed_read_is_fetched_from_the_origin() -> None:
    adapter = born()
    assert sends(play(adapter, 1.1, ask("1"))) == ["a"]
    assert sends(play(adapter, 1.2, done("1", 0, "empty"))) == ["o"]
    assert play(adapter, 1.3, done("1", 1, "delivered", True)) == []


@pytest.mark.parametrize("outcome", sorted(simulator_adapter.ATTEMPT_STATUSES))
def test_every_attempt_status_is_accepted(outcome: str) -> None:
    adapter = born()
    play(adapter, 1.1, ask("1"))
    play(adapter, 1.2, done("1", 0, outcome, outcome == "delivered"))
    router = adapter.routers[3]
    assert (
        sum(s.concurrency.in_flight for s in router.endpoints.servers.values()) == len(router.attempts) <= 1
    )


def test_every_endpoint_update_kind_and_state_is_accepted() -> None:
    adapter = born()
    lines = [row("b"), row("a", readiness="leaving"), row("c", readiness="left")]
    play(adapter, 1.1, {"op": "Membership", "scope": "INCREMENTAL", "generation": 2, "lines": lines})
    assert sends(play(adapter, 1.2, ask("1"))) == ["b"]
    timer, _ = play(adapter, 1.3, {"op": "Membership", "scope": "FAILED", "generation": 2, "lines": None})
    assert timer["op"] == "Timer"
    assert timer["fromNow"] > 0
    again = play(adapter, 2.0, {"op": "Wake", "ctx": timer["ctx"]})
    assert again == [{"op": "Listen", "enable": True}]
    play(adapter, 2.1, {"op": "Membership", "scope": "FULL", "generation": 3, "lines": [row("z")]})
    assert sends(play(adapter, 2.2, ask("2"))) == ["z"]


def test_client_disconnect_cancels_the_attempt() -> None:
    adapter = born()
    play(adapter, 1.1, ask("1"))
    gone = play(adapter, 1.2, {"op": "Aborted", "ticket": "1"})
    assert gone == [{"op": "Cancel", "ticket": "1", "sendNo": 0}]
    assert play(adapter, 1.3, done("1", 0, "revoked", True)) == []


def test_rejection_and_failure_in_wire_form() -> None:
    adapter = born(familyInfo={"mode": "through"}, limits={"mostTries": 1})
    play(adapter, 1.1, ask("1"), ask("2", priority="pay"))
    assert play(adapter, 1.2, done("1", 0, "dropped")) == [{"op": "Reject", "ticket": "1"}]
    assert play(adapter, 1.2, done("2", 0, "dropped")) == [{"op": "GiveUp", "ticket": "2"}]


def test_response_start_and_unused_events_cause_no_action() -> None:
    adapter = born()
    play(adapter, 1.1, ask("1"))
    begun = {"op": "Begun", "ticket": "1", "sendNo": 0, "lag": 0.1, "server": "a"}
    pong = {"op": "Pong", "server": "a", "outcome": "delivered", "lag": 0.1, "telemetry": None}
    assert play(adapter, 1.2, begun, pong, {"op": "Heard", "srcPeer": 1, "content": "00"}) == []


def test_killed_router_keeps_no_state() -> None:
    adapter = born()
    play(adapter, 1.1, ask("1"))
    assert play(adapter, 1.2, {"op": "Kill"}) == []
    assert not adapter.routers
    assert play(adapter, 1.3, done("1", 0, "delivered", True)) == []


def test_actions_in_wire_form() -> None:
    send = simulator_adapter.ACTION_WRITERS[Send](Send("1", "a", 0.5))
    assert send == {"op": "Send", "ticket": "1", "server": "a", "timeout": 0.5}
    write_close = simulator_adapter.ACTION_WRITERS[CloseIdleConnections]
    assert write_close(CloseIdleConnections("a")) == {"op": "LetGo", "server": "a"}
    refuse = simulator_adapter.ACTION_WRITERS[Reject]
    assert refuse(Reject("1", 0.25)) == {"op": "Reject", "ticket": "1", "coolDown": 0.25}
    assert simulator_adapter.ACTION_WRITERS[LogMessage](LogMessage("x")) == {"op": "Record", "line": "x"}


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


def run(stdin: bytes, hash_seed: str = "0") -> subprocess.CompletedProcess[bytes]:
    env = {**os.environ, "PYTHONHASHSEED": hash_seed}
    command = [sys.executable, "-m", "cache_router.simulator_adapter"]
    return subprocess.run(command, input=stdin, capture_output=True, cwd=ROOT, env=env, check=False)


def test_process_ends_at_end_of_input_and_on_bad_lines() -> None:
    good = run(b'{"t":1.0,"news":[]}\n')
    assert (good.returncode, good.stdout, good.stderr) == (0, b'{"cmds":[]}\n', b"")
    bad = run(b"oops\n")
    assert bad.returncode != 0
    assert not bad.stdout
    assert b"not a batch" in bad.stderr
    assert b"Traceback" not in bad.stderr


def test_same_actions_under_any_hash_seed() -> None:
    lines = [row(f"s{i}") for i in range(6)] + [row("o", "store")]
    news = [{"op": "Born", "initSeed": 5, "conf": CONF}]
    news += [{"op": "Membership", "scope": "SAVED", "generation": 1, "lines": lines}]
    news += [ask(f"{i:x}", partitionKey=f"k{i % 7}") for i in range(60)]
    news += [
        {"op": "Membership", "scope": "INCREMENTAL", "generation": 2, "lines": [row("s1", readiness="left")]}
    ]
    stdin = json.dumps({"t": 1.0, "news": [{"routerId": 0, **e} for e in news]}).encode() + b"\n"
    first, second = run(stdin, "1"), run(stdin, "2")
    assert first.returncode == 0
    assert first.stdout == second.stdout


def test_killed_router_leaves_no_trace_in_the_next_one() -> None:
    """Classes of the same names but other settings: only the settings given last count."""

    def day(adapter: SimulatorAdapter, t: float) -> list[list[dict[str, Any]]]:
        lines = [row("a"), row("b"), row("o", "store")]
        other = {
            **CONF,
            "classes": [
                {"name": "read", "aim": 0.2, "giveUp": 0.4, "effect": "single_shot", "value": 9.0},
                {"name": "pay", "aim": 0.3, "giveUp": 0.5, "effect": "free"},
            ],
            "limits": {"mostTries": 2},
            "membershipMode": "automatic",
        }
        said = [
            play(
                adapter,
                t,
                {"op": "Born", "initSeed": 5, "conf": other},
                {"op": "Membership", "scope": "SAVED", "generation": 1, "lines": lines},
            )
        ]
        for n, priority in enumerate(("read", "pay", "read", "pay")):
            name = f"n{n}"
            said.append(play(adapter, t + n, ask(name, priority=priority, partitionKey=f"k{n}")))
            said.append(play(adapter, t + n + 0.01, done(name, 0, "app_error")))
            said.append(play(adapter, t + n + 0.02, done(name, 1, "expired")) if sends(said[-1]) else [])
        return said

    used = born()
    for n in range(20):
        play(used, 1.0 + n / 100, ask(f"r{n}", partitionKey=f"k{n % 3}"))
        play(used, 1.005 + n / 100, done(f"r{n}", 0, "app_error"))
    play(used, 9.0, {"op": "Kill"})
    assert day(used, 10.0) == day(SimulatorAdapter(), 10.0)
