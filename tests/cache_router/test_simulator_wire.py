"""Events and actions in the simulator's wire form."""

from __future__ import annotations

from cache_router import simulator_wire
from cache_router.decisions.actions import CloseIdleConnections, LogMessage, Reject, Send


def test_actions_in_wire_form() -> None:
    send = simulator_wire.ACTION_WRITERS[Send](Send("1", "a", 0.5))
    assert send == {"op": "Send", "ticket": "1", "server": "a", "timeout": 0.5}
    write_close = simulator_wire.ACTION_WRITERS[CloseIdleConnections]
    assert write_close(CloseIdleConnections("a")) == {"op": "LetGo", "server": "a"}
    write_reject = simulator_wire.ACTION_WRITERS[Reject]
    assert write_reject(Reject("1", 0.25)) == {"op": "Reject", "ticket": "1", "coolDown": 0.25}
    assert simulator_wire.ACTION_WRITERS[LogMessage](LogMessage("x")) == {"op": "Record", "line": "x"}
