"""The control channel of a stand-in: JSON objects, one a line, on standard input; as many replies on output.

The end of standard input ends the process, so that none outlives the experiment that started it.
"""

from __future__ import annotations

import asyncio
import os
import selectors
import subprocess
import sys
import time
from collections.abc import Callable, Coroutine
from typing import Any

import orjson
import psutil

LONGEST_LINE = (
    64 * 1024 * 1024
)  # bytes; a list of some thousand entries, or the times of some thousand routers
Handler = Callable[[dict[str, Any]], Coroutine[Any, Any, dict[str, Any]]]


class ControlError(RuntimeError):
    """A stand-in that ended, answered too late, or reported an error."""


def usage() -> dict[str, float]:
    """What this process uses: CPU seconds (user and system), resident bytes, descriptors; and the time."""
    process = psutil.Process()
    return {
        "at": time.monotonic(),
        "cpu_s": time.process_time(),
        "resident_bytes": process.memory_info().rss,
        "descriptors": process.num_fds(),
    }


async def serve(handle: Handler) -> None:
    """Answer commands until standard input ends; one that fails answers with `error` and ends nothing."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=LONGEST_LINE)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        try:
            reply = await handle(orjson.loads(line))
        except (KeyError, ValueError, OSError) as e:
            reply = {"error": f"{type(e).__name__}: {e}"[:300]}
        sys.stdout.buffer.write(orjson.dumps(reply) + b"\n")
        sys.stdout.buffer.flush()


class Control:
    """The experiment's end of a stand-in's control channel.

    `process` was started with pipes for standard input and output; who started it ends it.
    """

    def __init__(self, process: subprocess.Popen[bytes], name: str, patience_s: float = 30.0) -> None:
        assert process.stdin is not None and process.stdout is not None
        self.process = process
        self.name = name
        self.patience_s = patience_s
        self.unread = bytearray()
        self.input = process.stdin
        self.output = process.stdout.fileno()

    def tell(self, do: str, **fields: Any) -> None:
        """Send a command; its reply is read by `reply`."""
        try:
            self.input.write(orjson.dumps({"do": do, **fields}) + b"\n")
            self.input.flush()
        except OSError as e:
            raise ControlError(f"{self.name} has ended: {e}") from e

    def reply(self) -> dict[str, Any]:
        """The reply to the oldest command that has none yet."""
        until = time.monotonic() + self.patience_s
        with selectors.DefaultSelector() as selector:
            selector.register(self.output, selectors.EVENT_READ)
            while (end := self.unread.find(b"\n")) < 0:
                if not selector.select(max(0.0, until - time.monotonic())):
                    raise ControlError(f"{self.name} gave no answer within {self.patience_s:g} s")
                data = os.read(self.output, 1 << 20)
                if not data:
                    raise ControlError(f"{self.name} has ended")
                self.unread += data
        reply = orjson.loads(self.unread[:end])
        del self.unread[: end + 1]
        if not isinstance(reply, dict) or "error" in reply:
            raise ControlError(f"{self.name}: {reply}")
        return reply

    def ask(self, do: str, **fields: Any) -> dict[str, Any]:
        """Send a command and wait for its reply."""
        self.tell(do, **fields)
        return self.reply()


def ask_all(controls: list[Control], do: str, **fields: Any) -> list[dict[str, Any]]:
    """Send one command to several stand-ins at once, then collect their replies in order."""
    for control in controls:
        control.tell(do, **fields)
    return [control.reply() for control in controls]
