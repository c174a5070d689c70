"""The control channel of an emulator: commands on its standard input, a reply to each on its standard output.

Commands and replies are JSON objects, one per line. An emulator exits when its standard input is closed, so
that it does not outlive the experiment that started it.
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

# enough for an endpoint list with thousands of entries, or the update times of thousands of routers
MAX_LINE_BYTES = 64 * 1024 * 1024
MAX_READ_BYTES = 1 << 20  # maximum size of one read from an emulator
ERROR_KEY = "error"  # key of the error text in the reply to a failed command
MAX_ERROR_LENGTH = 300
Reply = TypeVar("Reply")
Handler = Callable[[Any], Coroutine[Any, Any, object]]


class ControlError(RuntimeError):
    """An emulator has exited, sent no reply in time, or reported an error."""


def process_usage() -> ProcessUsage:
    """Return the resources that this process has used until now."""
    process = psutil.Process()
    return ProcessUsage(
        at=time.monotonic(),
        cpu_s=time.process_time(),
        resident_bytes=process.memory_info().rss,
        descriptors=process.num_fds(),
    )


async def serve_commands(handle: Handler, command_types: Mapping[str, type[Any]]) -> None:
    """Read commands from standard input and execute them, until standard input is closed.

    `handle` executes a command and returns its reply; `command_types` maps the names of commands to their
    classes. The reply to a command that fails contains the text of the error.
    """
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

    `process` must have been started with pipes for standard input and output. The caller has to stop it.

    Raises:
        ValueError: `process` has no pipe for standard input or output.
    """

    def __init__(self, process: subprocess.Popen[bytes], name: str, reply_timeout_s: float) -> None:
        if process.stdin is None or process.stdout is None:
            raise ValueError(f"{name} must be started with pipes for standard input and output")
        self.process = process
        self.name = name
        self._reply_timeout_s = reply_timeout_s
        self._unread_bytes = bytearray()
        self._input = process.stdin
        self._output_descriptor = process.stdout.fileno()

    def send(self, command: Command[Any]) -> None:
        """Send a command without waiting for its reply, which `receive` returns.

        Raises:
            ControlError: The emulator has exited.
        """
        try:
            self._input.write(orjson.dumps(encode_command(command)) + b"\n")
            self._input.flush()
        except OSError as e:
            raise ControlError(f"{self.name} has exited: {e}") from e

    def receive(self, reply_type: type[Reply]) -> Reply:
        """Wait for the next reply and return it; replies arrive in the order of their commands.

        Raises:
            ControlError: The emulator has exited, reports an error, or sends no reply in `reply_timeout_s`.
        """
        message = orjson.loads(self._read_line())
        if not isinstance(message, dict) or ERROR_KEY in message:
            raise ControlError(f"{self.name}: {message}")
        return decode(reply_type, message)

    def request(self, command: Command[Reply]) -> Reply:
        """Send a command and wait for its reply; raises ControlError as `receive` does."""
        self.send(command)
        return self.receive(command.reply_type)

    def _read_line(self) -> bytes:
        deadline = time.monotonic() + self._reply_timeout_s
        with selectors.DefaultSelector() as selector:
            selector.register(self._output_descriptor, selectors.EVENT_READ)
            while (end := self._unread_bytes.find(b"\n")) < 0:
                if not selector.select(max(0.0, deadline - time.monotonic())):
                    raise ControlError(f"{self.name} sent no reply within {self._reply_timeout_s:g} s")
                data = os.read(self._output_descriptor, MAX_READ_BYTES)
                if not data:
                    raise ControlError(f"{self.name} has exited")
                self._unread_bytes += data
        line = bytes(self._unread_bytes[:end])
        del self._unread_bytes[: end + 1]
        return line


def request_all(clients: Sequence[ControlClient], command: Command[Reply]) -> list[Reply]:
    """Send one command to several emulators; return their replies in the order of `clients`.

    Raises:
        ControlError: An emulator has exited, reports an error, or sends no reply in time.
    """
    for client in clients:
        client.send(command)
    return [client.receive(command.reply_type) for client in clients]
