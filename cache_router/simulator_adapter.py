"""Runs routers for the simulator, over a protocol with one JSON object per line; makes no decisions itself.

Each line from the simulator contains the events of one point in time. The adapter replies with one line that
contains the commands of its routers.
"""

from __future__ import annotations

import sys
from dataclasses import dataclass
from typing import Any

import orjson

from cache_router.decisions.events import Event
from cache_router.decisions.router import Router
from cache_router.errors import RouterError
from cache_router.settings import SettingsError
from cache_router.settings_reader import read_settings
from cache_router.simulator_messages import (
    ATTEMPT_COMPLETED,
    IGNORED_MESSAGES,
    ROUTER_KILLED,
    ROUTER_STARTED,
    SETTINGS_REJECTED,
    Command,
    LogCommand,
    RouterStartedMessage,
)
from cache_router.simulator_wire import ACTION_WRITERS, EVENT_READERS, read_attempt_completed

MALFORMED_INPUT_STATUS = 2  # exit status of the process after malformed input
MAX_QUOTED_EVENT = 200  # characters of a malformed event that the error message quotes


class WireError(RouterError, ValueError):
    """Malformed line from the simulator; `where` is "batch" for the whole line, "event" for one event."""


@dataclass(slots=True, frozen=True)
class Batch:
    """The events of one point in time."""

    time: float  # seconds on the simulator's clock
    messages: list[Any]  # not validated; each is later read as a `simulator_messages.Message`


class SimulatorAdapter:
    """Runs one router per `routerId`; the routers share nothing."""

    def __init__(self) -> None:
        """Create an adapter without routers; the simulator starts and kills them."""
        self.routers: dict[int, Router] = {}

    def handle_line(self, line: bytes) -> bytes:
        """Handle one line from the simulator, and return the line that replies to it.

        Raises:
            WireError: the line or an event in it is malformed.
        """
        batch = _read_batch(line)
        commands: list[Command] = []
        for message in batch.messages:
            self._handle_message(batch.time, message, commands)
        return orjson.dumps({"cmds": commands}) + b"\n"

    def _handle_message(self, now: float, message: Any, commands: list[Command]) -> None:
        """Pass one event to its router, and append the router's actions to `commands`."""
        try:
            operation, router_id = message["op"], message["routerId"]
            event = self._read_event(now, operation, router_id, message)
        except SettingsError as error:
            print(f"cache_router: {error}", file=sys.stderr)
            error_command: LogCommand = {"op": SETTINGS_REJECTED, "routerId": router_id, "line": str(error)}
            commands.append(error_command)
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

    def _read_event(self, now: float, operation: str, router_id: int, message: Any) -> Event | None:
        """Return the event in a message; None if the message requires no decision."""
        if operation == ROUTER_STARTED:
            self._start_router(now, message)
            return None
        if operation == ROUTER_KILLED:
            self.routers.pop(router_id, None)
            return None
        if operation in IGNORED_MESSAGES:
            return None
        router = self.routers.get(router_id)
        if operation == ATTEMPT_COMPLETED:
            # a killed router has no settings any more, and its events are ignored
            fields = router.settings.load_report_fields if router is not None else ()
            return read_attempt_completed(message, fields)
        return EVENT_READERS[operation](message)

    def _start_router(self, now: float, message: RouterStartedMessage) -> None:
        self.routers[message["routerId"]] = Router(read_settings(message["conf"]), message["initSeed"], now)


def _read_batch(line: bytes) -> Batch:
    """Decode a line.

    Raises:
        WireError: the line is not a JSON object with a time and a list of messages.
    """
    try:
        batch = orjson.loads(line)
        now, messages = float(batch["t"]), batch["news"]
        if not isinstance(messages, list):
            raise TypeError("news is not a list")
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError) as error:
        raise WireError(f"malformed batch: {error!r}", where="batch") from error
    return Batch(now, messages)


def main() -> int:
    """Reply to each line of standard input until it ends, and return the exit status."""
    adapter = SimulatorAdapter()
    for line in sys.stdin.buffer:
        try:
            reply = adapter.handle_line(line)
        except WireError as error:
            print(f"cache_router: {error}", file=sys.stderr)
            return MALFORMED_INPUT_STATUS
        sys.stdout.buffer.write(reply)
        sys.stdout.buffer.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
