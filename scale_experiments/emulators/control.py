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
from collections.abc import Callable, Coroutine, Mapping, Sequence
from typing import Any, TypeVar

import orjson
import psutil

from scale_experiments.emulators.codec import Command, decode, decode_command, encode, encode_command
from scale_experiments.emulators.messages.common import ProcessUsage

# a list of some thousand entries, or the times of some thousand routers
MAX_LINE_BYTES = 64 * 1024 * 1024
READ_BYTES = 1 << 20
ERROR_KEY = "error"  # of the reply to a command that failed
MAX_ERROR_LENGTH = 300
Reply = TypeVar("Reply")
Handler = Callable[[Any], Coroutine[Any, Any, object]]


class ControlError(RuntimeError):
    """An emulator that ended, answered too late, or reported an error."""


def process_usage() -> ProcessUsage:
    """What this process uses now."""
    process = psutil.Process()
    return ProcessUsage(
        at=time.monotonic(),
        cpu_s=time.process_time(),
        resident_bytes=process.memory_info().rss,
        descriptors=process.num_fds(),
    )


async def serve_commands(handle: Handler, command_types: Mapping[str, type[Any]]) -> None:
    """Carry out commands until standard input ends; one that fails answers with `error` and ends nothing."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        try:
            reply = encode(await handle(decode_command(command_types, orjson.loads(line))))
        except (KeyError, ValueError, OSError) as e:
            reply = {ERROR_KEY: f"{type(e).__name__}: {e}"[:MAX_ERROR_LENGTH]}
        sys.stdout.buffer.write(orjson.dumps(reply) + b"\n")
        sys.stdout.buffer.flush()


class ControlClient:
    """The experiment's end of an emulator's control channel.

    `process` was started with pipes for standard input and output; who started it ends it.
    """

    def __init__(self, process: subprocess.Popen[bytes], name: str, reply_timeout_s: float) -> None:
        if process.stdin is None or process.stdout is None:
            raise ValueError(f"{name} must be started with pipes for standard input and output")
        self.process = process
        self.name = name
        self.reply_timeout_s = reply_timeout_s
        self.unread = bytearray()
        self.input = process.stdin
        self.output = process.stdout.fileno()

    def send(self, command: Command[Any]) -> None:
        """Send a command; its reply is read by `receive`. Raises ControlError if the emulator has ended."""
        try:
            self.input.write(orjson.dumps(encode_command(command)) + b"\n")
            self.input.flush()
        except OSError as e:
            raise ControlError(f"{self.name} has ended: {e}") from e

    def receive(self, reply_type: type[Reply]) -> Reply:
        """The reply to the oldest command that has none yet.

        Raises ControlError if the emulator has ended, reports an error, or sends nothing for
        `reply_timeout_s`.
        """
        message = orjson.loads(self._read_line())
        if not isinstance(message, dict) or ERROR_KEY in message:
            raise ControlError(f"{self.name}: {message}")
        return decode(reply_type, message)

    def request(self, command: Command[Reply]) -> Reply:
        """Send a command and wait for its reply; raises ControlError."""
        self.send(command)
        return self.receive(command.reply_type)

    def _read_line(self) -> bytes:
        deadline = time.monotonic() + self.reply_timeout_s
        with selectors.DefaultSelector() as selector:
            selector.register(self.output, selectors.EVENT_READ)
            while (end := self.unread.find(b"\n")) < 0:
                if not selector.select(max(0.0, deadline - time.monotonic())):
                    raise ControlError(f"{self.name} gave no answer within {self.reply_timeout_s:g} s")
                data = os.read(self.output, READ_BYTES)
                if not data:
                    raise ControlError(f"{self.name} has ended")
                self.unread += data
        line = bytes(self.unread[:end])
        del self.unread[: end + 1]
        return line


def request_all(clients: Sequence[ControlClient], command: Command[Reply]) -> list[Reply]:
    """Send one command to several emulators at once, then collect their replies in order."""
    for client in clients:
        client.send(command)
    return [client.receive(command.reply_type) for client in clients]
