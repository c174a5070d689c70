"""The control channel of an emulator: JSON objects, one a line, on standard input; as many replies on output.

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

# a list of some thousand entries, or the times of some thousand routers
MAX_LINE_BYTES = 64 * 1024 * 1024
Handler = Callable[[dict[str, Any]], Coroutine[Any, Any, dict[str, Any]]]


class ControlError(RuntimeError):
    """An emulator that ended, answered too late, or reported an error."""


def process_usage() -> dict[str, float]:
    """What this process uses: CPU seconds (user and system), resident bytes, descriptors; and the time."""
    process = psutil.Process()
    return {
        "at": time.monotonic(),
        "cpu_s": time.process_time(),
        "resident_bytes": process.memory_info().rss,
        "descriptors": process.num_fds(),
    }


async def serve_commands(handle: Handler) -> None:
    """Answer commands until standard input ends; one that fails answers with `error` and ends nothing."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        try:
            reply = await handle(orjson.loads(line))
        except (KeyError, ValueError, OSError) as e:
            reply = {"error": f"{type(e).__name__}: {e}"[:300]}
        sys.stdout.buffer.write(orjson.dumps(reply) + b"\n")
        sys.stdout.buffer.flush()


class ControlClient:
    """The experiment's end of an emulator's control channel.

    `process` was started with pipes for standard input and output; who started it ends it.
    """

    def __init__(self, process: subprocess.Popen[bytes], name: str, reply_timeout_s: float = 30.0) -> None:
        assert process.stdin is not None and process.stdout is not None
        self.process = process
        self.name = name
        self.reply_timeout_s = reply_timeout_s
        self.unread = bytearray()
        self.input = process.stdin
        self.output = process.stdout.fileno()

    def send(self, do: str, **fields: Any) -> None:
        """Send a command; its reply is read by `receive`."""
        try:
            self.input.write(orjson.dumps({"do": do, **fields}) + b"\n")
            self.input.flush()
        except OSError as e:
            raise ControlError(f"{self.name} has ended: {e}") from e

    def receive(self) -> dict[str, Any]:
        """The reply to the oldest command that has none yet."""
        deadline = time.monotonic() + self.reply_timeout_s
        with selectors.DefaultSelector() as selector:
            selector.register(self.output, selectors.EVENT_READ)
            while (end := self.unread.find(b"\n")) < 0:
                if not selector.select(max(0.0, deadline - time.monotonic())):
                    raise ControlError(f"{self.name} gave no answer within {self.reply_timeout_s:g} s")
                data = os.read(self.output, 1 << 20)
                if not data:
                    raise ControlError(f"{self.name} has ended")
                self.unread += data
        reply = orjson.loads(self.unread[:end])
        del self.unread[: end + 1]
        if not isinstance(reply, dict) or "error" in reply:
            raise ControlError(f"{self.name}: {reply}")
        return reply

    def request(self, do: str, **fields: Any) -> dict[str, Any]:
        """Send a command and wait for its reply."""
        self.send(do, **fields)
        return self.receive()


def request_all(controls: list[ControlClient], do: str, **fields: Any) -> list[dict[str, Any]]:
    """Send one command to several emulators at once, then collect their replies in order."""
    for control in controls:
        control.send(do, **fields)
    return [control.receive() for control in controls]
