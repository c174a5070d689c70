"""Runs routers for the simulator, whose wire is one JSON object a line; decides nothing itself.

Each line holds the events of one moment, each answer the commands that the routers replied with.
"""

from __future__ import annotations

import sys
from typing import Any

import orjson

from cache_router.decisions.events import Event
from cache_router.decisions.router import Router
from cache_router.errors import RouterError
from cache_router.settings import SettingsError
from cache_router.settings_reader import read_settings
from cache_router.simulator_wire import ACTION_WRITERS, EVENT_READERS, WireObject, read_attempt_completed

IGNORED_EVENTS = {"Pong", "Heard"}  # replies to commands that no router here gives
BROKEN_WIRE_STATUS = 2  # exit status of the process
MAX_QUOTED_EVENT = 200  # characters of a malformed event that its error quotes


class WireError(RouterError, ValueError):
    """A line of the simulator that is malformed; `where` is its batch or the event in it."""


class SimulatorAdapter:
    """One router for each instance number; nothing is shared between them."""

    def __init__(self) -> None:
        """Begin without any router; the simulator starts and stops them."""
        self.routers: dict[int, Router] = {}

    def handle_line(self, line: bytes) -> bytes:
        """Answer one line of the simulator with one line.

        Raises:
            WireError: the line or an event in it is malformed.
        """
        try:
            batch = orjson.loads(line)
            now, messages = float(batch["t"]), batch["news"]
            if not isinstance(messages, list):
                raise TypeError("news is not a list")
        except (orjson.JSONDecodeError, KeyError, TypeError, ValueError) as error:
            raise WireError(f"not a batch: {error!r}", where="batch") from error
        commands: list[WireObject] = []
        for message in messages:
            self._handle_message(now, message, commands)
        return orjson.dumps({"cmds": commands}) + b"\n"

    def _handle_message(self, now: float, message: Any, commands: list[WireObject]) -> None:
        """Hand one event to its router and append what it replies."""
        try:
            operation, router_id = message["op"], message["routerId"]
            event = self._read_event(now, operation, router_id, message)
        except SettingsError as error:
            print(f"cache_router: {error}", file=sys.stderr)
            commands.append({"op": "InternalError", "routerId": router_id, "line": str(error)})
            return
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            quoted = str(message)[:MAX_QUOTED_EVENT]
            raise WireError(f"malformed event: {error!r} in {quoted}", where="event") from error
        if event is None:
            return
        router = self.routers.get(router_id)
        if router is None:
            return
        for action in router.handle(now, event):
            command = ACTION_WRITERS[type(action)](action)
            command["routerId"] = router_id
            commands.append(command)

    def _read_event(self, now: float, operation: str, router_id: int, message: WireObject) -> Event | None:
        """The event in a message, or None where the message leaves nothing to decide."""
        if operation == "Born":
            self.routers[router_id] = Router(read_settings(message["conf"]), message["initSeed"], now)
            return None
        if operation == "Kill":
            self.routers.pop(router_id, None)
            return None
        if operation in IGNORED_EVENTS:
            return None
        router = self.routers.get(router_id)
        if operation == "Done":
            fields = router.settings.load_report_fields if router is not None else ()
            return read_attempt_completed(message, fields)
        return EVENT_READERS[operation](message)


def main() -> int:
    """Answer line by line until the end of input; returns the exit status."""
    adapter = SimulatorAdapter()
    for line in sys.stdin.buffer:
        try:
            reply = adapter.handle_line(line)
        except WireError as error:
            print(f"cache_router: {error}", file=sys.stderr)
            return BROKEN_WIRE_STATUS
        sys.stdout.buffer.write(reply)
        sys.stdout.buffer.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
