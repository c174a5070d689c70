"""Emulates discovery over HTTP/1.1: complete endpoint lists, and long polls that wait for the next change.

    python -m scale_experiments.emulators.discovery 127.0.1.1:0

The argument is the address to listen on; port 0 selects a free port. The first line on standard output is a
`Listening` message with the actual address. The process then reads commands from standard input, one JSON
object per line, and writes a reply to each. It exits when its standard input is closed. The commands are
`ReplaceList`, `ChangeList`, `SetDiscoveryMode`, `ResetUnanswered` and `GetDiscoveryStats` of
`scale_experiments.emulators.messages.discovery`.

Several processes that receive the same changes under the same indices act as one discovery with one address
for each process.

Modes:

- "serve": polls are answered with the endpoint list or its changes.
- "silent": polls are accepted, read and never answered.
- "refuse": all connections are reset and new ones are refused.
- "busy": polls are answered with status 503 after a delay.
"""

from __future__ import annotations

import asyncio
import sys

import orjson

from scale_experiments.emulators.address import format_address, parse_address
from scale_experiments.emulators.codec import encode
from scale_experiments.emulators.control import serve_commands
from scale_experiments.emulators.discovery.emulator import COMMAND_TYPES, DiscoveryEmulator
from scale_experiments.emulators.messages.discovery import Listening


async def main(listen: str) -> None:
    """Serve at an address until standard input is closed.

    Raises:
        ValueError: The port of `listen` is not a number.
        OSError: The address cannot be used.
    """
    discovery = DiscoveryEmulator(parse_address(listen))
    await discovery.listen()
    listening = Listening(format_address(discovery.address))
    print(orjson.dumps(encode(listening)).decode(), flush=True)
    await serve_commands(discovery.handle, COMMAND_TYPES)


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1]))
